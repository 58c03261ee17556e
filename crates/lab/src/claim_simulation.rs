//! Simulation of idempotency claims on virtual time.
//!
//! The agents of a service run non-idempotent requests. Before an attempt the agent claims the
//! request's key at the members of the service. The network loses, duplicates and delays messages,
//! members crash, leave and join, and each member has its own view of the others. The simulation
//! asserts that no key runs twice, and that no request runs whose caller was told that it did not.

mod event;
mod members;
mod requests;

use std::collections::{BTreeMap, BTreeSet};

use event::{Event, crosses_partition};
use monsoon_execution::claim::{ClaimId, ClaimRound, ClaimTable, KeyHash};
use monsoon_execution::{Execution, RetryBudget};
use monsoon_model::{AgentId, Duration, Instant, hash::mix};

/// Number of keys that callers use in one run.
pub const KEYS: u64 = 4_000;

/// Faults of one run. Shares are per thousand, mean times in seconds with zero for never.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Share of messages, connections and attempts that are lost.
    pub loss_permille: u64,
    /// Share of messages that arrive twice.
    pub duplicate_permille: u64,
    /// Share of messages that take up to 200 s instead of up to 40 ms.
    pub late_permille: u64,
    /// Mean time between changes of the membership.
    pub change_secs: u64,
    /// Share of the departing members that hand over their claims.
    pub handover_permille: u64,
    /// Members that depart at each change; zero counts as one.
    pub change_size: u64,
    /// Mean time between partitions of the members into two halves.
    pub partition_secs: u64,
    /// Mean time between false suspicions, each in the view of one member.
    pub suspicion_secs: u64,
    /// Share of attempts that a target reports as not run.
    pub refused_permille: u64,
}

/// Request that its agent has not completed.
struct PendingRequest {
    key: KeyHash,
    execution: Execution,
    round: ClaimRound,
}

/// State of one member.
struct Agent {
    claims: ClaimTable,
    budget: RetryBudget,
    /// Members that the agent knows, and whether it takes them for departed.
    view: BTreeMap<AgentId, bool>,
}

/// Counts of one run: requests sent, attempts that ran, and replies by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    pub sends: u64,
    pub runs: u64,
    pub answered: u64,
    pub replays: u64,
    pub unknown: u64,
    pub not_run: u64,
}

/// A simulated service.
pub struct ClaimSimulation {
    seed: u64,
    faults: Faults,
    draws: u64,
    last_id: u64,
    now: Instant,
    end: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    agents: BTreeMap<AgentId, Agent>,
    requests: BTreeMap<ClaimId, PendingRequest>,
    /// Requests whose caller was told that they did not run.
    refused: BTreeSet<ClaimId>,
    runs: BTreeMap<KeyHash, u64>,
    /// Departed members, and when the first of the others forgets them.
    departures: Vec<(AgentId, Instant)>,
    /// End of the latest partition.
    partitioned_until: Instant,
    pub totals: Totals,
}

impl ClaimSimulation {
    /// Simulation of `count` members that joined `age` before the start.
    pub fn new(seed: u64, faults: Faults, count: u64, age: Duration) -> Self {
        let now = Instant::from_secs(1_000);
        let joined = Instant::ZERO + Duration::from_micros(now.as_micros() - age.as_micros());
        let ids: Vec<_> = (1..=count).map(AgentId).collect();
        let view: BTreeMap<_, _> = ids.iter().map(|id| (*id, false)).collect();
        let agent = |id: AgentId| {
            let agent = Agent {
                claims: ClaimTable::new(joined),
                budget: RetryBudget::default(),
                view: view.clone(),
            };
            (id, agent)
        };
        let mut simulation = Self {
            seed,
            faults,
            draws: 0,
            last_id: count,
            now,
            end: now + Duration::from_secs(900),
            events: BTreeMap::new(),
            agents: ids.iter().copied().map(agent).collect(),
            requests: BTreeMap::new(),
            refused: BTreeSet::new(),
            runs: BTreeMap::new(),
            departures: Vec::new(),
            partitioned_until: Instant::ZERO,
            totals: Totals::default(),
        };
        simulation.schedule_sends();
        simulation.schedule_next(faults.change_secs, Event::ChangeMembers);
        simulation.schedule_next(faults.partition_secs, Event::Partition);
        simulation.schedule_next(faults.suspicion_secs, Event::Suspect);
        simulation
    }

    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= self.end {
                return;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Send { key } => self.send(key),
            Event::Claim { to, key, claim } => {
                let now = self.now;
                if let Some(agent) = self.agents.get_mut(&to) {
                    let answer = agent.claims.claim(now, key, claim);
                    self.send_message(Event::Answer {
                        from: to,
                        claim,
                        answer,
                    });
                }
            }
            Event::Answer {
                from,
                claim,
                answer,
            } => {
                self.advance_round(claim, |round, now| round.handle_answer(now, from, answer));
            }
            Event::Release { to, key, claim } => {
                if let Some(agent) = self.agents.get_mut(&to) {
                    agent.claims.release(key, claim);
                }
            }
            Event::StoreStatus { to, key, claim } => {
                if let Some(agent) = self.agents.get_mut(&to) {
                    agent.claims.store_status(key, claim, 201);
                }
            }
            Event::Tick { claim } => self.advance_round(claim, ClaimRound::tick),
            Event::UpdateView {
                agent,
                about,
                state,
            } => self.update_view(agent, about, state),
            Event::Request {
                request,
                request_event,
            } => self.advance(request, request_event),
            Event::ForwardedAttempt {
                to,
                request,
                attempt,
                until,
            } => self.receive_forwarded(to, request, attempt, until),
            Event::ChangeMembers => self.change_members(),
            Event::Partition => self.start_partition(),
            Event::Suspect => self.start_suspicion(),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        mix(self.seed, self.draws) % below.max(1)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.draws += 1;
        self.events.insert((self.now + after, self.draws), event);
    }

    /// Schedules the next event of a kind that occurs every `mean` seconds, if not zero.
    fn schedule_next(&mut self, mean: u64, event: Event) {
        if mean > 0 {
            let after = Duration::from_millis(self.draw(mean * 2_000));
            self.schedule(after, event);
        }
    }

    /// Sends a message over the network, which may lose, duplicate or delay it.
    fn send_message(&mut self, event: Event) {
        if self.now < self.partitioned_until && crosses_partition(event) {
            return;
        }
        let copies = 1 + u64::from(self.draw(1_000) < self.faults.duplicate_permille);
        for _ in 0..copies {
            if self.draw(1_000) < self.faults.loss_permille {
                continue;
            }
            let late = self.draw(1_000) < self.faults.late_permille;
            let delay = self.draw(if late { 200_000 } else { 40 });
            self.schedule(Duration::from_millis(delay), event);
        }
    }

    /// Schedules the requests of all callers: each key is sent 1 to 4 times within 100 s.
    fn schedule_sends(&mut self) {
        for index in 0..KEYS {
            let key = KeyHash(u128::from(mix(self.seed, index)) << 64 | u128::from(index));
            let first = self.draw(800_000);
            let closely_spaced = self.draw(2) == 0;
            for copy in 0..=self.draw(4) {
                let gap = self.draw(if closely_spaced { 30 } else { 100_000 });
                let after = first + if copy == 0 { 0 } else { gap };
                self.schedule(Duration::from_millis(after), Event::Send { key });
            }
        }
    }

    fn pick_agent(&mut self) -> AgentId {
        let index = self.draw(self.agents.len() as u64) as usize;
        *self
            .agents
            .keys()
            .nth(index)
            .expect("there is always a member")
    }
}
