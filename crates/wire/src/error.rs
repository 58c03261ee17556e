//! Errors of the datagram formats.

use derive_more::{Display, Error};

/// Reason why a datagram was rejected or could not be built.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[non_exhaustive]
pub enum WireError {
    /// The datagram ends before its fixed fields.
    #[display("datagram is truncated; check the path MTU between the instances")]
    Truncated,
    /// The sender uses another format version.
    #[display("datagram has format version {found}; run the same release on both instances")]
    Version {
        /// Version in the datagram.
        found: u8,
    },
    /// No key of the datagram's phase is loaded.
    #[display("datagram is signed with key phase {found}; load the key file of that phase")]
    Phase {
        /// Phase in the datagram.
        found: u8,
    },
    /// The tag does not verify.
    #[display("datagram does not verify; load the same key file on both instances")]
    Tag,
    /// The authenticated content is invalid.
    #[display("datagram content is invalid; run the same release on both instances")]
    Malformed,
    /// The message does not fit into one datagram.
    #[display("message exceeds {limit} bytes; split it into several messages")]
    TooLong {
        /// Largest permitted size in bytes.
        limit: usize,
    },
}
