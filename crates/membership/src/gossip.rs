//! Changes and loads that wait to be gossiped, each for a bounded number of rounds.

use std::collections::BTreeMap;

use monsoon_model::AgentId;

use crate::bounds::{LOAD_REPEATS, LOADS_PER_MESSAGE, MAX_CHANGES, MAX_LOADS, PAGE_BYTES, REPEATS};
use crate::message::size;
use crate::{Entry, LoadRecord};

/// Outgoing news. Entries are looked up when they are sent, so that only the newest state travels.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    changes: BTreeMap<AgentId, u8>,
    loads: BTreeMap<AgentId, (LoadRecord, u8)>,
    /// Changes dropped because the queue was full.
    pub(crate) dropped: u64,
    /// Where the next round starts, so that a long queue is served in turn.
    cursor: AgentId,
}

impl Gossip {
    /// Queues a change of `id` for [`REPEATS`] rounds.
    pub(crate) fn change(&mut self, id: AgentId) {
        if self.changes.len() >= MAX_CHANGES && !self.changes.contains_key(&id) {
            self.dropped += 1;
            return;
        }
        self.changes.insert(id, REPEATS);
        assert!(
            self.changes.len() <= MAX_CHANGES,
            "the queue of changes is bounded"
        );
    }

    /// Queues a load for [`LOAD_REPEATS`] rounds.
    pub(crate) fn load(&mut self, record: LoadRecord) {
        if self.loads.len() < MAX_LOADS || self.loads.contains_key(&record.id) {
            self.loads.insert(record.id, (record, LOAD_REPEATS));
        }
    }

    /// Entries of the next round, at most one message.
    pub(crate) fn take(&mut self, entry: impl Fn(AgentId) -> Option<Entry>) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut used = 0;
        let later = self.changes.range(self.cursor..).map(|(&id, _)| id);
        let order = later.chain(self.changes.range(..self.cursor).map(|(&id, _)| id));
        let order = order.collect::<Vec<_>>();
        for id in order {
            let Some(found) = entry(id) else {
                self.changes.remove(&id);
                continue;
            };
            let bytes = size(&found);
            if used + bytes > PAGE_BYTES {
                self.cursor = id;
                break;
            }
            used += bytes;
            taken.push(found);
            countdown(&mut self.changes, id);
        }
        taken
    }

    /// Loads of the next round. A round with many changes carries none.
    pub(crate) fn take_loads(&mut self, entries: usize) -> Vec<LoadRecord> {
        if entries * 50 > PAGE_BYTES / 2 {
            return Vec::new();
        }
        let ids = self
            .loads
            .keys()
            .copied()
            .take(LOADS_PER_MESSAGE)
            .collect::<Vec<_>>();
        let mut taken = Vec::new();
        for id in ids {
            let Some((record, left)) = self.loads.remove(&id) else {
                continue;
            };
            taken.push(record);
            if left > 1 {
                self.loads.insert(id, (record, left - 1));
            }
        }
        taken
    }
}

fn countdown(changes: &mut BTreeMap<AgentId, u8>, id: AgentId) {
    let Some(left) = changes.get_mut(&id) else {
        return;
    };
    *left -= 1;
    if *left == 0 {
        changes.remove(&id);
    }
}
