//! Inputs and outputs of admission.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identity of one piece of work, unique within the agent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

/// Service parameters of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassParameters {
    /// Share of starts under overload, relative to the other classes; zero counts as one.
    pub weight: u32,
    /// Whether the work is a stream: it takes a connection instead of a slot and has no deadline.
    pub stream: bool,
}

/// Service parameters of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetParameters {
    /// Concurrent requests of a warm target; zero counts as one.
    pub slots: u32,
    /// Concurrent streams of a warm target.
    pub connections: u32,
    /// Share of the slots that a cold target carries, above 0 and at most 1.
    pub cold_share: f64,
    /// Classes by [`ClassKey`](monsoon_model::ClassKey).
    pub classes: Vec<ClassParameters>,
}

/// Instruction to the caller of admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the work to the target now.
    Start(WorkId),
    /// Refuse the work. It was never started.
    Shed(WorkId, ShedReason),
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// The queue of the class is at its bound.
    #[display("queue of the class is full")]
    QueueFull,
    /// The estimated wait and service time exceed the deadline.
    #[display("deadline cannot be met")]
    Deadline,
    /// The target is cold and has as much work as it can carry.
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
    /// The service parameters changed while the work was queued.
    #[display("service parameters changed")]
    Reconfigured,
    /// The class is not in the target's service parameters.
    #[display("class is not configured")]
    UnknownClass,
}

/// How started work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded, with any status that is not an overload signal.
    Ok,
    /// The connection failed or the target signalled overload.
    Failed,
    /// The work was cancelled by the caller or at its deadline.
    Cancelled,
}

/// State that the target's own endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// The target says that it is in cold start.
    Cold,
    /// The target says that it is warm.
    Ready,
    /// The target says that it accepts no new work.
    Draining,
}

/// Report of the target's own health and load endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthReport {
    /// Reported state.
    pub state: ReportedState,
    /// Reported load as a share of the target's capacity; 1 is full.
    pub load: Option<f64>,
}

/// State as announced to balancers and peers.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum TargetState {
    /// The target carries only its cold share.
    Cold,
    /// The target carries work up to its present limit.
    Ready,
    /// The target accepts no new work.
    Leaving,
}

/// Load of a target as seen by its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight; a cold target in its pause counts one.
    pub busy: u32,
    /// Requests queued.
    pub queued: u32,
    /// Present concurrency limit, in thousandths of a slot.
    pub limit: u32,
    /// Present state.
    pub state: TargetState,
    /// Whether the target is leaving.
    pub leaving: bool,
}

impl Load {
    /// Busy slots and queue over the present limit; 1 is full.
    pub fn utilisation(self) -> f64 {
        let work = f64::from(self.busy) + f64::from(self.queued);
        work * 1_000.0 / f64::from(self.limit.max(1))
    }

    /// Whether no further request would start at once.
    pub fn is_full(self) -> bool {
        let capacity = (self.limit / 1_000).max(1);
        self.leaving || self.busy + self.queued >= capacity
    }
}
