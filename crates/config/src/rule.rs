//! Rules for single values.

use std::net::SocketAddr;

/// Longest name, in bytes; names appear in store object names and log lines.
const MAX_NAME: usize = 63;
/// Longest path prefix, in bytes.
const MAX_PATH: usize = 1_024;
/// Longest HTTP method, in bytes.
const MAX_METHOD: usize = 16;

/// Form of a name in messages.
pub const NAME_FORM: &str =
    "a name; use 1 to 63 lower-case letters, digits and inner hyphens, such as \"brno-a\"";
/// Form of an address in messages.
pub const ADDRESS_FORM: &str =
    "an address; write IP and port (not 0), such as \"192.0.2.1:443\" or \"[2001:db8::1]:443\"";
/// Form of a method in messages.
pub const METHOD_FORM: &str = "an HTTP method; write it in capitals, such as \"GET\"";
/// Form of a path in messages.
pub const PATH_FORM: &str =
    "a path prefix; start it with \"/\" and use visible ASCII without ?, # and quotes";

/// Whether `name` has the form of a name.
pub fn is_name(name: &str) -> bool {
    let inner = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let edges = !name.starts_with('-') && !name.ends_with('-');
    !name.is_empty() && name.len() <= MAX_NAME && edges && name.bytes().all(inner)
}

/// Whether `method` has the form of an HTTP method.
pub fn is_method(method: &str) -> bool {
    let length = !method.is_empty() && method.len() <= MAX_METHOD;
    length && method.bytes().all(|byte| byte.is_ascii_uppercase())
}

/// Whether `path` has the form of a path prefix.
pub fn is_path(path: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_graphic() && !b"?#\"".contains(&byte);
    path.starts_with('/') && path.len() <= MAX_PATH && path.bytes().all(plain)
}

/// Address with a usable IP and port.
pub fn address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let usable = address.port() != 0 && !address.ip().is_unspecified();
    usable.then_some(address)
}
