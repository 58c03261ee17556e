//! Authenticated formats that the processes exchange, and the connection IDs that make flow
//! routing stateless.
//!
//! Three formats share one set of secrets ([`Keyring`]):
//! - [`ConnectionId`]: one AES-128 block that names the agent, service and data centre of a flow.
//!   Any process with the keys can route a packet from it without a flow table.
//! - [`Envelope`]: header in front of a caller's packet between balancer and agent.
//! - [`control`]: datagrams of the control protocols.
//!
//! The formats authenticate their origin and do not prevent replay. Control messages carry their
//! own versions and sequence numbers, and the packets inside envelopes are protected by QUIC.
//!
//! Parsers accept arbitrary bytes without panicking: an unauthenticated datagram is rejected
//! before any field of it is interpreted.

mod cid;
pub mod control;
mod envelope;
mod error;
mod flow;
mod frame;
mod keys;
pub mod quic;
mod reset;

pub use cid::{CID_LEN, ConnectionId, NONCE_MASK};
pub use envelope::{Direction, Envelope, MAX_HEADER, MAX_PATH};
pub use error::WireError;
pub use flow::flow_key;
pub use keys::{Keyring, KeysError, PHASES, RawKeys};
pub use reset::{MIN_RESET_LEN, stateless_reset};
