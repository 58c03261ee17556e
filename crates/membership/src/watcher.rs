//! Failure detector of one balancer for the members that it watches.
//!
//! Silence for [`SUSPECT_AFTER`] is a suspicion, which becomes a vote. A member is dead when a
//! quorum of its watchers suspects it. A watcher that has heard the member more recently says so,
//! and the suspecting watcher takes over that time.

use std::collections::BTreeMap;

use monsoon_model::{AgentId, Duration, Instant};

use crate::bounds::{SUSPECT_AFTER, VOTE_EVERY, VOTE_TTL};

#[derive(Debug)]
struct Track {
    heard: Instant,
    incarnation: u64,
    voted: Option<Instant>,
    votes: BTreeMap<AgentId, Instant>,
}

impl Track {
    fn suspect(&self, now: Instant) -> bool {
        now.since(self.heard) >= SUSPECT_AFTER
    }
}

/// Answer to another watcher's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Opinion {
    /// Nothing known, or the vote was counted.
    None,
    /// Heard from the member this long ago, in this incarnation.
    Heard(Duration, u64),
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
        let track = self.tracks.entry(id).or_insert_with(|| Track {
            heard: now,
            incarnation,
            voted: None,
            votes: BTreeMap::new(),
        });
        if incarnation > track.incarnation {
            track.incarnation = incarnation;
            track.heard = now;
            track.votes.clear();
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
        track.heard = at;
        track.voted = None;
        track.votes.clear();
    }

    /// Members whose suspicion is to be told (again) to the other watchers.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<(AgentId, u64)> {
        let mut due = Vec::new();
        for (&id, track) in &mut self.tracks {
            let recent = track.voted.is_some_and(|at| now.since(at) < VOTE_EVERY);
            if recent || !track.suspect(now) {
                continue;
            }
            self.suspicions += u64::from(track.voted.is_none());
            track.voted = Some(now);
            due.push((id, track.incarnation));
        }
        due
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
            return Opinion::None;
        };
        if !track.suspect(now) && track.incarnation >= incarnation {
            track.votes.insert(voter, now);
            return Opinion::Heard(now.since(track.heard), track.incarnation);
        }
        track.votes.insert(voter, now);
        Opinion::None
    }

    /// Members that this watcher suspects together with a quorum. `quorum` gives the votes needed
    /// for a member, the own one included.
    pub(crate) fn dead(&mut self, now: Instant, quorum: impl Fn(AgentId) -> usize) -> Vec<AgentId> {
        let mut dead = Vec::new();
        for (&id, track) in &mut self.tracks {
            track.votes.retain(|_, at| now.since(*at) < VOTE_TTL);
            let own = usize::from(track.suspect(now));
            if own == 1 && own + track.votes.len() >= quorum(id) {
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
            track.heard = now;
            track.voted = None;
            track.votes.clear();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.tracks.len()
    }
}
