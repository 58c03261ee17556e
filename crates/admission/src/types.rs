//! Inputs and outputs of admission control.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// ID of a request or stream, unique within the agent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

/// Configured parameters of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassParameters {
    /// Share of the started requests under overload, relative to the other classes. Zero counts as
    /// 1.
    pub weight: u32,
    /// Whether the work is a stream, which takes a connection instead of a slot and has no
    /// deadline.
    pub stream: bool,
}

/// Configured parameters of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetParameters {
    /// Maximum number of concurrent requests of a warm target. Zero counts as 1.
    pub slots: u32,
    /// Maximum number of concurrent streams of a warm target.
    pub connections: u32,
    /// Share of the slots and connections that a cold target can carry, above 0 and at most 1.
    pub cold_share: f64,
    /// Parameters of the classes, indexed by [`ClassKey`](monsoon_model::ClassKey).
    pub classes: Vec<ClassParameters>,
}

/// Action that the agent must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the work to the target now.
    Start(WorkId),
    /// Reject the work, which was never started.
    Shed(WorkId, ShedReason),
}

/// Reason for shedding work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// The queue of the class is full.
    #[display("queue of the class is full")]
    QueueFull,
    /// The estimated waiting and service time exceed the deadline.
    #[display("deadline cannot be met")]
    Deadline,
    /// The target is cold and has as much work as a cold target can carry.
    #[display("target is cold")]
    Cold,
    /// The target is leaving.
    #[display("target is leaving")]
    Leaving,
    /// All connections of the target are in use.
    #[display("connections of the target are in use")]
    Connections,
    /// The caller cancelled the work while it was queued.
    #[display("cancelled while queued")]
    Cancelled,
    /// The configured parameters changed while the work was queued.
    #[display("service parameters changed")]
    Reconfigured,
    /// The class is not among the configured classes of the target.
    #[display("class is not configured")]
    UnknownClass,
}

/// Result of started work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded with a status other than an overload signal.
    Ok,
    /// The connection failed or the target signalled overload.
    Failed,
    /// The caller cancelled the work or its deadline passed.
    Cancelled,
}

/// State reported by the target's health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// The target reports a cold start.
    Cold,
    /// The target reports that it is warm.
    Ready,
    /// The target reports that it accepts no new work.
    Draining,
}

/// Report from the target's health endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthReport {
    /// State that the target reports.
    pub state: ReportedState,
    /// Load as a share of the target's capacity, if reported. 1 means full.
    pub load: Option<f64>,
}

/// State of a target as announced to balancers and peers.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum TargetState {
    /// The target gets only its cold share of work.
    Cold,
    /// The target gets work up to its current limit.
    Ready,
    /// The target accepts no new work.
    Leaving,
}

/// Load of a target as measured by its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests in flight. A cold target in its pause counts as one request.
    pub busy: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Current concurrency limit, in thousandths of a slot.
    pub limit: u32,
    /// Current state of the target.
    pub state: TargetState,
    /// Whether the target is leaving and accepts no new work.
    pub leaving: bool,
}

impl Load {
    /// Returns busy slots plus queued requests, divided by the current limit. 1 means full.
    pub fn utilisation(self) -> f64 {
        let work = f64::from(self.busy) + f64::from(self.queued);
        work * 1_000.0 / f64::from(self.limit.max(1))
    }

    /// Whether another request would not start at once.
    pub fn is_full(self) -> bool {
        let capacity = (self.limit / 1_000).max(1);
        self.leaving || self.busy + self.queued >= capacity
    }
}
