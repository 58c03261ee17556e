//! Detection of repeated values.

use std::collections::BTreeMap;

use crate::fault::FaultKind;
use crate::sink::Sink;

/// Values of one kind seen so far, with the line of the first use.
#[derive(Debug)]
pub struct Unique<T> {
    what: &'static str,
    seen: BTreeMap<T, usize>,
}

impl<T: Ord + ToString> Unique<T> {
    /// Empty set of values that messages call `what`.
    pub fn new(what: &'static str) -> Self {
        Self {
            what,
            seen: BTreeMap::new(),
        }
    }

    /// Records a use, and a fault when it is not the first.
    pub fn add(&mut self, value: T, key: String, line: usize, faults: &mut Sink) {
        if let Some(&first) = self.seen.get(&value) {
            let kind = FaultKind::Duplicate {
                what: self.what,
                value: value.to_string(),
                first,
            };
            faults.push(key, line, kind);
        } else {
            self.seen.insert(value, line);
        }
    }
}
