//! Incremental updates of a table.
//!
//! The cost of an update is proportional to the number of buckets times the number of changed
//! targets. A target that is removed or gets a lower weight requires a full ranking of the buckets
//! where it was a candidate. A target that is new or gets a higher weight requires one comparison
//! per bucket.

use crate::score;
use crate::table::{Bucket, Candidate, Endpoint, MAX_TARGETS, NO_INDEX, Rank, Table, Target};

/// First candidates that an update replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Changes {
    /// Agents replaced in at least one bucket.
    pub endpoints: Vec<Endpoint>,
    /// Buckets with a new first candidate, in ascending order, each with the index of the previous
    /// one in `endpoints`.
    pub replaced: Vec<(u16, u16)>,
    /// Number of targets ignored because of [`MAX_TARGETS`].
    pub ignored: usize,
}

/// Arena indices of changed targets.
#[derive(Default)]
struct Difference {
    /// Whether the target at each index was removed or got a lower weight.
    lowered: Vec<bool>,
    /// Targets that are new or got a higher weight.
    raised: Vec<u16>,
    removed: Vec<u16>,
}

impl Table {
    /// Replaces the targets and returns the first candidates that this replaced.
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
        debug_assert!(self.is_consistent(), "a bucket refers to a removed target");
        changes
    }

    /// Adds the targets to the arena. Removed targets stay in it until the buckets are ranked.
    fn difference(&mut self, targets: &[Candidate]) -> Difference {
        let mut difference = Difference {
            lowered: vec![false; self.arena.len()],
            ..Difference::default()
        };
        self.remove_missing(targets, &mut difference);
        for candidate in targets {
            let target = Target::new(candidate);
            let Some(&index) = self.indices.get(&target.id) else {
                difference.raised.push(self.insert(target));
                continue;
            };
            let old = self.arena[usize::from(index)].replace(target);
            let before = old.map_or(0, |old| old.weight);
            difference.lowered[usize::from(index)] = target.weight < before;
            if target.weight > before {
                difference.raised.push(index);
            }
        }
        difference.lowered.resize(self.arena.len(), false);
        difference
    }

    fn remove_missing(&mut self, targets: &[Candidate], difference: &mut Difference) {
        let mut wanted = targets.iter().map(|target| target.id).peekable();
        self.indices.retain(|id, index| {
            while wanted.next_if(|next| next < id).is_some() {}
            let is_wanted = wanted.peek() == Some(id);
            if !is_wanted {
                difference.lowered[usize::from(*index)] = true;
                difference.removed.push(*index);
            }
            is_wanted
        });
    }

    fn insert(&mut self, target: Target) -> u16 {
        let index = self.free.pop().unwrap_or(self.arena.len() as u16);
        debug_assert!(
            index < NO_INDEX,
            "the arena holds at most twice MAX_TARGETS targets"
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
        let raised = self.live(difference.raised.iter().copied());
        let is_lowered = |index: u16| {
            difference
                .lowered
                .get(usize::from(index))
                .is_some_and(|lowered| *lowered)
        };
        let mut changes = Changes::default();
        let mut endpoint_indices = vec![NO_INDEX; self.arena.len()];
        if raised.is_empty() && !difference.lowered.contains(&true) {
            return changes;
        }
        for bucket in 0..self.buckets.len() {
            let old = self.buckets[bucket];
            let new = if is_lowered(old.first) || is_lowered(old.second) {
                Best::default().offer_all(&live, bucket).bucket()
            } else {
                self.best(old, bucket).offer_all(&raised, bucket).bucket()
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

    /// Returns the current candidates of a bucket with their ranks.
    fn best(&self, current: Bucket, bucket: usize) -> Best {
        let ranked = |index| Some((self.target(index)?.rank(bucket), index));
        let mut best = Best::default();
        for entry in [current.first, current.second]
            .into_iter()
            .filter_map(ranked)
        {
            best.offer(entry);
        }
        best
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

/// The two best-ranked distinct targets so far.
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

/// Returns the distinct targets with a nonzero weight by ascending ID. If any of them is local,
/// only local ones are returned.
fn usable(targets: impl IntoIterator<Item = Candidate>) -> Vec<Candidate> {
    let mut usable: Vec<_> = targets
        .into_iter()
        .filter(|target| target.weight > 0)
        .collect();
    if usable.iter().any(|target| target.local) {
        usable.retain(|target| target.local);
    }
    usable.sort_by_key(|target| target.id);
    usable.dedup_by_key(|target| target.id);
    usable
}
