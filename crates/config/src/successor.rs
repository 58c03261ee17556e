//! Rules between a document and the one it replaces.

use std::collections::BTreeMap;

use crate::document::Document;
use crate::fault::{Fault, FaultKind, Faults};

impl Document {
    /// Checks that this document may replace `previous`.
    ///
    /// Numbers travel inside connection IDs and in the peers' tables, so a number that changes its
    /// meaning would send packets of an open flow to another service or data centre.
    ///
    /// # Errors
    /// Returns a fault for each number that has another name in `previous`, each name that has
    /// another number there, and a changed tenant. Lines are 1, because a checked document has no
    /// positions.
    pub fn check_successor(&self, previous: &Self) -> Result<(), Faults> {
        let mut faults = Vec::new();
        if self.tenant != previous.tenant {
            let kind = FaultKind::TenantChanged {
                previous: previous.tenant.clone(),
            };
            faults.push(Fault {
                key: "tenant".to_owned(),
                line: 1,
                kind,
            });
        }
        check("data_centre", &places(self), &places(previous), &mut faults);
        check("service", &services(self), &services(previous), &mut faults);
        Faults::collect(faults).map_or(Ok(()), Err)
    }
}

fn places(document: &Document) -> BTreeMap<u16, &str> {
    let places = document.data_centres.values();
    places
        .map(|place| (u16::from(place.number.0), place.name.as_str()))
        .collect()
}

fn services(document: &Document) -> BTreeMap<u16, &str> {
    let services = document.services.values();
    services
        .map(|service| (service.number.0, service.name.as_str()))
        .collect()
}

fn check(
    list: &str,
    present: &BTreeMap<u16, &str>,
    previous: &BTreeMap<u16, &str>,
    faults: &mut Vec<Fault>,
) {
    let numbers: BTreeMap<&str, u16> = previous.iter().map(|(&n, &name)| (name, n)).collect();
    for (&number, &name) in present {
        let key = format!("{list} \"{name}\".number");
        if let Some(&before) = previous.get(&number).filter(|&&before| before != name) {
            let (previous, name) = (before.to_owned(), name.to_owned());
            let kind = FaultKind::NumberReused {
                number,
                previous,
                name,
            };
            faults.push(Fault { key, line: 1, kind });
        } else if let Some(&before) = numbers.get(name).filter(|&&before| before != number) {
            let kind = FaultKind::NumberChanged {
                name: name.to_owned(),
                previous: before,
            };
            faults.push(Fault { key, line: 1, kind });
        }
    }
}
