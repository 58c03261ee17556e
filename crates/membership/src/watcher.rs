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
struct Track {
    /// Last announcement, or the start of the watch.
    heard: Instant,
    /// Whether there was an announcement, or no answer to a question.
    evidence: bool,
    incarnation: u64,
    /// When the present suspicion was first told.
    told: Option<Instant>,
    voted: Option<Instant>,
    votes: BTreeMap<AgentId, Instant>,
    /// Another watcher answered a vote or cast one since the suspicion was told.
    answered: bool,
}

impl Track {
    fn new(now: Instant, incarnation: u64) -> Self {
        let votes = BTreeMap::new();
        Self {
            heard: now,
            evidence: false,
            incarnation,
            told: None,
            voted: None,
            votes,
            answered: false,
        }
    }

    fn clear(&mut self, heard: Instant) {
        *self = Self::new(heard, self.incarnation);
    }

    fn is_lone(&self, now: Instant) -> bool {
        !self.answered
            && self
                .told
                .is_some_and(|at| now.since(at) >= SOLE_WATCHER_TIMEOUT)
    }

    fn suspect(&self, now: Instant) -> bool {
        self.evidence && now.since(self.heard) >= SUSPECT_TIMEOUT
    }
}

/// Answer to another watcher's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Opinion {
    /// Has heard nothing of the member.
    Unknown,
    /// The vote was counted.
    Counted,
    /// Heard from the member this long ago, in this incarnation.
    Heard(Duration, u64),
}

/// Suspicions that are due, each with the last incarnation known.
#[derive(Debug, Default)]
pub(crate) struct Due {
    /// To be told (again) to the other watchers.
    pub(crate) tell: Vec<(AgentId, u64)>,
    /// Members never heard. Whether they know of this watcher is open, so they are asked first.
    pub(crate) ask: Vec<(AgentId, u64)>,
}

/// Members watched by this balancer.
#[derive(Debug, Default)]
pub(crate) struct Watcher {
    tracks: BTreeMap<AgentId, Track>,
    /// Suspicions raised.
    pub(crate) suspicions: u64,
}

impl Watcher {
    /// Starts or continues to watch `id`. The silence counts from now for a new one.
    pub(crate) fn watch(&mut self, now: Instant, id: AgentId, incarnation: u64) {
        let track = self
            .tracks
            .entry(id)
            .or_insert_with(|| Track::new(now, incarnation));
        if incarnation > track.incarnation {
            track.incarnation = incarnation;
            track.clear(now);
        }
    }

    /// Keeps only members for which `wanted` holds.
    pub(crate) fn retain(&mut self, wanted: impl Fn(AgentId) -> bool) {
        self.tracks.retain(|&id, _| wanted(id));
    }

    /// Notes an announcement.
    pub(crate) fn heard(&mut self, at: Instant, id: AgentId, incarnation: u64) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        if incarnation < track.incarnation || at < track.heard {
            return;
        }
        track.incarnation = incarnation;
        track.clear(at);
        track.evidence = true;
    }

    /// Suspicions that are due.
    pub(crate) fn tick(&mut self, now: Instant) -> Due {
        let mut due = Due::default();
        for (&id, track) in &mut self.tracks {
            let recent = track.voted.is_some_and(|at| now.since(at) < VOTE_INTERVAL);
            if recent || now.since(track.heard) < SUSPECT_TIMEOUT {
                continue;
            }
            if !track.evidence {
                due.ask.push((id, track.incarnation));
                continue;
            }
            self.suspicions += u64::from(track.voted.is_none());
            track.told.get_or_insert(now);
            track.voted = Some(now);
            due.tell.push((id, track.incarnation));
        }
        due
    }

    /// Notes that a member did not answer this watcher's own question.
    pub(crate) fn unanswered(&mut self, id: AgentId) {
        if let Some(track) = self.tracks.get_mut(&id) {
            track.evidence = true;
        }
    }

    /// Counts another watcher's vote.
    pub(crate) fn vote(
        &mut self,
        now: Instant,
        voter: AgentId,
        id: AgentId,
        incarnation: u64,
    ) -> Opinion {
        let Some(track) = self.tracks.get_mut(&id) else {
            return Opinion::Unknown;
        };
        track.answered = true;
        if !track.evidence {
            return Opinion::Unknown;
        }
        if !track.suspect(now) && track.incarnation >= incarnation {
            // The voter takes over this time, so its vote is void.
            return Opinion::Heard(now.since(track.heard), track.incarnation);
        }
        track.votes.insert(voter, now);
        Opinion::Counted
    }

    /// Notes that another watcher answered a vote.
    pub(crate) fn answered(&mut self, id: AgentId) {
        if let Some(track) = self.tracks.get_mut(&id) {
            track.answered = true;
        }
    }

    /// Members that this watcher suspects together with a quorum, or alone. `quorum` gives the votes
    /// needed for a member, the own one included. With `asks`, the member has time to answer first.
    /// `connected` tells whether anything arrives here: a
    /// watcher cut off from all others must not take itself for the only live one.
    pub(crate) fn dead(
        &mut self,
        now: Instant,
        (connected, asks): (bool, bool),
        quorum: impl Fn(AgentId) -> usize,
    ) -> Vec<AgentId> {
        let mut dead = Vec::new();
        for (&id, track) in &mut self.tracks {
            track.votes.retain(|_, at| now.since(*at) < VOTE_TTL);
            let lone = connected && track.is_lone(now);
            let wait = if asks { PROBE_INTERVAL } else { Duration::ZERO };
            let asked = track.told.is_some_and(|at| now.since(at) >= wait);
            if asked && track.suspect(now) && (lone || 1 + track.votes.len() >= quorum(id)) {
                dead.push(id);
            }
        }
        for id in &dead {
            self.tracks.remove(id);
        }
        dead
    }

    /// Restarts all timers after a pause of this process.
    pub(crate) fn thaw(&mut self, now: Instant) {
        for track in self.tracks.values_mut() {
            track.clear(now);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.tracks.len()
    }
}
