//! Failure detector of one balancer for the members that it watches.
//!
//! A watcher suspects a member that has not announced itself for [`SUSPECT_TIMEOUT`], and sends a
//! vote to the other watchers. A member is declared dead when a quorum of its watchers suspects it.
//! A watcher with a more recent announcement refutes the vote, and the suspecting watcher adopts
//! the time of that announcement. The member is probed too and has time for one answer, because it
//! may have changed to other watchers that this one does not know. A watcher whose votes nobody
//! answers is the only live one, so its own suspicion is enough.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use monsoon_model::{AgentId, Duration, Instant};

use crate::bounds::{
    PROBE_INTERVAL, SOLE_WATCHER_TIMEOUT, SUSPECT_TIMEOUT, VOTE_INTERVAL, VOTE_TTL,
};

#[derive(Debug)]
struct WatchedMember {
    /// Time of the last announcement, or of the start of the watch.
    last_announcement: Instant,
    /// Whether the member announced itself to this watcher, or did not answer its probe.
    has_evidence: bool,
    incarnation: u64,
    /// When this watcher first voted on the present suspicion.
    suspected_at: Option<Instant>,
    voted_at: Option<Instant>,
    votes: BTreeMap<AgentId, Instant>,
    /// Whether another watcher answered a vote or sent one since the last announcement.
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

/// Outcome of another watcher's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoteOutcome {
    /// The member is not watched here or has never announced itself here.
    Unknown,
    /// The vote was counted.
    Counted,
    /// The member announced itself this long ago, in this incarnation.
    Refuted(Duration, u64),
}

/// Suspicions to act on, each with the last known incarnation.
#[derive(Debug, Default)]
pub(crate) struct Due {
    /// Members to vote on, for the first time or again.
    pub(crate) to_vote: Vec<(AgentId, u64)>,
    /// Members that never announced themselves here. They may not know this watcher, so they are
    /// probed first.
    pub(crate) to_probe: Vec<(AgentId, u64)>,
}

/// Members watched by this balancer, with the votes on them.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    members: BTreeMap<AgentId, WatchedMember>,
    /// Suspicions raised since the start.
    pub(crate) suspicions: u64,
}

impl FailureDetector {
    /// Starts or continues to watch `id`. The timeout of a new member or incarnation starts now.
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

    /// Records an announcement, which ends a suspicion.
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

    /// Returns the suspicions to act on and records the votes of this watcher.
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
                due.to_probe.push((id, member.incarnation));
                continue;
            }
            self.suspicions += u64::from(member.voted_at.is_none());
            member.suspected_at.get_or_insert(now);
            member.voted_at = Some(now);
            due.to_vote.push((id, member.incarnation));
        }
        due
    }

    /// Records that a member did not answer this watcher's own probe.
    pub(crate) fn record_silence(&mut self, id: AgentId) {
        if let Some(member) = self.members.get_mut(&id) {
            member.has_evidence = true;
        }
    }

    /// Counts another watcher's vote, unless a recent announcement refutes it.
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
            // The voter adopts the time of the announcement, so its vote does not count.
            return VoteOutcome::Refuted(now.since(member.last_announcement), member.incarnation);
        }
        member.votes.insert(voter, now);
        VoteOutcome::Counted
    }

    /// Records that another watcher answered a vote.
    pub(crate) fn record_answer(&mut self, id: AgentId) {
        if let Some(member) = self.members.get_mut(&id) {
            member.was_answered = true;
        }
    }

    /// Removes and returns the members to declare dead: those that a quorum suspects, or this
    /// watcher as the only live one. `quorum` gives the number of votes needed for a member, the
    /// one of this watcher included. With `probe_first`, the member has time to answer a probe
    /// first. `connected` tells whether any message arrives here; a disconnected watcher must not
    /// assume that it is the only live one.
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
