//! First candidates that recent changes replaced, per bucket.

use std::collections::VecDeque;

use monsoon_model::{Duration, Instant};

use crate::table::{Endpoint, NO_INDEX};
use crate::update::Changes;

/// Time for which replaced candidates are asked first; longer than a handshake.
pub const PREVIOUS_TTL: Duration = Duration::from_secs(10);

/// Changes within this time share a batch, which bounds the batches to 11. A bucket that changes
/// twice within a batch keeps its oldest candidate.
const BATCH: Duration = Duration::from_secs(1);

/// Most replaced candidates of one service, twice the buckets of its table, in 128 KiB. When there
/// are more, the oldest batch is dropped and counted.
pub const MAX_HISTORY: usize = 2 * crate::BUCKETS;

/// Replaced candidates of changes that happened close together.
#[derive(Debug)]
struct Batch {
    opened: Instant,
    until: Instant,
    changes: Changes,
}

/// Replaced candidates of one service, oldest batch first.
#[derive(Debug, Default)]
pub(crate) struct History {
    batches: VecDeque<Batch>,
}

impl History {
    /// Adds replaced candidates; returns how many were dropped because of [`MAX_HISTORY`].
    pub(crate) fn push(&mut self, now: Instant, changes: Changes) -> usize {
        self.batches.retain(|batch| batch.until > now);
        if changes.replaced.is_empty() {
            return 0;
        }
        let until = now + PREVIOUS_TTL;
        match self
            .batches
            .back_mut()
            .filter(|last| now.since(last.opened) < BATCH)
        {
            Some(last) => {
                last.changes.merge(&changes);
                last.until = until;
            }
            None => self.batches.push_back(Batch {
                opened: now,
                until,
                changes,
            }),
        }
        self.shrink()
    }

    fn shrink(&mut self) -> usize {
        let mut total: usize = self
            .batches
            .iter()
            .map(|batch| batch.changes.replaced.len())
            .sum();
        let mut dropped = 0;
        while total > MAX_HISTORY {
            let oldest = self
                .batches
                .pop_front()
                .map_or(0, |batch| batch.changes.replaced.len());
            total -= oldest;
            dropped += oldest;
        }
        dropped
    }

    /// Candidates replaced in a bucket within [`PREVIOUS_TTL`], oldest first.
    pub(crate) fn previous(&self, now: Instant, bucket: usize) -> impl Iterator<Item = Endpoint> {
        let live = self.batches.iter().filter(move |batch| batch.until > now);
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

    /// Adds the buckets of a later change that are not present yet, and only the endpoints that
    /// these refer to, so that there are never more endpoints than buckets.
    fn merge(&mut self, later: &Changes) {
        let mut new_indices = vec![NO_INDEX; later.endpoints.len()];
        let present = self.replaced.len();
        for (bucket, index) in &later.replaced {
            let known = &self.replaced[..present];
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
            "endpoint without a bucket"
        );
    }
}

#[cfg(test)]
mod tests;
