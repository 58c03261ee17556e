//! Order and bounds of the queues.

use std::collections::BTreeSet;

use monsoon_model::AgentId;

use super::GossipQueue;
use crate::LoadRecord;
use crate::bounds::{LOADS_PER_MESSAGE, MAX_CHANGES};

/// Guards against loads of high identities that wait for ever behind changing low ones.
#[test]
fn loads_are_taken_in_turn() {
    let mut gossip = GossipQueue::default();
    let mut sent = BTreeSet::new();
    let total = 5 * LOADS_PER_MESSAGE as u64;
    for sequence in 0..5 {
        for id in 0..total {
            gossip.queue_load(LoadRecord {
                id: AgentId(id),
                sequence,
                load: 1,
            });
        }
        let (_, loads) = gossip.take_round(1_000, |_| None);
        sent.extend(loads.iter().map(|record| record.id));
    }
    assert_eq!(sent.len() as u64, total, "five rounds carry all loads");
}

/// Guards against a queue of changes that grows without bound.
#[test]
fn changes_beyond_the_bound_are_dropped_and_counted() {
    let mut gossip = GossipQueue::default();
    for id in 0..MAX_CHANGES as u64 + 3 {
        gossip.queue_change(AgentId(id));
    }
    assert_eq!(
        gossip.dropped, 3,
        "the changes beyond the bound are counted"
    );
}
