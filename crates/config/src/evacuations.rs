//! Set of data centres taken out.

use std::collections::BTreeSet;

use crate::fault::{FaultKind, Faults};
use crate::list::Unique;
use crate::read::{Reader, Section};
use crate::rule;

/// Most data centres taken out; a document has at most 255.
const MAX_OUT: usize = 255;

/// Names of the data centres taken out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Names; a name that the document does not list has no effect.
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

    /// Text that parses to this set.
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
    reader.only(root, &["out"]);
    let mut evacuations = Evacuations::default();
    let Some(names) = reader.strings(root, "out") else {
        return evacuations;
    };
    let count = names.value.len();
    if count > MAX_OUT {
        reader.fault(
            "out",
            names.line,
            FaultKind::TooMany {
                count,
                limit: MAX_OUT,
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
