//! Table of the first and second candidate of each bucket of flow keys.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, Chain, DataCentreId};

use crate::{chain, score};

/// Number of buckets of a table, a power of two.
///
/// The number is fixed because all balancers must map a flow to the same bucket, however many
/// targets they know. A table occupies 64 KiB, and 360 tables 23 MiB. With ten equal targets, the
/// share of a target has a standard deviation of 2.3 %. With 3,700 targets a target has only
/// 4 buckets on average, and the load limits of the agents even out the differences.
pub const BUCKETS: usize = 1 << BUCKET_BITS;
const BUCKET_BITS: u32 = 14;

/// Maximum number of targets of a table. Targets with larger IDs are ignored and counted.
pub const MAX_TARGETS: usize = 8_192;

/// Maximum weight of a target. Larger weights are reduced to it.
pub const MAX_WEIGHT: u32 = 65_535;

/// Index that refers to no entry.
pub(crate) const NO_INDEX: u16 = u16::MAX;

/// Target that may accept new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// ID of the agent process, which determines its buckets.
    pub id: AgentId,
    /// Address of the agent's encapsulation socket.
    pub agent: SocketAddrV4,
    /// Data centre of the agent.
    pub data_centre: DataCentreId,
    /// Share of the new flows relative to other targets. A target with weight 0 gets none.
    pub weight: u32,
    /// Whether the target is in the balancer's region.
    pub local: bool,
}

/// Address of an agent and its data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Endpoint {
    pub agent: SocketAddrV4,
    pub data_centre: DataCentreId,
}

/// Target in the arena of a table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    pub id: AgentId,
    pub endpoint: Endpoint,
    pub weight: u32,
    /// Hash of the ID, so that IDs that differ in few bits get unrelated scores.
    pub seed: u64,
    pub inverse_weight: u64,
}

impl Target {
    pub(crate) fn new(candidate: &Candidate) -> Self {
        let weight = candidate.weight.min(MAX_WEIGHT);
        Self {
            id: candidate.id,
            endpoint: Endpoint {
                agent: candidate.agent,
                data_centre: candidate.data_centre,
            },
            weight,
            seed: mix(candidate.id.0, 0),
            inverse_weight: score::inverse_weight(weight),
        }
    }

    /// Returns the rank for a bucket. The smallest wins, and the ID breaks ties of scores.
    pub(crate) fn rank(&self, bucket: usize) -> Rank {
        (
            score::score(score::hash(self.seed, bucket), self.inverse_weight),
            self.id,
        )
    }
}

pub(crate) type Rank = (u64, AgentId);

/// Arena indices of a bucket's candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Bucket {
    pub first: u16,
    pub second: u16,
}

/// Candidates for new flows of one service, per bucket of flow keys.
#[derive(Debug)]
pub struct Table {
    pub(crate) arena: Vec<Option<Target>>,
    pub(crate) indices: BTreeMap<AgentId, u16>,
    pub(crate) free: Vec<u16>,
    pub(crate) buckets: Vec<Bucket>,
}

impl Table {
    /// Builds a table. If any target is local, only local targets are used.
    pub fn new(targets: impl IntoIterator<Item = Candidate>) -> Self {
        let mut table = Self::empty();
        table.update(targets);
        table
    }

    pub(crate) fn empty() -> Self {
        Self {
            arena: Vec::new(),
            indices: BTreeMap::new(),
            free: Vec::new(),
            buckets: vec![
                Bucket {
                    first: NO_INDEX,
                    second: NO_INDEX
                };
                BUCKETS
            ],
        }
    }

    /// Returns the first and second candidate for a flow key, or fewer if there are fewer targets.
    pub fn chain(&self, key: u64) -> Chain {
        chain::collect(self.candidates(bucket_of(key)).map(chain::hop))
    }

    /// Returns the number of targets in use.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether no target is in use.
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    pub(crate) fn candidates(&self, bucket: usize) -> impl Iterator<Item = Endpoint> {
        let Bucket { first, second } = self.buckets[bucket];
        [first, second]
            .into_iter()
            .filter_map(|index| Some(self.target(index)?.endpoint))
    }

    /// Returns all targets of a bucket by rank. The first two come from the table. The others are
    /// ranked on demand, at a cost proportional to the number of targets.
    pub(crate) fn ranked(&self, bucket: usize) -> impl Iterator<Item = Endpoint> {
        let rest = std::iter::once_with(move || self.rank_rest(bucket)).flatten();
        self.candidates(bucket).chain(rest)
    }

    fn rank_rest(&self, bucket: usize) -> Vec<Endpoint> {
        let Bucket { first, second } = self.buckets[bucket];
        let indices = self
            .indices
            .values()
            .filter(|index| **index != first && **index != second);
        let targets = indices.filter_map(|index| self.target(*index));
        let mut ranked: Vec<_> = targets
            .map(|target| (target.rank(bucket), target.endpoint))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    pub(crate) fn target(&self, index: u16) -> Option<&Target> {
        self.arena.get(usize::from(index))?.as_ref()
    }
}

/// Returns the bucket of a flow key.
pub(crate) fn bucket_of(key: u64) -> usize {
    (key >> (u64::BITS - BUCKET_BITS)) as usize
}
