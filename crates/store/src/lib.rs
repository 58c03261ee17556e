//! Client of the store's object API: versioned objects with conditional writes and watches, over
//! HTTP/1.1 and JSON.
//!
//! The store has long outages, and a response may be lost after a write took effect. Every call
//! therefore has a timeout, and [`PutError`] distinguishes a write that certainly didn't take
//! effect from one whose outcome is unknown. [`write_conditionally`] resolves unknown outcomes with
//! [`monsoon_lease::ConditionalWrite`].

mod client;
mod conditional_write;
mod connection;
mod error;
mod object;

pub use client::{Client, MAX_ADDRESSES, WatchResult, fetch, fetch_response};
pub use conditional_write::{CallResult, WriteResult, perform, write_conditionally};
pub use connection::{CONNECT_TIMEOUT, ExchangeError, MAX_BODY, Response, exchange};
pub use error::{PutError, StoreError};
pub use object::{Condition, MAX_OBJECT, StoredObject, is_object_name};
