//! Previous first candidates: those that recent changes replaced, per bucket.

use std::collections::VecDeque;

use monsoon_model::{Duration, Instant};

use crate::table::{Endpoint, NO_INDEX};
use crate::update::Changes;

/// Time for which previous candidates come first in chains. Longer than a handshake.
pub const PREVIOUS_TTL: Duration = Duration::from_secs(10);

/// Time span of the changes in one batch, which bounds the number of batches to 11. A bucket that
/// changes twice within a batch keeps the oldest candidate.
const BATCH_SPAN: Duration = Duration::from_secs(1);

/// Maximum number of previous candidates of one service: twice the buckets of its table, in
/// 128 KiB. Beyond it the oldest batch is evicted and counted.
pub const MAX_HISTORY: usize = 2 * crate::BUCKETS;

/// Previous candidates of the changes within [`BATCH_SPAN`].
#[derive(Debug)]
struct Batch {
    opened_at: Instant,
    expires_at: Instant,
    changes: Changes,
}

/// Previous candidates of one service, oldest batch first.
#[derive(Debug, Default)]
pub(crate) struct History {
    batches: VecDeque<Batch>,
}

impl History {
    /// Adds the candidates replaced by a change. Returns how many were evicted because of
    /// [`MAX_HISTORY`].
    pub(crate) fn push(&mut self, now: Instant, changes: Changes) -> usize {
        self.batches.retain(|batch| batch.expires_at > now);
        if changes.replaced.is_empty() {
            return 0;
        }
        let expires_at = now + PREVIOUS_TTL;
        match self
            .batches
            .back_mut()
            .filter(|last| now.since(last.opened_at) < BATCH_SPAN)
        {
            Some(last) => {
                last.changes.merge(&changes);
                last.expires_at = expires_at;
            }
            None => self.batches.push_back(Batch {
                opened_at: now,
                expires_at,
                changes,
            }),
        }
        self.evict_excess()
    }

    fn evict_excess(&mut self) -> usize {
        let mut total: usize = self
            .batches
            .iter()
            .map(|batch| batch.changes.replaced.len())
            .sum();
        let mut evicted = 0;
        while total > MAX_HISTORY {
            let oldest = self
                .batches
                .pop_front()
                .map_or(0, |batch| batch.changes.replaced.len());
            total -= oldest;
            evicted += oldest;
        }
        evicted
    }

    /// Returns the candidates replaced in a bucket within [`PREVIOUS_TTL`], oldest first.
    pub(crate) fn previous(&self, now: Instant, bucket: usize) -> impl Iterator<Item = Endpoint> {
        let live = self
            .batches
            .iter()
            .filter(move |batch| batch.expires_at > now);
        live.filter_map(move |batch| batch.changes.endpoint(bucket))
    }
}

impl Changes {
    fn endpoint(&self, bucket: usize) -> Option<Endpoint> {
        let entry = self
            .replaced
            .binary_search_by_key(&bucket, |entry| usize::from(entry.0))
            .ok()?;
        self.endpoints
            .get(usize::from(self.replaced[entry].1))
            .copied()
    }

    /// Adds the buckets of a later change that are not present yet. Adds only the endpoints that
    /// they refer to, so that there are never more endpoints than buckets and no index overflows.
    fn merge(&mut self, later: &Changes) {
        let mut new_indices = vec![NO_INDEX; later.endpoints.len()];
        let old_len = self.replaced.len();
        for (bucket, index) in &later.replaced {
            let known = &self.replaced[..old_len];
            if known.binary_search_by_key(bucket, |entry| entry.0).is_ok() {
                continue;
            }
            let index = usize::from(*index);
            if new_indices[index] == NO_INDEX {
                new_indices[index] = self.endpoints.len() as u16;
                self.endpoints.push(later.endpoints[index]);
            }
            self.replaced.push((*bucket, new_indices[index]));
        }
        self.replaced.sort_by_key(|entry| entry.0);
        debug_assert!(
            self.endpoints.len() <= self.replaced.len(),
            "an endpoint belongs to no bucket"
        );
    }
}

#[cfg(test)]
mod tests;
