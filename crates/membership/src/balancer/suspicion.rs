//! Suspicions: votes, probes and deaths.

use std::net::SocketAddr;

use monsoon_model::{AgentId, Duration, Instant};

use super::BalancerNode;
use crate::bounds::CONNECTED_TIMEOUT;
use crate::probes::Suspect;
use crate::watcher::Opinion;
use crate::{Body, Entry, Status};

impl BalancerNode {
    pub(super) fn vote(&mut self, now: Instant) {
        let due = self.watcher.tick(now);
        for (id, incarnation) in due.ask {
            if let Some(control) = self.control(id) {
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
        for (id, incarnation) in due.tell {
            let Some(control) = self.control(id) else {
                continue;
            };
            let others = self
                .watchers(id)
                .into_iter()
                .filter(|&watcher| watcher != self.me.id);
            let others = others.filter_map(|watcher| self.control(watcher));
            for to in others.collect::<Vec<_>>() {
                self.suspect(
                    to,
                    Suspect {
                        id,
                        incarnation,
                        control,
                    },
                );
            }
            if self.rule.asks {
                self.send(control, Body::Probe);
            }
        }
    }

    fn suspect(&mut self, to: SocketAddr, suspect: Suspect) {
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

    pub(super) fn probe(&mut self, now: Instant) {
        let due = self.probes.tick(now);
        for to in due.ask {
            self.send(to, Body::Probe);
        }
        for (suspect, asker) in due.silent {
            if asker == self.me.control {
                self.watcher.unanswered(suspect.id);
            } else {
                self.suspect(asker, suspect);
            }
        }
    }

    pub(super) fn voted(
        &mut self,
        now: Instant,
        from: SocketAddr,
        voter: AgentId,
        suspect: Suspect,
    ) {
        let Suspect {
            id, incarnation, ..
        } = suspect;
        match self.watcher.vote(now, voter, id, incarnation) {
            Opinion::Heard(age, incarnation) => {
                let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
                self.send(
                    from,
                    Body::Heard {
                        id,
                        incarnation,
                        age,
                    },
                );
            }
            Opinion::Unknown => self.probes.open(now, suspect, from),
            Opinion::Counted => {}
        }
        self.bury(now);
    }

    pub(super) fn heard(&mut self, now: Instant, id: AgentId, incarnation: u64, age: u32) {
        let age = Duration::from_millis(u64::from(age));
        let at = now.as_micros().saturating_sub(age.as_micros());
        self.watcher.answered(id);
        self.watcher
            .heard(Instant::from_micros(at), id, incarnation);
    }

    /// Declares members dead that a quorum suspects.
    pub(super) fn bury(&mut self, now: Instant) {
        let mut watcher = std::mem::take(&mut self.watcher);
        let rule = self.rule;
        let connected = now.since(self.received) < CONNECTED_TIMEOUT;
        let dead = watcher.dead(now, (connected, rule.asks), |id| {
            rule.quorum.min(self.watchers(id).len()).max(1)
        });
        self.watcher = watcher;
        for id in dead {
            let Some(row) = self.members.get(id) else {
                continue;
            };
            let entry = Entry {
                member: row.member,
                status: Status::Dead,
                age: 0,
            };
            self.learn(now, &entry, true);
        }
    }
}
