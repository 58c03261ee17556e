//! Detection of repeated values.

use std::collections::BTreeMap;

use crate::collector::FaultCollector;
use crate::fault::FaultKind;

/// Values of one kind that must be unique, with the line of their first use.
#[derive(Debug)]
pub struct Unique<T> {
    what: &'static str,
    first_lines: BTreeMap<T, usize>,
}

impl<T: Ord + ToString> Unique<T> {
    /// Creates an empty set of values that messages call `what`.
    pub fn new(what: &'static str) -> Self {
        Self {
            what,
            first_lines: BTreeMap::new(),
        }
    }

    /// Records a use of the value, and a fault when it isn't the first use.
    pub fn add(&mut self, value: T, key: String, line: usize, faults: &mut FaultCollector) {
        if let Some(&first) = self.first_lines.get(&value) {
            let kind = FaultKind::Duplicate {
                what: self.what,
                value: value.to_string(),
                first,
            };
            faults.push(key, line, kind);
        } else {
            self.first_lines.insert(value, line);
        }
    }
}
