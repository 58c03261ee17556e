//! Set of evacuated data centres, which are out of service.

use std::collections::BTreeSet;

use crate::fault::{FaultKind, Faults};
use crate::read::{Reader, Section};
use crate::rule;
use crate::unique::Unique;

/// Most evacuated data centres; a document has at most 255.
const MAX_EVACUATED: usize = 255;

/// Names of the evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Names; one that the document doesn't list has no effect.
    pub data_centres: BTreeSet<String>,
}

impl Evacuations {
    /// Parses a text such as `out = ["brno-a"]`.
    ///
    /// # Errors
    /// Returns all faults of the text at once.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut reader = Reader::new(text);
        let evacuations = reader.parse(read_evacuations).unwrap_or_default();
        reader.faults.finish().map(|()| evacuations)
    }

    /// Formats the set as a text that [`Self::parse`] reads.
    pub fn to_text(&self) -> String {
        let names: Vec<_> = self
            .data_centres
            .iter()
            .map(|name| format!("\"{name}\""))
            .collect();
        format!("out = [{}]\n", names.join(", "))
    }
}

fn read_evacuations(reader: &mut Reader<'_>, root: &Section<'_>) -> Evacuations {
    reader.reject_unknown_keys(root, &["out"]);
    let mut evacuations = Evacuations::default();
    let Some(names) = reader.strings(root, "out") else {
        return evacuations;
    };
    let count = names.value.len();
    if count > MAX_EVACUATED {
        reader.fault(
            "out",
            names.line,
            FaultKind::TooMany {
                count,
                limit: MAX_EVACUATED,
            },
        );
    }
    let mut unique = Unique::new("name");
    for (index, name) in names.value.into_iter().enumerate() {
        let (key, line) = (format!("out[{index}]"), name.line);
        if rule::is_name(&name.value) {
            unique.add(name.value.clone(), key, line, &mut reader.faults);
            evacuations.data_centres.insert(name.value);
        } else {
            let kind = FaultKind::Malformed {
                value: name.value,
                expected: rule::NAME_FORM,
            };
            reader.faults.push(key, line, kind);
        }
    }
    evacuations
}
