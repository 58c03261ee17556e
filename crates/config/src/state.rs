//! Configuration in force in one process.
//!
//! Texts arrive from the store and from neighbours, repeated and out of order. The store version
//! alone decides: a larger one replaces the present one, and nothing goes back, also when the store
//! has lost its newest objects. A text is judged without the one before it, so that processes
//! that skipped different versions come to the same result.

use std::collections::BTreeSet;

use monsoon_model::{DataCentreId, Version, Versions};

use crate::document::Document;
use crate::evacuations::Evacuations;
use crate::fault::Faults;

/// Result of an offered text.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferResult {
    /// Text is in force now.
    Accepted,
    /// Version is in force already.
    Same,
    /// A newer version is in force.
    Stale,
    /// Text has faults; nothing changed.
    Rejected(Faults),
}

/// Number of offers by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Texts taken into force.
    pub accepted: u64,
    /// Offers of the version in force.
    pub same: u64,
    /// Offers of an older version.
    pub stale: u64,
    /// Texts with faults.
    pub rejected: u64,
}

#[derive(Clone, Debug)]
struct Held<T> {
    version: Version,
    value: T,
    text: String,
}

/// Configuration in force; empty until the first text is accepted.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    document: Option<Held<Document>>,
    evacuations: Option<Held<Evacuations>>,
    counters: Counters,
}

impl ConfigState {
    /// Offers a document of a store version.
    pub fn offer_document(&mut self, version: Version, text: &str) -> OfferResult {
        offer(
            &mut self.document,
            &mut self.counters,
            version,
            text,
            Document::parse,
        )
    }

    /// Offers a set of data centres taken out, of a store version.
    pub fn offer_evacuations(&mut self, version: Version, text: &str) -> OfferResult {
        offer(
            &mut self.evacuations,
            &mut self.counters,
            version,
            text,
            Evacuations::parse,
        )
    }

    /// Versions in force; 0 for an object that was never accepted.
    pub fn versions(&self) -> Versions {
        Versions {
            document: self
                .document
                .as_ref()
                .map_or(Version(0), |held| held.version),
            evacuations: self
                .evacuations
                .as_ref()
                .map_or(Version(0), |held| held.version),
        }
    }

    /// Document in force.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref().map(|held| &held.value)
    }

    /// Text of the document in force, for neighbours that fetch it.
    pub fn document_text(&self) -> Option<&str> {
        self.document.as_ref().map(|held| held.text.as_str())
    }

    /// Text of the set of data centres taken out, for neighbours that fetch it.
    pub fn evacuations_text(&self) -> Option<&str> {
        self.evacuations.as_ref().map(|held| held.text.as_str())
    }

    /// Data centres of the document that are taken out.
    pub fn evacuated(&self) -> BTreeSet<DataCentreId> {
        let (Some(document), Some(evacuations)) = (self.document(), &self.evacuations) else {
            return BTreeSet::new();
        };
        let out = &evacuations.value.data_centres;
        let listed = document.data_centres.values();
        listed
            .filter(|place| out.contains(&place.name))
            .map(|place| place.number)
            .collect()
    }

    /// Number of offers by result.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}

fn offer<T>(
    held: &mut Option<Held<T>>,
    counters: &mut Counters,
    version: Version,
    text: &str,
    parse: impl FnOnce(&str) -> Result<T, Faults>,
) -> OfferResult {
    let present = held.as_ref().map_or(Version(0), |held| held.version);
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
        "configuration went back from version {present} to {version}"
    );
    *held = Some(Held {
        version,
        value,
        text: text.to_owned(),
    });
    counters.accepted += 1;
    OfferResult::Accepted
}
