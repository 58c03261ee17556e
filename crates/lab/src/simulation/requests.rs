//! Non-idempotent requests at their agents, peers and targets.

use monsoon_execution::claim::{ClaimId, ClaimRound, KeyHash, Member, RoundAction};
use monsoon_execution::{Action, Destination, Event as Step, Execution, Reply, Request};
use monsoon_model::{AgentId, Duration, Instant};

use super::members::half;
use super::{Event, Open, Simulation};

/// Time that callers wait.
const DEADLINE: Duration = Duration::from_secs(2);

impl Simulation {
    /// A caller sends a key to any agent.
    pub(super) fn send(&mut self, key: KeyHash) {
        self.totals.sends += 1;
        let agent = self.pick();
        self.serial += 1;
        let request = ClaimId {
            agent,
            serial: self.serial,
        };
        let view = self.agents[&agent].view.iter();
        let members: Vec<_> = view
            .map(|(id, gone)| Member {
                id: *id,
                departed: *gone,
            })
            .collect();
        let deadline = Some(self.now + DEADLINE);
        let parameters = Request {
            idempotent: false,
            from_peer: false,
            deadline,
        };
        let open = Open {
            key,
            execution: Execution::new(self.now, parameters),
            round: ClaimRound::new(key, request, members),
        };
        self.requests.insert(request, open);
        self.after(DEADLINE, request, Step::Tick);
        self.drive(request, Step::Arrived);
    }

    /// Advances a request and carries out what follows. A crashed agent forgets its requests.
    pub(super) fn drive(&mut self, request: ClaimId, step: Step) {
        let Some(agent) = self.agents.get_mut(&request.agent) else {
            self.requests.remove(&request);
            return;
        };
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let actions = open.execution.handle(self.now, step, &mut agent.budget);
        let (key, asked) = (open.key, open.round.contacted().to_vec());
        if open.execution.is_done() {
            self.requests.remove(&request);
        }
        for action in actions {
            match action {
                Action::Claim => self.with_round(request, ClaimRound::start),
                Action::Pick(_) => self.choose(request),
                Action::Enqueue(attempt) => self.enqueue(request, attempt),
                Action::Send(attempt) => self.perform(request, attempt, key),
                Action::Forward(attempt, peer) => {
                    self.forward(request, attempt, AgentId(peer as u64));
                }
                Action::StoreStatus(_) => {
                    let store = |to: &AgentId| Event::Store {
                        to: *to,
                        key,
                        claim: request,
                    };
                    asked.iter().map(store).for_each(|event| self.post(event));
                }
                Action::ReleaseClaim => {
                    let release = |to: &AgentId| Event::Release {
                        to: *to,
                        key,
                        claim: request,
                    };
                    asked.iter().map(release).for_each(|event| self.post(event));
                }
                Action::Reply(reply) => self.reply(request, key, reply),
                Action::Cancel(_) => {}
            }
        }
    }

    /// Advances the claim round of a request.
    pub(super) fn with_round(
        &mut self,
        request: ClaimId,
        step: impl FnOnce(&mut ClaimRound, Instant) -> Vec<RoundAction>,
    ) {
        let now = self.now;
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let actions = step(&mut open.round, now);
        let (key, next) = (open.key, open.round.next_tick());
        if let Some(at) = next {
            self.at(at.since(now), Event::Tick { claim: request });
        }
        for action in actions {
            match action {
                RoundAction::Claim(to) => self.post(Event::Claim {
                    to,
                    key,
                    claim: request,
                }),
                RoundAction::Release(to) => self.post(Event::Release {
                    to,
                    key,
                    claim: request,
                }),
                RoundAction::Done(result) => {
                    self.after(Duration::ZERO, request, Step::Claimed(result));
                }
            }
        }
    }

    fn after(&mut self, delay: Duration, request: ClaimId, step: Step) {
        self.at(delay, Event::Step { request, step });
    }

    /// Chance in a thousand.
    fn happens(&mut self, chance: u64) -> bool {
        self.draw(1_000) < chance
    }

    /// Up to `usual` milliseconds, or up to 3 s, beyond the deadline, when late.
    fn delay(&mut self, usual: u64) -> Duration {
        let late = self.happens(self.faults.late);
        Duration::from_millis(self.draw(if late { 3_000 } else { usual }))
    }

    /// Three of ten requests run at a peer.
    fn choose(&mut self, request: ClaimId) {
        let view = &self.agents[&request.agent].view;
        let peers: Vec<_> = view
            .iter()
            .filter(|(id, gone)| **id != request.agent && !**gone)
            .collect();
        let peers: Vec<_> = peers.into_iter().map(|(id, _)| id.0 as usize).collect();
        let away = !peers.is_empty() && self.happens(300);
        let index = self.draw(peers.len() as u64) as usize;
        let destination = if away {
            Destination::Peer(peers[index])
        } else {
            Destination::Local
        };
        self.after(Duration::ZERO, request, Step::Picked(Some(destination)));
    }

    fn enqueue(&mut self, request: ClaimId, attempt: u32) {
        let refused = self.happens(self.faults.refused);
        let step = if refused {
            Step::NotRun(attempt)
        } else {
            Step::Started(attempt)
        };
        let delay = self.delay(20);
        self.after(delay, request, step);
    }

    fn forward(&mut self, request: ClaimId, attempt: u32, to: AgentId) {
        let until = self.requests[&request]
            .execution
            .deadline()
            .unwrap_or(self.end);
        let delay = self.delay(40);
        self.at(
            delay,
            Event::Work {
                to,
                request,
                attempt,
                until,
            },
        );
    }

    /// An attempt reaches a peer, unless the connection fails.
    pub(super) fn work(&mut self, to: AgentId, request: ClaimId, attempt: u32, until: Instant) {
        let apart = self.now < self.partitioned_until && half(to) != half(request.agent);
        let broken = apart || !self.agents.contains_key(&to) || self.happens(self.faults.loss);
        let key = self.requests.get(&request).map(|open| open.key);
        let delay = self.delay(40);
        match key {
            _ if broken => self.after(delay, request, Step::ConnectionLost(attempt)),
            Some(key) if self.now < until && !self.happens(self.faults.refused) => {
                self.perform(request, attempt, key);
            }
            _ => self.after(delay, request, Step::NotRun(attempt)),
        }
    }

    /// The target gets the attempt. Half of the lost ones ran.
    fn perform(&mut self, request: ClaimId, attempt: u32, key: KeyHash) {
        let lost = self.happens(self.faults.loss);
        if !lost || self.happens(500) {
            let runs = self.runs.entry(key).or_default();
            *runs += 1;
            self.totals.runs += 1;
            let (seed, now) = (self.seed, self.now);
            assert_eq!(*runs, 1, "seed {seed}: key {key} ran twice at {now:?}");
            assert!(
                !self.refused.contains(&request),
                "seed {seed}: refused request ran"
            );
        }
        let step = if lost {
            Step::ConnectionLost(attempt)
        } else {
            Step::Response(attempt, 201)
        };
        let delay = self.delay(50);
        self.after(delay, request, step);
    }

    fn reply(&mut self, request: ClaimId, key: KeyHash, reply: Reply) {
        match reply {
            Reply::Response(_) => self.totals.answered += 1,
            Reply::Replay(_) => self.totals.replays += 1,
            Reply::Unknown => self.totals.unknown += 1,
            Reply::NotRun => {
                assert!(!self.runs.contains_key(&key), "refusal of a key that ran");
                self.refused.insert(request);
                self.totals.not_run += 1;
            }
        }
    }
}
