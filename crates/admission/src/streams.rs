//! Open streams of the target, bounded by its connections and paced while it is cold.

use std::collections::BTreeSet;

use monsoon_model::Instant;

use crate::types::{ShedReason, WorkId};

/// Time in which a cold target may fill its cold share of the connections, in seconds.
const COLD_FILL_SECS: f64 = 10.0;

/// Maximum number of streams that a cold target accepts at once after a quiet period.
const COLD_BURST: f64 = 2.0;

/// Open streams of one target.
#[derive(Clone, Debug)]
pub(crate) struct Streams {
    open: BTreeSet<WorkId>,
    connections: usize,
    cold_connections: f64,
    /// Streams that a cold target may open now.
    tokens: f64,
    refilled_at: Instant,
}

impl Streams {
    pub(crate) fn new(connections: u32, cold_share: f64) -> Self {
        Self {
            open: BTreeSet::new(),
            connections: connections as usize,
            cold_connections: f64::from(connections) * cold_share,
            tokens: 1.0,
            refilled_at: Instant::ZERO,
        }
    }

    /// Changes the connections. Open streams beyond them stay open.
    pub(crate) fn resize(&mut self, connections: u32, cold_share: f64) {
        self.connections = connections as usize;
        self.cold_connections = f64::from(connections) * cold_share;
    }

    /// Opens a stream.
    ///
    /// # Errors
    /// Returns the reason if the stream is shed.
    pub(crate) fn open(
        &mut self,
        now: Instant,
        id: WorkId,
        is_cold: bool,
    ) -> Result<(), ShedReason> {
        if self.open.len() >= self.connections {
            return Err(ShedReason::Connections);
        }
        self.refill(now);
        if is_cold {
            if self.open.len() as f64 >= self.cold_connections.max(1.0) || self.tokens < 1.0 {
                return Err(ShedReason::Cold);
            }
            self.tokens -= 1.0;
        }
        self.open.insert(id);
        assert!(
            self.open.len() <= self.connections,
            "the open streams exceed the connections"
        );
        Ok(())
    }

    /// Closes a stream. Returns whether it was open.
    pub(crate) fn close(&mut self, id: WorkId) -> bool {
        self.open.remove(&id)
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    fn refill(&mut self, now: Instant) {
        let rate = self.cold_connections / COLD_FILL_SECS;
        let earned = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(COLD_BURST);
        self.refilled_at = self.refilled_at.max(now);
    }
}
