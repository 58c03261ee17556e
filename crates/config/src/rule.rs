//! Rules for the form of single values.

use std::net::SocketAddr;

/// Longest name in bytes; names appear in names of store objects and in log lines.
const MAX_NAME: usize = 63;
/// Longest path prefix in bytes.
const MAX_PATH: usize = 1_024;
/// Longest HTTP method in bytes.
const MAX_METHOD: usize = 16;

/// Form of a name, as error messages describe it.
pub const NAME_FORM: &str =
    "a name; use 1 to 63 lower-case letters, digits and inner hyphens, such as \"brno-a\"";
/// Form of an address, as error messages describe it.
pub const ADDRESS_FORM: &str =
    "an address; write IP and port (not 0), such as \"192.0.2.1:443\" or \"[2001:db8::1]:443\"";
/// Form of a method, as error messages describe it.
pub const METHOD_FORM: &str = "an HTTP method; write it in capitals, such as \"GET\"";
/// Form of a path prefix, as error messages describe it.
pub const PATH_FORM: &str =
    "a path prefix; start it with \"/\" and use visible ASCII without ?, # and quotes";

/// Whether `name` has the form that [`NAME_FORM`] describes.
pub fn is_name(name: &str) -> bool {
    let is_name_byte =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let has_valid_ends = !name.starts_with('-') && !name.ends_with('-');
    !name.is_empty() && name.len() <= MAX_NAME && has_valid_ends && name.bytes().all(is_name_byte)
}

/// Whether `method` has the form that [`METHOD_FORM`] describes.
pub fn is_method(method: &str) -> bool {
    let has_valid_length = !method.is_empty() && method.len() <= MAX_METHOD;
    has_valid_length && method.bytes().all(|byte| byte.is_ascii_uppercase())
}

/// Whether `path` has the form that [`PATH_FORM`] describes.
pub fn is_path(path: &str) -> bool {
    let is_path_byte = |byte: u8| byte.is_ascii_graphic() && !b"?#\"".contains(&byte);
    path.starts_with('/') && path.len() <= MAX_PATH && path.bytes().all(is_path_byte)
}

/// Parses an address; `None` when it is malformed, its IP is unspecified or its port is 0.
pub fn parse_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let is_usable = address.port() != 0 && !address.ip().is_unspecified();
    is_usable.then_some(address)
}
