//! Failure detector of one balancer for the members that it watches.
//!
//! Silence for [`SUSPECT_TIMEOUT`] is a suspicion, which becomes a vote. A member is dead when a
//! quorum of its watchers suspects it. A watcher that has heard the member more recently says so,
//! and the suspecting watcher takes over that time. The member is asked too, and has time for one
//! answer: it may have changed to other watchers that this one does not know. A watcher whose votes nobody answers is the only
//! live one, and its own suspicion is enough.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use monsoon_model::{AgentId, Duration, Instant};

use crate::bounds::{
    PROBE_INTERVAL, SOLE_WATCHER_TIMEOUT, SUSPECT_TIMEOUT, VOTE_INTERVAL, VOTE_TTL,
};

#[derive(Debug)]
struct WatchedMember {
    /// Last announcement, or the start of the watch.
    last_announcement: Instant,
    /// Whether there was an announcement, or no answer to a question.
    has_evidence: bool,
    incarnation: u64,
    /// When the present suspicion was first told.
    suspected_at: Option<Instant>,
    voted_at: Option<Instant>,
    votes: BTreeMap<AgentId, Instant>,
    /// Another watcher answered a vote or cast one since the suspicion was told.
    was_answered: bool,
}

impl WatchedMember {
    fn new(now: Instant, incarnation: u64) -> Self {
        let votes = BTreeMap::new();
        Self {
            last_announcement: now,
            has_evidence: false,
            incarnation,
            suspected_at: None,
            voted_at: None,
            votes,
            was_answered: false,
        }
    }

    fn clear(&mut self, last_announcement: Instant) {
        *self = Self::new(last_announcement, self.incarnation);
    }

    fn is_sole_watcher(&self, now: Instant) -> bool {
        !self.was_answered
            && self
                .suspected_at
                .is_some_and(|at| now.since(at) >= SOLE_WATCHER_TIMEOUT)
    }

    fn is_suspect(&self, now: Instant) -> bool {
        self.has_evidence && now.since(self.last_announcement) >= SUSPECT_TIMEOUT
    }
}

/// Answer to another watcher's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoteOutcome {
    /// Has heard nothing of the member.
    Unknown,
    /// The vote was counted.
    Counted,
    /// Heard from the member this long ago, in this incarnation.
    Refuted(Duration, u64),
}

/// Suspicions that are due, each with the last incarnation known.
#[derive(Debug, Default)]
pub(crate) struct Due {
    /// To be told (again) to the other watchers.
    pub(crate) votes: Vec<(AgentId, u64)>,
    /// Members never heard. Whether they know of this watcher is open, so they are asked first.
    pub(crate) probes: Vec<(AgentId, u64)>,
}

/// Members watched by this balancer.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    members: BTreeMap<AgentId, WatchedMember>,
    /// Suspicions raised.
    pub(crate) suspicions: u64,
}

impl FailureDetector {
    /// Starts or continues to watch `id`. The silence counts from now for a new one.
    pub(crate) fn watch(&mut self, now: Instant, id: AgentId, incarnation: u64) {
        let member = self
            .members
            .entry(id)
            .or_insert_with(|| WatchedMember::new(now, incarnation));
        if incarnation > member.incarnation {
            member.incarnation = incarnation;
            member.clear(now);
        }
    }

    /// Keeps only members for which `wanted` holds.
    pub(crate) fn retain(&mut self, wanted: impl Fn(AgentId) -> bool) {
        self.members.retain(|&id, _| wanted(id));
    }

    /// Notes an announcement.
    pub(crate) fn record_announcement(&mut self, at: Instant, id: AgentId, incarnation: u64) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if incarnation < member.incarnation || at < member.last_announcement {
            return;
        }
        member.incarnation = incarnation;
        member.clear(at);
        member.has_evidence = true;
    }

    /// Suspicions that are due.
    pub(crate) fn tick(&mut self, now: Instant) -> Due {
        let mut due = Due::default();
        for (&id, member) in &mut self.members {
            let recent = member
                .voted_at
                .is_some_and(|at| now.since(at) < VOTE_INTERVAL);
            if recent || now.since(member.last_announcement) < SUSPECT_TIMEOUT {
                continue;
            }
            if !member.has_evidence {
                due.probes.push((id, member.incarnation));
                continue;
            }
            self.suspicions += u64::from(member.voted_at.is_none());
            member.suspected_at.get_or_insert(now);
            member.voted_at = Some(now);
            due.votes.push((id, member.incarnation));
        }
        due
    }

    /// Notes that a member did not answer this watcher's own question.
    pub(crate) fn record_silence(&mut self, id: AgentId) {
        if let Some(member) = self.members.get_mut(&id) {
            member.has_evidence = true;
        }
    }

    /// Counts another watcher's vote.
    pub(crate) fn count_vote(
        &mut self,
        now: Instant,
        voter: AgentId,
        id: AgentId,
        incarnation: u64,
    ) -> VoteOutcome {
        let Some(member) = self.members.get_mut(&id) else {
            return VoteOutcome::Unknown;
        };
        member.was_answered = true;
        if !member.has_evidence {
            return VoteOutcome::Unknown;
        }
        if !member.is_suspect(now) && member.incarnation >= incarnation {
            // The voter takes over this time, so its vote is void.
            return VoteOutcome::Refuted(now.since(member.last_announcement), member.incarnation);
        }
        member.votes.insert(voter, now);
        VoteOutcome::Counted
    }

    /// Notes that another watcher answered a vote.
    pub(crate) fn record_answer(&mut self, id: AgentId) {
        if let Some(member) = self.members.get_mut(&id) {
            member.was_answered = true;
        }
    }

    /// Members that this watcher suspects together with a quorum, or alone. `quorum` gives the votes
    /// needed for a member, the own one included. With `asks`, the member has time to answer first.
    /// `connected` tells whether anything arrives here: a
    /// watcher cut off from all others must not take itself for the only live one.
    pub(crate) fn take_dead(
        &mut self,
        now: Instant,
        (connected, probe_first): (bool, bool),
        quorum: impl Fn(AgentId) -> usize,
    ) -> Vec<AgentId> {
        let mut dead = Vec::new();
        for (&id, member) in &mut self.members {
            member.votes.retain(|_, at| now.since(*at) < VOTE_TTL);
            let sole = connected && member.is_sole_watcher(now);
            let wait = if probe_first {
                PROBE_INTERVAL
            } else {
                Duration::ZERO
            };
            let asked = member.suspected_at.is_some_and(|at| now.since(at) >= wait);
            if asked && member.is_suspect(now) && (sole || 1 + member.votes.len() >= quorum(id)) {
                dead.push(id);
            }
        }
        for id in &dead {
            self.members.remove(id);
        }
        dead
    }

    /// Restarts all timers after a pause of this process.
    pub(crate) fn resume(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            member.clear(now);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }
}
