//! Changes of the membership, false suspicions and partitions.

use monsoon_execution::RetryBudget;
use monsoon_execution::claim::{CLAIM_WINDOW, ClaimTable, TransferredClaim};
use monsoon_model::{AgentId, Duration};

use super::{Agent, ClaimSimulation, Event};

/// Length of a partition. It is shorter than the claim window.
const PARTITION: Duration = Duration::from_secs(100);

impl ClaimSimulation {
    /// Announces a change to each member, after a delay of `min_ms` to `max_ms`.
    fn announce_change(&mut self, about: AgentId, state: Option<bool>, min_ms: u64, max_ms: u64) {
        for agent in self.agents.keys().copied().collect::<Vec<_>>() {
            let delay = min_ms + self.draw(max_ms - min_ms);
            self.schedule(
                Duration::from_millis(delay),
                Event::UpdateView {
                    agent,
                    about,
                    state,
                },
            );
        }
    }

    pub(super) fn update_view(&mut self, agent: AgentId, about: AgentId, state: Option<bool>) {
        let exists = self.agents.contains_key(&about);
        let Some(agent) = self.agents.get_mut(&agent) else {
            return;
        };
        match state {
            // The event is outdated: the member departed meanwhile, or was suspected wrongly.
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

    /// Replaces as many members as depart together.
    pub(super) fn change_members(&mut self) {
        self.schedule_next(self.faults.change_secs, Event::ChangeMembers);
        for _ in 0..self.faults.change_size.max(1) {
            self.replace_member();
        }
    }

    /// Partitions the members into halves. After 2 to 3 s each side takes the other for departed.
    pub(super) fn start_partition(&mut self) {
        self.schedule_next(self.faults.partition_secs, Event::Partition);
        if self.now < self.partitioned_until + CLAIM_WINDOW {
            return;
        }
        self.partitioned_until = self.now + PARTITION;
        let ids: Vec<_> = self.agents.keys().copied().collect();
        for agent in ids.iter().copied() {
            for about in ids
                .iter()
                .copied()
                .filter(|about| partition_side(*about) != partition_side(agent))
            {
                let suspected_after = Duration::from_millis(2_000 + self.draw(1_000));
                self.schedule(
                    suspected_after,
                    Event::UpdateView {
                        agent,
                        about,
                        state: Some(true),
                    },
                );
                let reinstated_after = PARTITION + Duration::from_millis(self.draw(5_000));
                self.schedule(
                    reinstated_after,
                    Event::UpdateView {
                        agent,
                        about,
                        state: Some(false),
                    },
                );
            }
        }
    }

    /// Removes a member by crash or leave and adds a new one.
    fn replace_member(&mut self) {
        let removed = self.pick_agent();
        let handed_over =
            self.draw(1_000) < self.faults.handover_permille && self.hand_over(removed);
        self.agents.remove(&removed);
        let id = self.join();
        let departure_known = if handed_over {
            Duration::ZERO
        } else {
            CLAIM_WINDOW
        };
        let forget = departure_known + Duration::from_secs(3);
        self.departures.push((removed, self.now + forget));
        self.announce_change(removed, Some(true), 100, 3_000);
        self.announce_change(
            removed,
            None,
            forget.as_millis(),
            forget.as_millis() + 2_000,
        );
        self.announce_change(id, Some(false), 0, 5_000);
    }

    /// Adds a member. It learns who has joined and when to forget departed members before its own
    /// claim table counts.
    fn join(&mut self) -> AgentId {
        self.last_id += 1;
        let id = AgentId(self.last_id);
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
        // It also learns of members that joined at the same time.
        for about in self.agents.keys().copied().collect::<Vec<_>>() {
            let after = Duration::from_millis(self.draw(5_000));
            let event = Event::UpdateView {
                agent: id,
                about,
                state: Some(false),
            };
            self.schedule(after, event);
        }
        for (about, at) in self.departures.clone() {
            let after = at.since(self.now) + Duration::from_secs(2);
            let event = Event::UpdateView {
                agent: id,
                about,
                state: None,
            };
            self.schedule(after, event);
        }
        id
    }

    /// Transfers the claims of a leaving member to all others; false if more than one of them did
    /// not accept all.
    fn hand_over(&mut self, leaving: AgentId) -> bool {
        let now = self.now;
        let agent = self.agents.get_mut(&leaving).expect("present");
        let transferred: Vec<TransferredClaim> = agent.claims.leave(now);
        let view = agent.view.clone();
        let others = view.iter().filter(|(id, _)| **id != leaving);
        let mut failed = 0;
        for (id, departed) in others {
            let other = self.agents.get_mut(id).filter(|_| !departed);
            let accepted = other.is_some_and(|member| {
                transferred
                    .iter()
                    .all(|claim| member.claims.accept_transfer(now, *claim))
            });
            failed += u32::from(!accepted);
        }
        failed <= 1
    }

    /// Lets one member take another for departed for 1 to 31 s.
    pub(super) fn start_suspicion(&mut self) {
        self.schedule_next(self.faults.suspicion_secs, Event::Suspect);
        let (agent, about) = (self.pick_agent(), self.pick_agent());
        self.update_view(agent, about, Some(true));
        let reinstated_after = Duration::from_millis(1_000 + self.draw(30_000));
        self.schedule(
            reinstated_after,
            Event::UpdateView {
                agent,
                about,
                state: Some(false),
            },
        );
    }
}

/// Side of a partition that a member belongs to.
pub(super) fn partition_side(id: AgentId) -> u64 {
    id.0 % 2
}
