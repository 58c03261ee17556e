//! Open streams of the target, counted against its connections.

use std::collections::BTreeSet;

use monsoon_model::Instant;

use crate::types::{ShedReason, WorkId};

/// Time over which a cold target may fill its cold share of the connections, in seconds.
const COLD_FILL_SECS: f64 = 10.0;

/// New streams that a cold target takes at once after a quiet time.
const COLD_BURST: f64 = 2.0;

/// Streams of one target.
#[derive(Clone, Debug)]
pub(crate) struct Streams {
    open: BTreeSet<WorkId>,
    connections: usize,
    cold_connections: f64,
    tokens: f64,
    refilled: Instant,
}

impl Streams {
    pub(crate) fn new(connections: u32, cold_share: f64) -> Self {
        Self {
            open: BTreeSet::new(),
            connections: connections as usize,
            cold_connections: f64::from(connections) * cold_share,
            tokens: 1.0,
            refilled: Instant::ZERO,
        }
    }

    /// Changes the connections; open streams above them stay.
    pub(crate) fn resize(&mut self, connections: u32, cold_share: f64) {
        self.connections = connections as usize;
        self.cold_connections = f64::from(connections) * cold_share;
    }

    /// Opens a stream, or gives the reason for the refusal.
    pub(crate) fn open(&mut self, now: Instant, id: WorkId, cold: bool) -> Result<(), ShedReason> {
        if self.open.len() >= self.connections {
            return Err(ShedReason::Connections);
        }
        self.refill(now);
        if cold {
            if self.open.len() as f64 >= self.cold_connections.max(1.0) || self.tokens < 1.0 {
                return Err(ShedReason::Cold);
            }
            self.tokens -= 1.0;
        }
        self.open.insert(id);
        assert!(
            self.open.len() <= self.connections,
            "streams exceed the connections"
        );
        Ok(())
    }

    /// Closes a stream; false when it was not open.
    pub(crate) fn close(&mut self, id: WorkId) -> bool {
        self.open.remove(&id)
    }

    /// Number of open streams.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    fn refill(&mut self, now: Instant) {
        let rate = self.cold_connections / COLD_FILL_SECS;
        let earned = now.since(self.refilled).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(COLD_BURST);
        self.refilled = self.refilled.max(now);
    }
}
