//! Members that crash, leave, join and suspect each other, and partitions between them.

use monsoon_execution::RetryBudget;
use monsoon_execution::claim::{CLAIM_WINDOW, ClaimTable, TransferredClaim};
use monsoon_model::{AgentId, Duration};

use super::{Agent, Event, Simulation};

/// Length of a partition, shorter than the claim window.
const PARTITION: Duration = Duration::from_secs(100);

impl Simulation {
    /// Tells each member of a change after its own delay.
    fn spread(&mut self, about: AgentId, state: Option<bool>, least: u64, most: u64) {
        for agent in self.agents.keys().copied().collect::<Vec<_>>() {
            let delay = least + self.draw(most - least);
            self.at(
                Duration::from_millis(delay),
                Event::Learn {
                    agent,
                    about,
                    state,
                },
            );
        }
    }

    pub(super) fn learn(&mut self, agent: AgentId, about: AgentId, state: Option<bool>) {
        let exists = self.agents.contains_key(&about);
        let Some(agent) = self.agents.get_mut(&agent) else {
            return;
        };
        match state {
            // An outdated event: the member is gone already, or was suspected falsely.
            Some(false) if !exists => {}
            None if exists => {}
            Some(departed) => {
                agent.view.insert(about, departed);
            }
            None => {
                agent.view.remove(&about);
            }
        }
    }

    /// Members crash or leave.
    pub(super) fn changes(&mut self) {
        self.again(self.faults.change, Event::Change);
        for _ in 0..self.faults.group.max(1) {
            self.change();
        }
    }

    /// Partitions the members into halves. Each side soon takes the other for departed.
    pub(super) fn partition(&mut self) {
        self.again(self.faults.partition, Event::Partition);
        if self.now < self.partitioned_until + CLAIM_WINDOW {
            return;
        }
        self.partitioned_until = self.now + PARTITION;
        let ids: Vec<_> = self.agents.keys().copied().collect();
        for agent in ids.iter().copied() {
            for about in ids
                .iter()
                .copied()
                .filter(|about| half(*about) != half(agent))
            {
                let noticed = Duration::from_millis(2_000 + self.draw(1_000));
                self.at(
                    noticed,
                    Event::Learn {
                        agent,
                        about,
                        state: Some(true),
                    },
                );
                let back = PARTITION + Duration::from_millis(self.draw(5_000));
                self.at(
                    back,
                    Event::Learn {
                        agent,
                        about,
                        state: Some(false),
                    },
                );
            }
        }
    }

    /// A member crashes or leaves, and a new one joins.
    fn change(&mut self) {
        let gone = self.pick();
        let clean = self.draw(1_000) < self.faults.clean && self.hand_over(gone);
        self.agents.remove(&gone);
        let id = self.join();
        let gone_for = if clean { Duration::ZERO } else { CLAIM_WINDOW };
        let forget = gone_for + Duration::from_secs(3);
        self.departed.push((gone, self.now + forget));
        self.spread(gone, Some(true), 100, 3_000);
        self.spread(gone, None, forget.as_millis(), forget.as_millis() + 2_000);
        self.spread(id, Some(false), 0, 5_000);
    }

    /// A new member, which claims nothing before it knows the others and when to forget them.
    fn join(&mut self) -> AgentId {
        self.serial += 1;
        let id = AgentId(self.serial);
        let mut view = self.agents.values().next().expect("others").view.clone();
        view.insert(id, false);
        let claims = ClaimTable::new(self.now);
        let budget = RetryBudget::default();
        self.agents.insert(
            id,
            Agent {
                claims,
                budget,
                view,
            },
        );
        // It also learns of those that joined at the same time.
        for about in self.agents.keys().copied().collect::<Vec<_>>() {
            let after = Duration::from_millis(self.draw(5_000));
            let event = Event::Learn {
                agent: id,
                about,
                state: Some(false),
            };
            self.at(after, event);
        }
        for (about, at) in self.departed.clone() {
            let after = at.since(self.now) + Duration::from_secs(2);
            let event = Event::Learn {
                agent: id,
                about,
                state: None,
            };
            self.at(after, event);
        }
        id
    }

    /// Passes the claims of a leaving member to all others; false when more than one did not get
    /// them.
    fn hand_over(&mut self, leaving: AgentId) -> bool {
        let now = self.now;
        let agent = self.agents.get_mut(&leaving).expect("present");
        let handed: Vec<TransferredClaim> = agent.claims.leave(now);
        let view = agent.view.clone();
        let others = view.iter().filter(|(id, _)| **id != leaving);
        let mut failed = 0;
        for (id, departed) in others {
            let other = self.agents.get_mut(id).filter(|_| !departed);
            let adopted =
                other.is_some_and(|o| handed.iter().all(|h| o.claims.accept_transfer(now, *h)));
            failed += u32::from(!adopted);
        }
        failed <= 1
    }

    /// One member takes another for departed for a while.
    pub(super) fn suspect(&mut self) {
        self.again(self.faults.suspicion, Event::Suspect);
        let (agent, about) = (self.pick(), self.pick());
        self.learn(agent, about, Some(true));
        let back = Duration::from_millis(1_000 + self.draw(30_000));
        self.at(
            back,
            Event::Learn {
                agent,
                about,
                state: Some(false),
            },
        );
    }
}

/// Side of a partition on which a member is.
pub(super) fn half(id: AgentId) -> u64 {
    id.0 % 2
}
