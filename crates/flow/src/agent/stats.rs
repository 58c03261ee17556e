//! Metrics of an agent.

use std::net::Ipv4Addr;

use monsoon_admission::AccountKey;
use monsoon_model::{Duration, Instant};

use super::Agent;

/// Number of client accounts whose shares are listed.
const LISTED_ACCOUNTS: usize = 5;

/// Metrics for announcements and operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentStats {
    /// Requests that the target is processing.
    pub in_flight: usize,
    /// Entries of the flow table, recently ended flows included.
    pub flows: usize,
    /// Failure rate of recent requests, in percent.
    pub failing_percent: u8,
    /// Number of requests that the target processes concurrently.
    pub slots: u16,
}

/// Metrics of the admission of flows whose routes state a demand.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionStats {
    /// Opening packets in the wait queue.
    pub waiting: usize,
    /// Learned mean time of a request at the target.
    pub service_time: Duration,
    /// Flows that may be in flight at the target now.
    pub places: usize,
    /// Phase of the pace, one of [`monsoon_admission::Pace::PHASES`].
    pub phase: &'static str,
    /// Shares of the client accounts that are admitted, from 0 to 1, by priority.
    pub admitted: Vec<(u8, f64)>,
    /// Client accounts with the largest shares of the recent starts, the largest first.
    pub shares: Vec<(Ipv4Addr, f64)>,
}

impl Agent {
    /// Metrics for announcements and operators.
    pub fn stats(&self, now: Instant) -> AgentStats {
        AgentStats {
            failing_percent: (self.health.failure_rate(now) * 100.0) as u8,
            in_flight: self.flows.in_flight(),
            flows: self.flows.len(),
            slots: self.slots(),
        }
    }

    /// Metrics of the admission.
    pub fn admission_stats(&self, now: Instant) -> AdmissionStats {
        let admission = &self.admission;
        let largest = admission.queue.shares().largest(now, LISTED_ACCOUNTS);
        AdmissionStats {
            waiting: admission.queue.len(),
            service_time: admission.places.service_time(),
            places: self.place_limit(now),
            phase: admission.pace.phase(now),
            admitted: admission.shedding.levels(now).collect(),
            shares: largest.iter().map(|&(a, s)| (address_of(a), s)).collect(),
        }
    }
}

/// Address of a client account, the inverse of `account_of`.
fn address_of(account: AccountKey) -> Ipv4Addr {
    Ipv4Addr::from_bits(account.0 as u32)
}
