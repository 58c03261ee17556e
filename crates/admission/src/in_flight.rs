//! Requests in flight at the target.

use std::collections::BTreeMap;

use monsoon_model::{Duration, Instant};

use crate::estimate::Estimates;
use crate::types::WorkId;

/// Age over baseline above which a request in flight counts as hanging.
pub(crate) const HANGING_RATIO: f64 = 8.0;

/// Smallest age of a hanging request. Short baselines would else take scheduling delays for one.
const HANGING_MIN_AGE: Duration = Duration::from_millis(50);

/// One request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) class: usize,
    pub(crate) started: Instant,
}

/// All requests in flight, at most the slots of the target.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    works: BTreeMap<WorkId, Running>,
}

impl InFlight {
    pub(crate) fn len(&self) -> usize {
        self.works.len()
    }

    pub(crate) fn insert(&mut self, id: WorkId, running: Running) {
        let previous = self.works.insert(id, running);
        assert!(previous.is_none(), "work {id} started twice");
    }

    pub(crate) fn remove(&mut self, id: WorkId) -> Option<Running> {
        self.works.remove(&id)
    }

    /// Time from which more than half of the requests hang, if their classes have a baseline.
    pub(crate) fn hanging_at(&self, estimates: &Estimates) -> Option<Instant> {
        let hangs = |r: &Running| {
            let baseline = estimates.baseline(r.class)?;
            Some(r.started + baseline.mul_f64(HANGING_RATIO).max(HANGING_MIN_AGE))
        };
        let mut times: Vec<_> = self.works.values().filter_map(hangs).collect();
        times.sort_unstable();
        times.get(self.works.len() / 2).copied()
    }
}
