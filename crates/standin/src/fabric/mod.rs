//! Simulated network fabric: sprays the datagrams of callers over the balancers.
//!
//! Callers send to one service address. The fabric opens one socket per caller towards the
//! balancers, so that all balancers see one stable address per caller and any of them can reply.
//!
//! | request | effect |
//! |---|---|
//! | `POST /balancers` | replaces the balancers with a JSON list of addresses |
//! | `POST /faults` | replaces the rates `{"loss","duplicate","reorder"}`, each 0 to 1 |
//! | `GET /counts` | datagrams per balancer, and dropped datagrams by reason |

mod control;
mod forward;
mod service;
mod spray;

pub use forward::{IDLE_TIMEOUT, MAX_CALLERS, MAX_DELAYED, REORDER_DELAY};
pub use service::{Fabric, Settings};
pub use spray::{BalancerCount, Counts, Drops, MAX_BALANCERS, Rates};
