//! Suspicions of a balancer: votes to other watchers, probes, and members declared dead.

use std::net::SocketAddr;

use monsoon_model::{AgentId, Duration, Instant};

use super::BalancerNode;
use crate::bounds::CONNECTED_TIMEOUT;
use crate::detector::VoteOutcome;
use crate::probes::Suspect;
use crate::{Body, Entry, Status};

impl BalancerNode {
    pub(super) fn send_votes(&mut self, now: Instant) {
        let due = self.detector.tick(now);
        for (id, incarnation) in due.to_probe {
            if let Some(control) = self.control_address(id) {
                self.probes.open(
                    now,
                    Suspect {
                        id,
                        incarnation,
                        control,
                    },
                    self.me.control,
                );
            }
        }
        for (id, incarnation) in due.to_vote {
            let Some(control) = self.control_address(id) else {
                continue;
            };
            let others = self
                .watchers(id)
                .into_iter()
                .filter(|&watcher| watcher != self.me.id);
            let others = others.filter_map(|watcher| self.control_address(watcher));
            for to in others.collect::<Vec<_>>() {
                self.send_suspicion(
                    to,
                    Suspect {
                        id,
                        incarnation,
                        control,
                    },
                );
            }
            if self.rule.probe_first {
                self.send(control, Body::Probe);
            }
        }
    }

    fn send_suspicion(&mut self, to: SocketAddr, suspect: Suspect) {
        let Suspect {
            id,
            incarnation,
            control,
        } = suspect;
        self.send(
            to,
            Body::Suspect {
                id,
                incarnation,
                control,
            },
        );
    }

    pub(super) fn send_probes(&mut self, now: Instant) {
        let due = self.probes.tick(now);
        for to in due.to_probe {
            self.send(to, Body::Probe);
        }
        for (suspect, requester) in due.unanswered {
            if requester == self.me.control {
                self.detector.record_silence(suspect.id);
            } else {
                self.send_suspicion(requester, suspect);
            }
        }
    }

    pub(super) fn receive_vote(
        &mut self,
        now: Instant,
        from: SocketAddr,
        voter: AgentId,
        suspect: Suspect,
    ) {
        let Suspect {
            id, incarnation, ..
        } = suspect;
        match self.detector.count_vote(now, voter, id, incarnation) {
            VoteOutcome::Refuted(age, incarnation) => {
                let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
                self.send(
                    from,
                    Body::RecentAnnouncement {
                        id,
                        incarnation,
                        age_ms,
                    },
                );
            }
            VoteOutcome::Unknown => self.probes.open(now, suspect, from),
            VoteOutcome::Counted => {}
        }
        self.declare_dead(now);
    }

    pub(super) fn receive_recent_announcement(
        &mut self,
        now: Instant,
        id: AgentId,
        incarnation: u64,
        age_ms: u32,
    ) {
        let age = Duration::from_millis(u64::from(age_ms));
        let at = now.as_micros().saturating_sub(age.as_micros());
        self.detector.record_answer(id);
        self.detector
            .record_announcement(Instant::from_micros(at), id, incarnation);
    }

    /// Declares the members dead that the failure detector returns.
    pub(super) fn declare_dead(&mut self, now: Instant) {
        let mut detector = std::mem::take(&mut self.detector);
        let rule = self.rule;
        let connected = now.since(self.received_at) < CONNECTED_TIMEOUT;
        let dead = detector.take_dead(now, (connected, rule.probe_first), |id| {
            rule.quorum.min(self.watchers(id).len()).max(1)
        });
        self.detector = detector;
        for id in dead {
            let Some(row) = self.members.get(id) else {
                continue;
            };
            let entry = Entry {
                member: row.member,
                status: Status::Dead,
                age: 0,
            };
            self.merge_entry(now, &entry, true);
        }
    }
}
