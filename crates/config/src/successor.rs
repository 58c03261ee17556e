//! Rules between a document and the one it replaces.

use std::collections::{BTreeMap, BTreeSet};

use crate::document::Document;
use crate::fault::{FaultKind, Faults};
use crate::sink::Sink;

impl Document {
    /// Checks that this document may replace `previous`.
    ///
    /// Numbers travel inside connection IDs and in the peers' tables, so a number that changes its
    /// meaning would send packets of an open flow to another service or data centre.
    ///
    /// A removed number has to stay in the document as retired, because a check against the
    /// previous document alone would permit its reuse two documents later.
    ///
    /// # Errors
    /// Returns a fault for each number that has another name in `previous`, each name that has
    /// another number there, each number that is dropped, and a changed tenant. Lines are 1,
    /// because a checked document has no positions.
    pub fn check_successor(&self, previous: &Self) -> Result<(), Faults> {
        let mut faults = Sink::default();
        if self.tenant != previous.tenant {
            let kind = FaultKind::TenantChanged {
                previous: previous.tenant.clone(),
            };
            faults.push("tenant", 1, kind);
        }
        check("data_centre", &places(self), &places(previous), &mut faults);
        check("service", &services(self), &services(previous), &mut faults);
        faults.finish()
    }
}

/// Names by number, with the retired ones.
fn places(document: &Document) -> BTreeMap<u16, &str> {
    let listed = document
        .data_centres
        .iter()
        .map(|(id, place)| (id, place.name.as_str()));
    let retired = document
        .retired_data_centres
        .iter()
        .map(|(id, name)| (id, name.as_str()));
    listed
        .chain(retired)
        .map(|(id, name)| (u16::from(id.0), name))
        .collect()
}

/// Names by number, with the retired ones.
fn services(document: &Document) -> BTreeMap<u16, &str> {
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

fn check(
    list: &'static str,
    present: &BTreeMap<u16, &str>,
    previous: &BTreeMap<u16, &str>,
    faults: &mut Sink,
) {
    let old: BTreeMap<&str, u16> = previous.iter().map(|(&n, &name)| (name, n)).collect();
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
        } else if let Some(&previous) = old.get(name).filter(|&&before| before != number) {
            push(
                name,
                FaultKind::NumberChanged {
                    name: name.to_owned(),
                    previous,
                },
            );
        }
    }
    let dropped = previous
        .iter()
        .filter(|(number, _)| !present.contains_key(number));
    for (&number, &name) in dropped.filter(|(_, name)| !names.contains(*name)) {
        push(
            name,
            FaultKind::NumberDropped {
                list,
                number,
                name: name.to_owned(),
            },
        );
    }
}
