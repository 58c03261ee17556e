//! Requests in flight at the target.

use std::collections::BTreeMap;

use monsoon_model::Instant;

use crate::types::WorkId;

/// One request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) class: usize,
    pub(crate) started: Instant,
}

/// All requests in flight, at most the slots of the target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flight {
    works: BTreeMap<WorkId, Running>,
}

impl Flight {
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

    pub(crate) fn iter(&self) -> impl Iterator<Item = Running> + '_ {
        self.works.values().copied()
    }
}
