//! Configuration in force in one process.
//!
//! Texts arrive from the store and from other processes, repeated and out of order. Only the store
//! version decides: a larger one replaces the one in force, and a process never returns to an older
//! one, even when the store has lost its newest objects. A text is checked without the one before
//! it, so that processes that skipped different versions come to the same result.

use std::collections::BTreeSet;

use monsoon_model::{DataCentreId, Version, Versions};

use crate::document::Document;
use crate::evacuations::Evacuations;
use crate::fault::Faults;

/// Result of offering a text.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferResult {
    /// The text is in force now.
    Accepted,
    /// This version is already in force.
    Same,
    /// A newer version is in force.
    Stale,
    /// The text has faults; what was in force stays in force.
    Rejected(Faults),
}

/// Number of offers by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Texts that came into force.
    pub accepted: u64,
    /// Offers of the version in force.
    pub same: u64,
    /// Offers of an older version.
    pub stale: u64,
    /// Texts with faults.
    pub rejected: u64,
}

/// Object in force, with its text for processes that fetch it.
#[derive(Clone, Debug)]
struct InForce<T> {
    version: Version,
    value: T,
    text: String,
}

/// Configuration in force; empty until the first text is accepted.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    document: Option<InForce<Document>>,
    evacuations: Option<InForce<Evacuations>>,
    counters: Counters,
}

impl ConfigState {
    /// Offers the text of a document with its version in the store.
    pub fn offer_document(&mut self, version: Version, text: &str) -> OfferResult {
        offer(
            &mut self.document,
            &mut self.counters,
            version,
            text,
            Document::parse,
        )
    }

    /// Offers the text of a set of evacuated data centres with its version in the store.
    pub fn offer_evacuations(&mut self, version: Version, text: &str) -> OfferResult {
        offer(
            &mut self.evacuations,
            &mut self.counters,
            version,
            text,
            Evacuations::parse,
        )
    }

    /// Versions in force; 0 for an object of which no text was accepted yet.
    pub fn versions(&self) -> Versions {
        Versions {
            document: self
                .document
                .as_ref()
                .map_or(Version::NONE, |in_force| in_force.version),
            evacuations: self
                .evacuations
                .as_ref()
                .map_or(Version::NONE, |in_force| in_force.version),
        }
    }

    /// Document in force; `None` until one is accepted.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref().map(|in_force| &in_force.value)
    }

    /// Text of the document in force, for other processes that fetch it.
    pub fn document_text(&self) -> Option<&str> {
        self.document
            .as_ref()
            .map(|in_force| in_force.text.as_str())
    }

    /// Text of the set of evacuated data centres in force, for other processes that fetch it.
    pub fn evacuations_text(&self) -> Option<&str> {
        self.evacuations
            .as_ref()
            .map(|in_force| in_force.text.as_str())
    }

    /// Evacuated data centres that the document in force lists.
    pub fn evacuated(&self) -> BTreeSet<DataCentreId> {
        let (Some(document), Some(evacuations)) = (self.document(), &self.evacuations) else {
            return BTreeSet::new();
        };
        let names = &evacuations.value.data_centres;
        let data_centres = document.data_centres.values();
        data_centres
            .filter(|data_centre| names.contains(&data_centre.name))
            .map(|data_centre| data_centre.number)
            .collect()
    }

    /// Number of offers by result.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}

fn offer<T>(
    in_force: &mut Option<InForce<T>>,
    counters: &mut Counters,
    version: Version,
    text: &str,
    parse: impl FnOnce(&str) -> Result<T, Faults>,
) -> OfferResult {
    let present = in_force
        .as_ref()
        .map_or(Version::NONE, |in_force| in_force.version);
    if version < present {
        counters.stale += 1;
        return OfferResult::Stale;
    }
    if version == present {
        counters.same += 1;
        return OfferResult::Same;
    }
    let value = match parse(text) {
        Ok(value) => value,
        Err(faults) => {
            counters.rejected += 1;
            return OfferResult::Rejected(faults);
        }
    };
    assert!(
        version > present,
        "configuration would return from version {present} to {version}"
    );
    *in_force = Some(InForce {
        version,
        value,
        text: text.to_owned(),
    });
    counters.accepted += 1;
    OfferResult::Accepted
}
