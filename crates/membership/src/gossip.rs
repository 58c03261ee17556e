//! Queue of changes and loads to gossip, each for a bounded number of rounds.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use monsoon_model::AgentId;

use crate::bounds::{CHANGE_ROUNDS, LOAD_ROUNDS, LOADS_PER_MESSAGE, MAX_CHANGES, MAX_LOADS};
use crate::message::size;
use crate::{Entry, LoadRecord};

/// Largest encoded load record, in bytes.
const MAX_LOAD_BYTES: usize = 23;

/// Outgoing changes and loads. Holds identities of changed members; their entries are looked up
/// when a round is sent, so that it carries the newest state.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    changes: BTreeMap<AgentId, u8>,
    loads: BTreeMap<AgentId, (LoadRecord, u8)>,
    /// Changes dropped because the queue was full.
    pub(crate) dropped: u64,
    /// Identity at which the next round starts, so that every member of a long queue is sent in
    /// turn.
    change_cursor: AgentId,
    load_cursor: AgentId,
}

impl GossipQueue {
    /// Queues a change of `id` for [`CHANGE_ROUNDS`] rounds.
    pub(crate) fn queue_change(&mut self, id: AgentId) {
        if self.changes.len() >= MAX_CHANGES && !self.changes.contains_key(&id) {
            self.dropped += 1;
            return;
        }
        self.changes.insert(id, CHANGE_ROUNDS);
        assert!(
            self.changes.len() <= MAX_CHANGES,
            "the queue of changes is bounded"
        );
    }

    /// Queues a load for [`LOAD_ROUNDS`] rounds.
    pub(crate) fn queue_load(&mut self, record: LoadRecord) {
        if self.loads.len() < MAX_LOADS || self.loads.contains_key(&record.id) {
            self.loads.insert(record.id, (record, LOAD_ROUNDS));
        }
    }

    /// Takes entries and loads for the next round, at most `room` bytes together, entries first.
    pub(crate) fn take_round(
        &mut self,
        room: usize,
        entry: impl Fn(AgentId) -> Option<Entry>,
    ) -> (Vec<Entry>, Vec<LoadRecord>) {
        let mut sent = Vec::new();
        let mut used = 0;
        for id in keys_from(&self.changes, self.change_cursor) {
            let Some(found) = entry(id) else {
                self.changes.remove(&id);
                continue;
            };
            let bytes = size(&found);
            if used + bytes > room {
                self.change_cursor = id;
                break;
            }
            used += bytes;
            sent.push(found);
            count_round(&mut self.changes, id);
        }
        (sent, self.take_loads(room - used))
    }

    fn take_loads(&mut self, room: usize) -> Vec<LoadRecord> {
        let count = LOADS_PER_MESSAGE.min(room / MAX_LOAD_BYTES);
        let mut ids = keys_from(&self.loads, self.load_cursor);
        self.load_cursor = ids.get(count).copied().unwrap_or_default();
        ids.truncate(count);
        let mut sent = Vec::new();
        for id in ids {
            let Some((record, remaining)) = self.loads.remove(&id) else {
                continue;
            };
            sent.push(record);
            if remaining > 1 {
                self.loads.insert(id, (record, remaining - 1));
            }
        }
        sent
    }
}

/// All keys in order, starting at `cursor`.
fn keys_from<T>(map: &BTreeMap<AgentId, T>, cursor: AgentId) -> Vec<AgentId> {
    let later = map.range(cursor..).map(|(&id, _)| id);
    later
        .chain(map.range(..cursor).map(|(&id, _)| id))
        .collect()
}

fn count_round(changes: &mut BTreeMap<AgentId, u8>, id: AgentId) {
    let Some(remaining) = changes.get_mut(&id) else {
        return;
    };
    *remaining -= 1;
    if *remaining == 0 {
        changes.remove(&id);
    }
}
