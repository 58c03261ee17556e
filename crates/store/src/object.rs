//! Objects of the store and the conditions of their writes.

use http::HeaderValue;
use http::header::{HeaderName, IF_MATCH, IF_NONE_MATCH};
use monsoon_model::Version;
use serde::{Deserialize, Serialize};

/// Largest object as JSON in bytes; the store accepts values up to 1 MB.
pub const MAX_OBJECT: usize = 1_000_000;
/// Longest object name in bytes.
const MAX_NAME: usize = 512;

/// Value of an object, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Unique ID of the change that wrote this value.
    pub change: String,
    /// Operator or process that made the change.
    pub author: String,
    /// Content, such as a configuration document.
    pub text: String,
}

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object doesn't exist.
    Absent,
    /// The object has this version.
    At(Version),
}

impl Condition {
    /// Condition that the object still has the version that was read; `None` if it didn't exist.
    pub fn of(present: Option<Version>) -> Self {
        present.map_or(Self::Absent, Self::At)
    }

    pub(crate) fn header(self) -> (HeaderName, HeaderValue) {
        match self {
            Self::Absent => (IF_NONE_MATCH, HeaderValue::from_static("*")),
            Self::At(version) => {
                // The text consists of digits and quotes, so it is always a valid header value.
                let tag = HeaderValue::from_str(&format!("\"{}\"", version.packed()));
                (
                    IF_MATCH,
                    tag.unwrap_or_else(|_| HeaderValue::from_static("\"0\"")),
                )
            }
        }
    }
}

/// Version in an entity tag such as `"7"`.
pub(crate) fn version_of(tag: Option<&HeaderValue>) -> Option<Version> {
    let text = tag?.to_str().ok()?;
    let digits = text.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(Version::from_packed)
}

/// Whether `name` can be used in a request path without escapes.
pub fn is_object_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let is_segment = |part: &str| {
        !part.is_empty() && part != "." && part != ".." && part.bytes().all(is_allowed)
    };
    name.len() <= MAX_NAME && name.split('/').all(is_segment)
}
