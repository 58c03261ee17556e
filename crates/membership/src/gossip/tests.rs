//! Tests of the order and the limits of the gossip queue.

use std::collections::BTreeSet;

use monsoon_model::AgentId;

use super::GossipQueue;
use crate::LoadRecord;
use crate::bounds::{LOADS_PER_MESSAGE, MAX_CHANGES};

/// Loads of high identities waited forever when those of low identities changed in every round.
#[test]
fn loads_of_high_identities_are_not_starved() {
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
    assert_eq!(
        sent.len() as u64,
        total,
        "five rounds did not carry all loads"
    );
}

/// A burst of changes must not grow the queue without limit.
#[test]
fn changes_beyond_the_limit_are_dropped_and_counted() {
    let mut gossip = GossipQueue::default();
    for id in 0..MAX_CHANGES as u64 + 3 {
        gossip.queue_change(AgentId(id));
    }
    assert_eq!(
        gossip.dropped, 3,
        "not every change beyond the limit was counted"
    );
}
