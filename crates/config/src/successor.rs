//! Rules for replacing a document by another.

use std::collections::{BTreeMap, BTreeSet};

use crate::collector::FaultCollector;
use crate::document::Document;
use crate::fault::{FaultKind, Faults};

impl Document {
    /// Checks that this document may replace `previous`.
    ///
    /// Connection IDs and the tables of other processes contain numbers, so a number that changes
    /// its meaning would send packets of an open flow to another service or data centre.
    ///
    /// A removed number has to stay in the document as retired. Otherwise it could be reused two
    /// documents later, because only the previous document is checked.
    ///
    /// # Errors
    /// Returns a fault for each number that has another name in `previous`, each name that has
    /// another number there, each number that is missing, and a changed tenant. All faults have
    /// line 1, because a checked document has no positions.
    pub fn check_successor(&self, previous: &Self) -> Result<(), Faults> {
        let mut faults = FaultCollector::default();
        if self.tenant != previous.tenant {
            let kind = FaultKind::TenantChanged {
                previous: previous.tenant.clone(),
            };
            faults.push("tenant", 1, kind);
        }
        check_numbers(
            "data_centre",
            &data_centre_names(self),
            &data_centre_names(previous),
            &mut faults,
        );
        check_numbers(
            "service",
            &service_names(self),
            &service_names(previous),
            &mut faults,
        );
        faults.finish()
    }
}

/// Names of the data centres by number, with the retired ones.
fn data_centre_names(document: &Document) -> BTreeMap<u16, &str> {
    let listed = document
        .data_centres
        .iter()
        .map(|(id, data_centre)| (id, data_centre.name.as_str()));
    let retired = document
        .retired_data_centres
        .iter()
        .map(|(id, name)| (id, name.as_str()));
    listed
        .chain(retired)
        .map(|(id, name)| (u16::from(id.0), name))
        .collect()
}

/// Names of the services by number, with the retired ones.
fn service_names(document: &Document) -> BTreeMap<u16, &str> {
    let listed = document
        .services
        .iter()
        .map(|(id, service)| (id, service.name.as_str()));
    let retired = document
        .retired_services
        .iter()
        .map(|(id, name)| (id, name.as_str()));
    listed
        .chain(retired)
        .map(|(id, name)| (id.0, name))
        .collect()
}

/// Records each number and name of `previous` that `present` uses otherwise or no longer lists.
fn check_numbers(
    list: &'static str,
    present: &BTreeMap<u16, &str>,
    previous: &BTreeMap<u16, &str>,
    faults: &mut FaultCollector,
) {
    let previous_numbers: BTreeMap<&str, u16> =
        previous.iter().map(|(&n, &name)| (name, n)).collect();
    let names: BTreeSet<&str> = present.values().copied().collect();
    let mut push = |name: &str, kind| {
        let key = format!("{list} \"{name}\".number");
        faults.push(key, 1, kind);
    };
    for (&number, &name) in present {
        if let Some(&before) = previous.get(&number).filter(|&&before| before != name) {
            let (previous, owned) = (before.to_owned(), name.to_owned());
            push(
                name,
                FaultKind::NumberReused {
                    number,
                    previous,
                    name: owned,
                },
            );
        } else if let Some(&previous) = previous_numbers
            .get(name)
            .filter(|&&before| before != number)
        {
            push(
                name,
                FaultKind::NumberChanged {
                    name: name.to_owned(),
                    previous,
                },
            );
        }
    }
    let missing = previous
        .iter()
        .filter(|(number, _)| !present.contains_key(number));
    for (&number, &name) in missing.filter(|(_, name)| !names.contains(*name)) {
        push(
            name,
            FaultKind::NumberMissing {
                list,
                number,
                name: name.to_owned(),
            },
        );
    }
}
