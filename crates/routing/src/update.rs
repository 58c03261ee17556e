//! Incremental change of a table.
//!
//! The cost is proportional to the buckets times the changed targets: a removed or lighter target
//! costs a full ranking of the buckets in which it was a candidate, a new or heavier one costs one
//! comparison in each bucket.

use crate::score;
use crate::table::{Bucket, Candidate, Endpoint, MAX_TARGETS, NO_INDEX, Rank, Table, Target};

/// First candidates that a change replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Changes {
    /// Agents replaced in some bucket.
    pub endpoints: Vec<Endpoint>,
    /// Changed buckets in ascending order, each with an index into `endpoints`.
    pub replaced: Vec<(u16, u16)>,
    /// Targets ignored because of [`MAX_TARGETS`].
    pub ignored: usize,
}

/// Arena indices by kind of change.
#[derive(Default)]
struct Difference {
    /// Whether the target at an index was removed or became lighter.
    lost: Vec<bool>,
    /// Targets that are new or became heavier.
    gained: Vec<u16>,
    removed: Vec<u16>,
}

impl Table {
    /// Replaces the targets and returns the replaced first candidates.
    pub(crate) fn update(&mut self, targets: impl IntoIterator<Item = Candidate>) -> Changes {
        let mut targets = usable(targets);
        let ignored = targets.len().saturating_sub(MAX_TARGETS);
        targets.truncate(MAX_TARGETS);
        let difference = self.difference(&targets);
        let mut changes = self.rank_buckets(&difference);
        changes.ignored = ignored;
        for index in difference.removed {
            self.arena[usize::from(index)] = None;
            self.free.push(index);
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
            let Some(&index) = self.indices.get(&target.id) else {
                out.gained.push(self.insert(target));
                continue;
            };
            let old = self.arena[usize::from(index)].replace(target);
            let before = old.map_or(0, |old| old.weight);
            out.lost[usize::from(index)] = target.weight < before;
            if target.weight > before {
                out.gained.push(index);
            }
        }
        out.lost.resize(self.arena.len(), false);
        out
    }

    fn remove_missing(&mut self, targets: &[Candidate], out: &mut Difference) {
        let mut wanted = targets.iter().map(|target| target.id).peekable();
        self.indices.retain(|id, index| {
            while wanted.next_if(|next| next < id).is_some() {}
            let keep = wanted.peek() == Some(id);
            if !keep {
                out.lost[usize::from(*index)] = true;
                out.removed.push(*index);
            }
            keep
        });
    }

    fn insert(&mut self, target: Target) -> u16 {
        let index = self.free.pop().unwrap_or(self.arena.len() as u16);
        debug_assert!(
            index < NO_INDEX,
            "the arena is bounded by twice MAX_TARGETS"
        );
        if usize::from(index) == self.arena.len() {
            self.arena.push(None);
        }
        self.arena[usize::from(index)] = Some(target);
        self.indices.insert(target.id, index);
        index
    }

    fn rank_buckets(&mut self, difference: &Difference) -> Changes {
        let live = self.live(self.indices.values().copied());
        let gained = self.live(difference.gained.iter().copied());
        let is_lost = |index: u16| {
            difference
                .lost
                .get(usize::from(index))
                .is_some_and(|lost| *lost)
        };
        let mut changes = Changes::default();
        let mut endpoint_indices = vec![NO_INDEX; self.arena.len()];
        if gained.is_empty() && !difference.lost.contains(&true) {
            return changes;
        }
        for bucket in 0..self.buckets.len() {
            let old = self.buckets[bucket];
            let new = if is_lost(old.first) || is_lost(old.second) {
                Best::default().offer_all(&live, bucket).bucket()
            } else {
                self.best(old, bucket).offer_all(&gained, bucket).bucket()
            };
            self.buckets[bucket] = new;
            if let (true, Some(target)) = (old.first != new.first, self.target(old.first)) {
                let endpoint_index = &mut endpoint_indices[usize::from(old.first)];
                if *endpoint_index == NO_INDEX {
                    *endpoint_index = changes.endpoints.len() as u16;
                    changes.endpoints.push(target.endpoint);
                }
                changes.replaced.push((bucket as u16, *endpoint_index));
            }
        }
        changes
    }

    fn live(&self, indices: impl Iterator<Item = u16>) -> Vec<(u16, Target)> {
        indices
            .filter_map(|index| Some((index, *self.target(index)?)))
            .collect()
    }

    /// Present candidates of a bucket with their ranks.
    fn best(&self, present: Bucket, bucket: usize) -> Best {
        let ranked = |index| Some((self.target(index)?.rank(bucket), index));
        let mut out = Best::default();
        for entry in [present.first, present.second]
            .into_iter()
            .filter_map(ranked)
        {
            out.offer(entry);
        }
        out
    }

    fn is_consistent(&self) -> bool {
        let live = |index: u16| index == NO_INDEX || self.target(index).is_some();
        let known = self
            .indices
            .values()
            .all(|index| self.target(*index).is_some());
        let filled = self.buckets.iter().all(|bucket| {
            let full = (bucket.first == NO_INDEX) == self.indices.is_empty()
                && (bucket.second == NO_INDEX) == (self.indices.len() < 2);
            let distinct = bucket.first != bucket.second || bucket.first == NO_INDEX;
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
        for (index, target) in targets {
            let hash = score::hash(target.seed, bucket);
            let limit = self.second.map_or(u64::MAX, |((score, _), _)| score);
            if score::lower_bound(hash, target.inverse_weight) <= limit {
                self.offer((
                    (score::score(hash, target.inverse_weight), target.id),
                    *index,
                ));
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
        let index = |entry: Option<(Rank, u16)>| entry.map_or(NO_INDEX, |(_, index)| index);
        Bucket {
            first: index(self.first),
            second: index(self.second),
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
