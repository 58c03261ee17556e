//! Random schedules of planned changes and faults.

use monsoon_model::{Duration, Instant};

use super::network::Rng;

/// Planned change or fault. It chooses its processes at random when it is performed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    JoinBalancer,
    LeaveBalancer,
    CrashBalancer,
    SuspendBalancer(Duration),
    JoinAgent,
    /// Starts an agent at the address of one that ended, for the other service.
    ReuseAddress,
    LeaveAgent,
    CrashAgent,
    SuspendAgent(Duration),
    ChangeDocument,
    /// Two operators change the document at once.
    RaceOperators,
    /// Evacuates a random data centre.
    EvacuateRandom,
    Evacuate(u8),
    /// Restores all data centres.
    Restore,
    /// Cuts one or both directions between two data centres.
    CutLink {
        from: u8,
        to: u8,
        both: bool,
        span: Duration,
    },
    StoreDown(Duration),
    StoreSlow(Duration),
    /// The store loses the newest value of one object.
    StoreLoss,
    /// Ends a fault of the store, or of the link that is given.
    EndFault(Option<(u8, u8)>),
    Resume(usize),
    EndBalancer(usize),
}

/// Planned changes and faults of a run: mean times between them in seconds, with zero for never,
/// and shares per thousand.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Joins and planned stops of balancers.
    pub balancer_changes: u64,
    pub balancer_crashes: u64,
    /// Joins and planned stops of agents.
    pub agent_changes: u64,
    pub agent_crashes: u64,
    pub address_reuses: u64,
    /// Least time between the end of an agent and the reuse of its address, in seconds.
    pub reuse_delay: u64,
    /// Suspensions of a process.
    pub suspensions: u64,
    pub document_changes: u64,
    pub operator_races: u64,
    /// Evacuations and restorations of a data centre.
    pub evacuation_changes: u64,
    pub link_cuts: u64,
    pub store_outages: u64,
    pub store_slowdowns: u64,
    /// Losses of the newest value of an object in the store.
    pub store_losses: u64,
    pub loss_permille: u64,
    pub duplicate_permille: u64,
    pub late_permille: u64,
    /// Share of the answers to writes that are lost.
    pub lost_answer_permille: u64,
}

/// Time before the first step in milliseconds, in which the fleet forms.
const FORMING_MS: u64 = 12_000;

impl Faults {
    /// Steps until `end`, with their times after the start.
    pub fn steps(&self, rng: &mut Rng, end: Duration) -> Vec<(Duration, Step)> {
        let mut steps = Vec::new();
        let mut at = |mean: u64, rng: &mut Rng, step: &dyn Fn(&mut Rng) -> Step| {
            if mean == 0 {
                return;
            }
            let mut time = FORMING_MS + rng.below(mean * 1_000);
            while time < end.as_millis() {
                steps.push((Duration::from_millis(time), step(rng)));
                time += mean * 500 + rng.below(mean * 1_000);
            }
        };
        at(self.balancer_changes, rng, &|rng| {
            pick(rng, &[Step::JoinBalancer, Step::LeaveBalancer])
        });
        at(self.balancer_crashes, rng, &|_| Step::CrashBalancer);
        at(self.agent_changes, rng, &|rng| {
            pick(rng, &[Step::JoinAgent, Step::LeaveAgent])
        });
        at(self.agent_crashes, rng, &|_| Step::CrashAgent);
        at(self.address_reuses, rng, &|_| Step::ReuseAddress);
        at(self.suspensions, rng, &suspend);
        at(self.document_changes, rng, &|_| Step::ChangeDocument);
        at(self.operator_races, rng, &|_| Step::RaceOperators);
        at(self.evacuation_changes, rng, &|rng| {
            pick(rng, &[Step::EvacuateRandom, Step::Restore])
        });
        at(self.link_cuts, rng, &cut);
        at(self.store_outages, rng, &|rng| {
            Step::StoreDown(span(rng, 1_000, 15_000))
        });
        at(self.store_slowdowns, rng, &|rng| {
            Step::StoreSlow(span(rng, 1_000, 8_000))
        });
        at(self.store_losses, rng, &|_| Step::StoreLoss);
        steps
    }
}

fn pick(rng: &mut Rng, steps: &[Step]) -> Step {
    steps[rng.below(steps.len() as u64) as usize]
}

fn span(rng: &mut Rng, min_ms: u64, max_ms: u64) -> Duration {
    Duration::from_millis(min_ms + rng.below(max_ms - min_ms))
}

fn suspend(rng: &mut Rng) -> Step {
    let span = span(rng, 500, 10_000);
    pick(
        rng,
        &[Step::SuspendBalancer(span), Step::SuspendAgent(span)],
    )
}

fn cut(rng: &mut Rng) -> Step {
    let from = 1 + rng.below(3) as u8;
    let to = 1 + (from + rng.below(2) as u8) % 3;
    Step::CutLink {
        from,
        to,
        both: rng.below(2) == 0,
        span: span(rng, 500, 10_000),
    }
}

/// Start of all runs.
pub const START: Instant = Instant::from_secs(1_000);
