//! Rankings of members by key (rendezvous hashing).

use monsoon_model::AgentId;
use monsoon_model::hash::mix;

/// The `count` highest-ranked of `ids` for `key`, best first.
pub(crate) fn top(key: u64, ids: impl IntoIterator<Item = AgentId>, count: usize) -> Vec<AgentId> {
    let mut best: Vec<(u64, AgentId)> = Vec::with_capacity(count + 1);
    for id in ids {
        let item = (mix(key, id.0), id);
        let at = best.partition_point(|other| *other > item);
        if at < count {
            best.insert(at, item);
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, id)| id).collect()
}

/// Position of `id` in the ranking of `ids` for `key`, zero for the best.
pub(crate) fn position(key: u64, ids: impl IntoIterator<Item = AgentId>, id: AgentId) -> usize {
    let own = (mix(key, id.0), id);
    ids.into_iter()
        .filter(|&other| (mix(key, other.0), other) > own)
        .count()
}
