//! Random schedules of planned changes and faults.

use monsoon_model::{Duration, Instant};

use super::network::Rng;

/// One change or fault. Steps choose their processes when they are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    JoinBalancer,
    LeaveBalancer,
    CrashBalancer,
    FreezeBalancer(Duration),
    JoinAgent,
    /// An agent at the address of one that ended, of the other service.
    ReuseAddress,
    LeaveAgent,
    CrashAgent,
    FreezeAgent(Duration),
    Document,
    /// Two operators change the document at once.
    Race,
    TakeOut,
    TakeOutPlace(u8),
    BringBack,
    Cut {
        from: u8,
        to: u8,
        both: bool,
        span: Duration,
    },
    StoreDown(Duration),
    StoreSlow(Duration),
    /// The store loses the newest value of one object.
    StoreLoses,
    /// Ends a fault of store or links.
    Healed(Option<(u8, u8)>),
    Thaw(usize),
    EndBalancer(usize),
}

/// Mean times between steps in seconds, zero for none. Shares are per thousand.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub balancers: u64,
    pub crashes: u64,
    pub agents: u64,
    pub agent_crashes: u64,
    pub reuse: u64,
    /// Least time between the end of an agent and the reuse of its address, in seconds.
    pub reuse_after: u64,
    pub freezes: u64,
    pub documents: u64,
    pub races: u64,
    pub places: u64,
    pub cuts: u64,
    pub outages: u64,
    pub slow: u64,
    pub store_loss: u64,
    pub loss: u64,
    pub repeat: u64,
    pub late: u64,
    pub lost_answers: u64,
}

/// Time before the first step, in which the fleet forms.
const FORMING: u64 = 12_000;

impl Faults {
    /// Steps until `end` with their times after the start.
    pub fn steps(&self, rng: &mut Rng, end: Duration) -> Vec<(Duration, Step)> {
        let mut steps = Vec::new();
        let mut at = |mean: u64, rng: &mut Rng, step: &dyn Fn(&mut Rng) -> Step| {
            if mean == 0 {
                return;
            }
            let mut time = FORMING + rng.below(mean * 1_000);
            while time < end.as_millis() {
                steps.push((Duration::from_millis(time), step(rng)));
                time += mean * 500 + rng.below(mean * 1_000);
            }
        };
        at(self.balancers, rng, &|rng| {
            pick(rng, &[Step::JoinBalancer, Step::LeaveBalancer])
        });
        at(self.crashes, rng, &|_| Step::CrashBalancer);
        at(self.agents, rng, &|rng| {
            pick(rng, &[Step::JoinAgent, Step::LeaveAgent])
        });
        at(self.agent_crashes, rng, &|_| Step::CrashAgent);
        at(self.reuse, rng, &|_| Step::ReuseAddress);
        at(self.freezes, rng, &freeze);
        at(self.documents, rng, &|_| Step::Document);
        at(self.races, rng, &|_| Step::Race);
        at(self.places, rng, &|rng| {
            pick(rng, &[Step::TakeOut, Step::BringBack])
        });
        at(self.cuts, rng, &cut);
        at(self.outages, rng, &|rng| {
            Step::StoreDown(span(rng, 1_000, 15_000))
        });
        at(self.slow, rng, &|rng| {
            Step::StoreSlow(span(rng, 1_000, 8_000))
        });
        at(self.store_loss, rng, &|_| Step::StoreLoses);
        steps
    }
}

fn pick(rng: &mut Rng, steps: &[Step]) -> Step {
    steps[rng.below(steps.len() as u64) as usize]
}

fn span(rng: &mut Rng, least: u64, most: u64) -> Duration {
    Duration::from_millis(least + rng.below(most - least))
}

fn freeze(rng: &mut Rng) -> Step {
    let span = span(rng, 500, 10_000);
    pick(rng, &[Step::FreezeBalancer(span), Step::FreezeAgent(span)])
}

fn cut(rng: &mut Rng) -> Step {
    let from = 1 + rng.below(3) as u8;
    let to = 1 + (from + rng.below(2) as u8) % 3;
    Step::Cut {
        from,
        to,
        both: rng.below(2) == 0,
        span: span(rng, 500, 10_000),
    }
}

/// Start of all runs.
pub const START: Instant = Instant::from_secs(1_000);
