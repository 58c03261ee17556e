//! Differences between two documents, as operators read them.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::document::{Class, DataCentre, Document, Service};

/// One difference; `Display` formats it as one line.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// The item exists only in the new document.
    #[display("+ {item}")]
    Added {
        /// Item, such as `service prodejna`.
        item: String,
    },
    /// The item exists only in the old document.
    #[display("- {item}")]
    Removed {
        /// Item, such as `service prodejna`.
        item: String,
    },
    /// A value of the item differs.
    #[display("~ {item}: {old} -> {new}")]
    Changed {
        /// Item and key, such as `service prodejna slots`.
        item: String,
        /// Old value.
        old: String,
        /// New value.
        new: String,
    },
}

/// Lists the differences from `old` to `new`, data centres first, each list by number.
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    changed_values(
        "tenant",
        &[("", old.tenant.clone(), new.tenant.clone())],
        &mut changes,
    );
    let title = |data_centre: &DataCentre| format!("data centre {}", data_centre.name);
    compare(
        &old.data_centres,
        &new.data_centres,
        title,
        data_centre_diff,
        &mut changes,
    );
    let title = |service: &Service| format!("service {}", service.name);
    compare(
        &old.services,
        &new.services,
        title,
        service_diff,
        &mut changes,
    );
    let (before, after) = (&old.retired_data_centres, &new.retired_data_centres);
    compare(
        before,
        after,
        |name| format!("retired data centre {name}"),
        name_diff,
        &mut changes,
    );
    let (before, after) = (&old.retired_services, &new.retired_services);
    compare(
        before,
        after,
        |name| format!("retired service {name}"),
        name_diff,
        &mut changes,
    );
    changes
}

/// Records the items that were added or removed, and compares the others with `compare_items`.
fn compare<K: Ord, T>(
    old: &BTreeMap<K, T>,
    new: &BTreeMap<K, T>,
    title: impl Fn(&T) -> String,
    compare_items: impl Fn(&T, &T, &mut Vec<Change>),
    changes: &mut Vec<Change>,
) {
    for (key, item) in old {
        match new.get(key) {
            Some(present) => compare_items(item, present, changes),
            None => changes.push(Change::Removed { item: title(item) }),
        }
    }
    let added = new.iter().filter(|(key, _)| !old.contains_key(key));
    changes.extend(added.map(|(_, item)| Change::Added { item: title(item) }));
}

/// Records a change for each key whose values differ.
fn changed_values(item: &str, pairs: &[(&str, String, String)], changes: &mut Vec<Change>) {
    for (key, old, new) in pairs.iter().filter(|(_, old, new)| old != new) {
        let item = format!("{item} {key}").trim_end().to_owned();
        changes.push(Change::Changed {
            item,
            old: old.clone(),
            new: new.clone(),
        });
    }
}

fn data_centre_diff(old: &DataCentre, new: &DataCentre, changes: &mut Vec<Change>) {
    let pairs = [
        ("name", old.name.clone(), new.name.clone()),
        ("region", old.region.clone(), new.region.clone()),
        ("group", old.group.to_string(), new.group.to_string()),
    ];
    changed_values(&format!("data centre {}", old.name), &pairs, changes);
}

#[expect(clippy::ptr_arg, reason = "the caller compares the values of a map")]
fn name_diff(old: &String, new: &String, changes: &mut Vec<Change>) {
    changed_values("retired", &[("name", old.clone(), new.clone())], changes);
}

fn service_diff(old: &Service, new: &Service, changes: &mut Vec<Change>) {
    let title = format!("service {}", old.name);
    let pairs = [
        ("name", old.name.clone(), new.name.clone()),
        ("addresses", addresses(old), addresses(new)),
        ("slots", old.slots.to_string(), new.slots.to_string()),
        (
            "connections",
            old.connections.to_string(),
            new.connections.to_string(),
        ),
        (
            "cold_share",
            old.cold_share.to_string(),
            new.cold_share.to_string(),
        ),
    ];
    changed_values(&title, &pairs, changes);
    let classes = |service: &Service| -> BTreeMap<String, Class> {
        service
            .classes
            .iter()
            .map(|class| (class.name.clone(), class.clone()))
            .collect()
    };
    let (before, after) = (classes(old), classes(new));
    let name = |class: &Class| format!("{title} class {}", class.name);
    compare(
        &before,
        &after,
        name,
        |old_class, new_class, changes| class_diff(&title, old_class, new_class, changes),
        changes,
    );
    let order = |service: &Service| -> Vec<String> {
        service
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect()
    };
    if before.keys().eq(after.keys()) {
        let (old, new) = (order(old).join(", "), order(new).join(", "));
        changed_values(&title, &[("order of classes", old, new)], changes);
    }
}

fn addresses(service: &Service) -> String {
    let addresses: Vec<_> = service.addresses.iter().map(ToString::to_string).collect();
    addresses.join(", ")
}

fn class_diff(service: &str, old: &Class, new: &Class, changes: &mut Vec<Change>) {
    let deadline = |class: &Class| {
        class
            .deadline
            .map_or("none".to_owned(), |span| format!("{} ms", span.as_millis()))
    };
    let pairs = [
        ("method", old.method.clone(), new.method.clone()),
        ("path", old.path.clone(), new.path.clone()),
        ("stream", old.stream.to_string(), new.stream.to_string()),
        (
            "idempotent",
            old.idempotent.to_string(),
            new.idempotent.to_string(),
        ),
        ("weight", old.weight.to_string(), new.weight.to_string()),
        ("deadline", deadline(old), deadline(new)),
    ];
    changed_values(&format!("{service} class {}", old.name), &pairs, changes);
}
