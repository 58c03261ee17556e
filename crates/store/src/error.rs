//! Errors of calls to the store.

use derive_more::{Display, Error};
use monsoon_model::Version;

/// Failure of a read, a watch or a connection.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No address was given.
    #[display("no store address is given; name at least one as IP:port")]
    NoAddress,
    /// More addresses were given than are tried.
    #[display("{count} store addresses are given; keep at most {limit}")]
    TooManyAddresses {
        /// Number given.
        count: usize,
        /// Largest number.
        limit: usize,
    },
    /// Object name cannot be used in a request path.
    #[display("\"{name}\" is no object name; use letters, digits and -_. between slashes")]
    InvalidName {
        /// Name.
        name: String,
    },
    /// No address answered.
    #[display("no answer ({reason}); check the addresses and retry later")]
    Unreachable {
        /// Last failure of each address.
        reason: String,
    },
    /// Store answered with an unexpected status.
    #[display(
        "{name} was answered with status {status}; check the address and the log of its process"
    )]
    Status {
        /// Object name.
        name: String,
        /// HTTP status.
        status: u16,
    },
    /// Answer does not follow the protocol.
    #[display("the answer for {name} is malformed ({reason}); check that this is the store")]
    Malformed {
        /// Object name.
        name: String,
        /// What is wrong.
        reason: String,
    },
}

/// Failure of a write.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PutError {
    /// Condition does not hold; the write did not take effect.
    #[display("the object was changed meanwhile; read it again before writing")]
    Conflict {
        /// Present version, `None` when the object does not exist.
        present: Option<Version>,
    },
    /// Outcome is unknown: timeout, broken connection after sending, or a failure of the store.
    #[display("the outcome of the write is unknown ({reason}); read the object and compare ids")]
    UnknownOutcome {
        /// What happened.
        #[error(not(source))]
        reason: String,
    },
    /// Store refused the request; the write did not take effect.
    #[display("the store refused the write with status {status}; check the object and its rights")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// Value exceeds the limit of the store; nothing was sent.
    #[display("the object has {bytes} bytes; shorten it to at most {limit}")]
    TooLarge {
        /// Size of the JSON form.
        bytes: usize,
        /// Largest size.
        limit: usize,
    },
    /// Nothing was sent; the write did not take effect.
    #[display("{_0}")]
    NotSent(StoreError),
}
