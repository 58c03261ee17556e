//! Non-idempotent requests at their agents, at peers and at targets.

use monsoon_execution::claim::{ClaimId, ClaimRound, KeyHash, Member, RoundAction};
use monsoon_execution::{Action, Destination, Event as RequestEvent, Execution, Reply, Request};
use monsoon_model::{AgentId, Duration, Instant};

use super::members::partition_side;
use super::{ClaimSimulation, Event, PendingRequest};

/// Time for which callers wait for a reply.
const DEADLINE: Duration = Duration::from_secs(2);

impl ClaimSimulation {
    /// Sends a request with the key to a random agent.
    pub(super) fn send(&mut self, key: KeyHash) {
        self.totals.sends += 1;
        let agent = self.pick_agent();
        self.last_id += 1;
        let request = ClaimId {
            agent,
            serial: self.last_id,
        };
        let view = self.agents[&agent].view.iter();
        let members: Vec<_> = view
            .map(|(id, departed)| Member {
                id: *id,
                departed: *departed,
            })
            .collect();
        let deadline = Some(self.now + DEADLINE);
        let parameters = Request {
            idempotent: false,
            from_peer: false,
            deadline,
        };
        let pending = PendingRequest {
            key,
            execution: Execution::new(self.now, parameters),
            round: ClaimRound::new(key, request, members),
        };
        self.requests.insert(request, pending);
        self.notify(DEADLINE, request, RequestEvent::Tick);
        self.advance(request, RequestEvent::Arrived);
    }

    /// Passes an event to a request and performs its actions. A crashed agent forgets its requests.
    pub(super) fn advance(&mut self, request: ClaimId, event: RequestEvent) {
        let Some(agent) = self.agents.get_mut(&request.agent) else {
            self.requests.remove(&request);
            return;
        };
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let actions = pending.execution.handle(self.now, event, &mut agent.budget);
        let (key, contacted) = (pending.key, pending.round.contacted().to_vec());
        if pending.execution.is_done() {
            self.requests.remove(&request);
        }
        for action in actions {
            match action {
                Action::Claim => self.advance_round(request, ClaimRound::start),
                Action::Pick(_) => self.choose_destination(request),
                Action::Enqueue(attempt) => self.enqueue(request, attempt),
                Action::Send(attempt) => self.run_attempt(request, attempt, key),
                Action::Forward(attempt, peer) => {
                    self.forward(request, attempt, AgentId(peer as u64));
                }
                Action::StoreStatus(_) => {
                    let store = |to: &AgentId| Event::StoreStatus {
                        to: *to,
                        key,
                        claim: request,
                    };
                    contacted
                        .iter()
                        .map(store)
                        .for_each(|event| self.send_message(event));
                }
                Action::ReleaseClaim => {
                    let release = |to: &AgentId| Event::Release {
                        to: *to,
                        key,
                        claim: request,
                    };
                    contacted
                        .iter()
                        .map(release)
                        .for_each(|event| self.send_message(event));
                }
                Action::Reply(reply) => self.record_reply(request, key, reply),
                Action::Cancel(_) => {}
            }
        }
    }

    /// Passes a step to the claim round of a request and performs its actions.
    pub(super) fn advance_round(
        &mut self,
        request: ClaimId,
        step: impl FnOnce(&mut ClaimRound, Instant) -> Vec<RoundAction>,
    ) {
        let now = self.now;
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let actions = step(&mut pending.round, now);
        let (key, next) = (pending.key, pending.round.next_tick());
        if let Some(at) = next {
            self.schedule(at.since(now), Event::Tick { claim: request });
        }
        for action in actions {
            match action {
                RoundAction::Claim(to) => self.send_message(Event::Claim {
                    to,
                    key,
                    claim: request,
                }),
                RoundAction::Release(to) => self.send_message(Event::Release {
                    to,
                    key,
                    claim: request,
                }),
                RoundAction::Done(result) => {
                    self.notify(Duration::ZERO, request, RequestEvent::Claimed(result));
                }
            }
        }
    }

    /// Schedules an event of a request.
    fn notify(&mut self, delay: Duration, request: ClaimId, request_event: RequestEvent) {
        self.schedule(
            delay,
            Event::Request {
                request,
                request_event,
            },
        );
    }

    /// True with a chance in a thousand.
    fn draw_chance(&mut self, chance: u64) -> bool {
        self.draw(1_000) < chance
    }

    /// Delay of up to `usual` milliseconds. A late one takes up to 3 s, which exceeds the deadline.
    fn draw_delay(&mut self, usual: u64) -> Duration {
        let late = self.draw_chance(self.faults.late_permille);
        Duration::from_millis(self.draw(if late { 3_000 } else { usual }))
    }

    /// Chooses a peer for three of ten requests, else the agent's own target.
    fn choose_destination(&mut self, request: ClaimId) {
        let view = &self.agents[&request.agent].view;
        let peers: Vec<_> = view
            .iter()
            .filter(|(id, departed)| **id != request.agent && !**departed)
            .collect();
        let peers: Vec<_> = peers.into_iter().map(|(id, _)| id.0 as usize).collect();
        let use_peer = !peers.is_empty() && self.draw_chance(300);
        let index = self.draw(peers.len() as u64) as usize;
        let destination = if use_peer {
            Destination::Peer(peers[index])
        } else {
            Destination::Local
        };
        self.notify(
            Duration::ZERO,
            request,
            RequestEvent::Picked(Some(destination)),
        );
    }

    fn enqueue(&mut self, request: ClaimId, attempt: u32) {
        let refused = self.draw_chance(self.faults.refused_permille);
        let event = if refused {
            RequestEvent::NotRun(attempt)
        } else {
            RequestEvent::Started(attempt)
        };
        let delay = self.draw_delay(20);
        self.notify(delay, request, event);
    }

    fn forward(&mut self, request: ClaimId, attempt: u32, to: AgentId) {
        let until = self.requests[&request]
            .execution
            .deadline()
            .unwrap_or(self.end);
        let delay = self.draw_delay(40);
        self.schedule(
            delay,
            Event::ForwardedAttempt {
                to,
                request,
                attempt,
                until,
            },
        );
    }

    /// Runs a forwarded attempt at the peer, unless the connection fails.
    pub(super) fn receive_forwarded(
        &mut self,
        to: AgentId,
        request: ClaimId,
        attempt: u32,
        until: Instant,
    ) {
        let partitioned = self.now < self.partitioned_until
            && partition_side(to) != partition_side(request.agent);
        let broken = partitioned
            || !self.agents.contains_key(&to)
            || self.draw_chance(self.faults.loss_permille);
        let key = self.requests.get(&request).map(|pending| pending.key);
        let delay = self.draw_delay(40);
        match key {
            _ if broken => self.notify(delay, request, RequestEvent::ConnectionLost(attempt)),
            Some(key) if self.now < until && !self.draw_chance(self.faults.refused_permille) => {
                self.run_attempt(request, attempt, key);
            }
            _ => self.notify(delay, request, RequestEvent::NotRun(attempt)),
        }
    }

    /// Runs an attempt at the target. Of the attempts whose connection is lost, half ran.
    fn run_attempt(&mut self, request: ClaimId, attempt: u32, key: KeyHash) {
        let lost = self.draw_chance(self.faults.loss_permille);
        if !lost || self.draw_chance(500) {
            let runs = self.runs.entry(key).or_default();
            *runs += 1;
            self.totals.runs += 1;
            let (seed, now) = (self.seed, self.now);
            assert_eq!(*runs, 1, "seed {seed}: key {key} ran twice at {now:?}");
            assert!(
                !self.refused.contains(&request),
                "seed {seed}: a request ran after its caller was told that it did not"
            );
        }
        let event = if lost {
            RequestEvent::ConnectionLost(attempt)
        } else {
            RequestEvent::Response(attempt, 201)
        };
        let delay = self.draw_delay(50);
        self.notify(delay, request, event);
    }

    /// Counts a reply to the caller.
    fn record_reply(&mut self, request: ClaimId, key: KeyHash, reply: Reply) {
        match reply {
            Reply::Response(_) => self.totals.answered += 1,
            Reply::Replay(_) => self.totals.replays += 1,
            Reply::Unknown => self.totals.unknown += 1,
            Reply::NotRun => {
                assert!(
                    !self.runs.contains_key(&key),
                    "a caller was told that a key did not run, but it ran"
                );
                self.refused.insert(request);
                self.totals.not_run += 1;
            }
        }
    }
}
