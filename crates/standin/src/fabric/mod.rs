//! Stand-in for the fabric: sprays the datagrams of callers over the balancers.
//!
//! Callers send to one service address. Each caller has a socket of its own towards the balancers,
//! so that all balancers see one stable address per caller and any of them can reply to it.
//!
//! | request | effect |
//! |---|---|
//! | `POST /balancers` | replaces the balancers by a JSON list of addresses |
//! | `POST /faults` | replaces the rates `{"loss","duplicate","reorder"}`, each 0 to 1 |
//! | `GET /counts` | datagrams per balancer and drops |

mod control;
mod forward;
mod service;
mod spray;

pub use forward::{IDLE_TIMEOUT, MAX_CALLERS, MAX_DELAYED, REORDER_DELAY};
pub use service::{Fabric, Settings};
pub use spray::{BalancerCount, Counts, Drops, MAX_BALANCERS, Rates};
