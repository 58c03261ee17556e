//! Requests in flight at the target.

use std::collections::BTreeMap;

use monsoon_model::{Duration, Instant};

use crate::estimate::Estimates;
use crate::types::WorkId;

/// Ratio of age to baseline latency from which a request in flight counts as hanging.
pub(crate) const HANGING_RATIO: f64 = 8.0;

/// Minimum age of a hanging request. With a short baseline, scheduling delays would otherwise count
/// as hanging.
const HANGING_MIN_AGE: Duration = Duration::from_millis(50);

/// One request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) class: usize,
    pub(crate) started_at: Instant,
}

/// All requests in flight, at most as many as the target has slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    requests: BTreeMap<WorkId, Running>,
}

impl InFlight {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn insert(&mut self, id: WorkId, running: Running) {
        let previous = self.requests.insert(id, running);
        assert!(previous.is_none(), "work {id} started twice");
    }

    pub(crate) fn remove(&mut self, id: WorkId) -> Option<Running> {
        self.requests.remove(&id)
    }

    /// Returns the time from which more than half of the requests hang, if their classes have a
    /// baseline.
    pub(crate) fn hanging_at(&self, estimates: &Estimates) -> Option<Instant> {
        let hangs = |running: &Running| {
            let baseline = estimates.baseline(running.class)?;
            Some(running.started_at + baseline.mul_f64(HANGING_RATIO).max(HANGING_MIN_AGE))
        };
        let mut times: Vec<_> = self.requests.values().filter_map(hangs).collect();
        times.sort_unstable();
        times.get(self.requests.len() / 2).copied()
    }
}
