//! Incremental change of a table.
//!
//! The cost is proportional to the buckets times the changed targets: a removed or lighter target
//! costs a full ranking of the buckets in which it was a candidate, a new or heavier one costs one
//! comparison in each bucket.

use crate::score;
use crate::table::{Bucket, Candidate, Endpoint, MAX_TARGETS, NONE, Rank, Table, Target};

/// First candidates that a change replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Changes {
    /// Agents replaced in some bucket.
    pub endpoints: Vec<Endpoint>,
    /// Changed buckets in ascending order, each with an index into `endpoints`.
    pub firsts: Vec<(u16, u16)>,
    /// Targets ignored because of [`MAX_TARGETS`].
    pub refused: usize,
}

/// Arena keys by kind of change.
#[derive(Default)]
struct Difference {
    /// Whether the target under a key was removed or became lighter.
    lost: Vec<bool>,
    /// Targets that are new or became heavier.
    gained: Vec<u16>,
    removed: Vec<u16>,
}

impl Table {
    /// Replaces the targets and returns the replaced first candidates.
    pub(crate) fn update(&mut self, targets: impl IntoIterator<Item = Candidate>) -> Changes {
        let mut targets = usable(targets);
        let refused = targets.len().saturating_sub(MAX_TARGETS);
        targets.truncate(MAX_TARGETS);
        let difference = self.difference(&targets);
        let mut changes = self.rank_buckets(&difference);
        changes.refused = refused;
        for key in difference.removed {
            self.arena[usize::from(key)] = None;
            self.free.push(key);
        }
        debug_assert!(self.is_consistent(), "bucket refers to a removed target");
        changes
    }

    /// Enters the targets into the arena; removed ones stay until the buckets are ranked.
    fn difference(&mut self, targets: &[Candidate]) -> Difference {
        let mut out = Difference {
            lost: vec![false; self.arena.len()],
            ..Difference::default()
        };
        self.remove_missing(targets, &mut out);
        for candidate in targets {
            let target = Target::new(candidate);
            let Some(&key) = self.keys.get(&target.id) else {
                out.gained.push(self.insert(target));
                continue;
            };
            let old = self.arena[usize::from(key)].replace(target);
            let before = old.map_or(0, |old| old.weight);
            out.lost[usize::from(key)] = target.weight < before;
            if target.weight > before {
                out.gained.push(key);
            }
        }
        out.lost.resize(self.arena.len(), false);
        out
    }

    fn remove_missing(&mut self, targets: &[Candidate], out: &mut Difference) {
        let mut wanted = targets.iter().map(|target| target.id).peekable();
        self.keys.retain(|id, key| {
            while wanted.next_if(|next| next < id).is_some() {}
            let keep = wanted.peek() == Some(id);
            if !keep {
                out.lost[usize::from(*key)] = true;
                out.removed.push(*key);
            }
            keep
        });
    }

    fn insert(&mut self, target: Target) -> u16 {
        let key = self.free.pop().unwrap_or(self.arena.len() as u16);
        debug_assert!(key < NONE, "the arena is bounded by twice MAX_TARGETS");
        if usize::from(key) == self.arena.len() {
            self.arena.push(None);
        }
        self.arena[usize::from(key)] = Some(target);
        self.keys.insert(target.id, key);
        key
    }

    fn rank_buckets(&mut self, difference: &Difference) -> Changes {
        let live = self.live(self.keys.values().copied());
        let gained = self.live(difference.gained.iter().copied());
        let is_lost = |key: u16| {
            difference
                .lost
                .get(usize::from(key))
                .is_some_and(|lost| *lost)
        };
        let mut changes = Changes::default();
        let mut endpoint_indices = vec![NONE; self.arena.len()];
        if gained.is_empty() && !difference.lost.contains(&true) {
            return changes;
        }
        for index in 0..self.buckets.len() {
            let old = self.buckets[index];
            let new = if is_lost(old.first) || is_lost(old.second) {
                Best::default().offer_all(&live, index).bucket()
            } else {
                self.best(old, index).offer_all(&gained, index).bucket()
            };
            self.buckets[index] = new;
            if let (true, Some(target)) = (old.first != new.first, self.target(old.first)) {
                let endpoint = &mut endpoint_indices[usize::from(old.first)];
                if *endpoint == NONE {
                    *endpoint = changes.endpoints.len() as u16;
                    changes.endpoints.push(target.endpoint);
                }
                changes.firsts.push((index as u16, *endpoint));
            }
        }
        changes
    }

    fn live(&self, keys: impl Iterator<Item = u16>) -> Vec<(u16, Target)> {
        keys.filter_map(|key| Some((key, *self.target(key)?)))
            .collect()
    }

    /// Present candidates of a bucket with their ranks.
    fn best(&self, bucket: Bucket, index: usize) -> Best {
        let ranked = |key| Some((self.target(key)?.rank(index), key));
        let mut out = Best::default();
        for entry in [bucket.first, bucket.second].into_iter().filter_map(ranked) {
            out.offer(entry);
        }
        out
    }

    fn is_consistent(&self) -> bool {
        let live = |key: u16| key == NONE || self.target(key).is_some();
        let known = self.keys.values().all(|key| self.target(*key).is_some());
        let filled = self.buckets.iter().all(|bucket| {
            let full = (bucket.first == NONE) == self.keys.is_empty()
                && (bucket.second == NONE) == (self.keys.len() < 2);
            let distinct = bucket.first != bucket.second || bucket.first == NONE;
            full && distinct && live(bucket.first) && live(bucket.second)
        });
        known && filled
    }
}

/// Two best ranked targets so far, without repetition.
#[derive(Default)]
struct Best {
    first: Option<(Rank, u16)>,
    second: Option<(Rank, u16)>,
}

impl Best {
    fn offer_all(mut self, targets: &[(u16, Target)], bucket: usize) -> Self {
        for (key, target) in targets {
            let draw = score::draw(target.seed, bucket);
            let limit = self.second.map_or(u64::MAX, |((score, _), _)| score);
            if score::at_least(draw, target.inverse) <= limit {
                self.offer(((score::score(draw, target.inverse), target.id), *key));
            }
        }
        self
    }

    fn offer(&mut self, entry: (Rank, u16)) {
        if self.second.is_some_and(|second| second <= entry) || self.first == Some(entry) {
            return;
        }
        if self.first.is_some_and(|first| first < entry) {
            self.second = Some(entry);
        } else {
            self.second = self.first.replace(entry);
        }
    }

    fn bucket(&self) -> Bucket {
        let key = |entry: Option<(Rank, u16)>| entry.map_or(NONE, |(_, key)| key);
        Bucket {
            first: key(self.first),
            second: key(self.second),
        }
    }
}

/// Targets with a weight, local ones if there are any, by ascending ID without repetition.
fn usable(targets: impl IntoIterator<Item = Candidate>) -> Vec<Candidate> {
    let mut out: Vec<_> = targets
        .into_iter()
        .filter(|target| target.weight > 0)
        .collect();
    if out.iter().any(|target| target.local) {
        out.retain(|target| target.local);
    }
    out.sort_by_key(|target| target.id);
    out.dedup_by_key(|target| target.id);
    out
}
