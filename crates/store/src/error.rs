//! Errors of calls to the store.

use derive_more::{Display, Error};
use monsoon_model::Version;

/// Failure of a read or a watch.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No address was given.
    #[display("no store address is given; name at least one as IP:port")]
    NoAddress,
    /// More addresses were given than a client may have.
    #[display("{count} store addresses are given; keep at most {limit}")]
    TooManyAddresses {
        /// Number of addresses given.
        count: usize,
        /// Largest permitted number.
        limit: usize,
    },
    /// The object name can't be used in a request path.
    #[display("\"{name}\" is not an object name; use letters, digits and -_. between slashes")]
    InvalidName {
        /// Rejected name.
        name: String,
    },
    /// No address answered.
    #[display("no answer ({reason}); check the addresses and retry later")]
    Unreachable {
        /// Failure of each address.
        reason: String,
    },
    /// The store answered with an unexpected status.
    #[display(
        "{name} was answered with status {status}; check the address and the log of its process"
    )]
    Status {
        /// Object name.
        name: String,
        /// HTTP status.
        status: u16,
    },
    /// The response doesn't follow the protocol.
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
    /// The condition doesn't hold; the write didn't take effect.
    #[display("the object was changed meanwhile; read it again before writing")]
    Conflict {
        /// Present version, `None` when the object doesn't exist.
        present: Option<Version>,
    },
    /// The write may have taken effect: a timeout, a connection that broke after the request was
    /// sent, or a failure of the store.
    #[display("the outcome of the write is unknown ({reason}); read the object and compare ids")]
    UnknownOutcome {
        /// What happened.
        #[error(not(source))]
        reason: String,
    },
    /// The store refused the request; the write didn't take effect.
    #[display("the store refused the write with status {status}; check the object and its rights")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The object exceeds the limit of the store; nothing was sent.
    #[display("the object has {bytes} bytes; shorten it to at most {limit}")]
    TooLarge {
        /// Size of the object as JSON.
        bytes: usize,
        /// Largest permitted size.
        limit: usize,
    },
    /// Nothing was sent; the write didn't take effect.
    #[display("{_0}")]
    NotSent(StoreError),
}
