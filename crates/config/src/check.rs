//! Conversion of a raw document into a checked one.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use monsoon_model::{DataCentreId, ServiceId};

use crate::document::{DataCentre, Document, Service};
use crate::fault::{Fault, FaultKind, Faults};
use crate::list::Unique;
use crate::raw::{RawDataCentre, RawDocument, RawService};
use crate::read::Located;
use crate::rule;

/// Most addresses of a service.
const MAX_ADDRESSES: usize = 1_024;
/// Most concurrent requests of one target.
const MAX_SLOTS: i64 = 10_000;
/// Most concurrent streams of one target.
const MAX_CONNECTIONS: i64 = 1_000_000;

impl TryFrom<RawDocument> for Document {
    type Error = Faults;

    fn try_from(raw: RawDocument) -> Result<Self, Faults> {
        let mut check = Check::new(raw.faults);
        let tenant = check.name("tenant".to_owned(), raw.tenant);
        let places: Vec<_> = raw
            .data_centres
            .into_iter()
            .map(|p| check.data_centre(p))
            .collect();
        let services: Vec<_> = raw.services.into_iter().map(|s| check.service(s)).collect();
        if let Some(faults) = Faults::collect(check.faults) {
            return Err(faults);
        }
        let places = places
            .into_iter()
            .flatten()
            .map(|place| (place.number, place));
        let services = services
            .into_iter()
            .flatten()
            .map(|service| (service.number, service));
        let (data_centres, services) = (places.collect(), services.collect());
        Ok(Self {
            tenant: tenant.unwrap_or_default(),
            data_centres,
            services,
        })
    }
}

/// Faults and values seen so far.
#[derive(Debug)]
pub(crate) struct Check {
    pub(crate) faults: Vec<Fault>,
    place_names: Unique<String>,
    place_numbers: Unique<i64>,
    service_names: Unique<String>,
    service_numbers: Unique<i64>,
    addresses: Unique<SocketAddr>,
}

impl Check {
    fn new(faults: Vec<Fault>) -> Self {
        Self {
            faults,
            place_names: Unique::new("name"),
            place_numbers: Unique::new("number"),
            service_names: Unique::new("name"),
            service_numbers: Unique::new("number"),
            addresses: Unique::new("address"),
        }
    }

    pub(crate) fn fault(&mut self, key: impl Into<String>, line: usize, kind: FaultKind) {
        self.faults.push(Fault {
            key: key.into(),
            line,
            kind,
        });
    }

    pub(crate) fn text(
        &mut self,
        key: String,
        field: Option<Located<String>>,
        valid: fn(&str) -> bool,
        expected: &'static str,
    ) -> Option<String> {
        let Located { value, line } = field?;
        if !valid(&value) {
            self.fault(key, line, FaultKind::Malformed { value, expected });
            return None;
        }
        Some(value)
    }

    pub(crate) fn name(&mut self, key: String, field: Option<Located<String>>) -> Option<String> {
        self.text(key, field, rule::is_name, rule::NAME_FORM)
    }

    pub(crate) fn range<T: PartialOrd + Display>(
        &mut self,
        key: String,
        field: Option<Located<T>>,
        range: &RangeInclusive<T>,
    ) -> Option<T> {
        let Located { value, line } = field?;
        if !range.contains(&value) {
            let range = format!("{} to {}", range.start(), range.end());
            self.fault(
                key,
                line,
                FaultKind::OutOfRange {
                    value: value.to_string(),
                    range,
                },
            );
            return None;
        }
        Some(value)
    }

    pub(crate) fn count(
        &mut self,
        prefix: &str,
        field: Option<Located<i64>>,
        key: &str,
        max: i64,
    ) -> Option<u32> {
        let value = self.range(format!("{prefix}{key}"), field, &(1..=max))?;
        u32::try_from(value).ok()
    }

    fn data_centre(&mut self, raw: RawDataCentre) -> Option<DataCentre> {
        let prefix = &raw.prefix;
        if let Some(name) = &raw.name {
            let key = format!("{prefix}name");
            self.place_names
                .add(name.value.clone(), key, name.line, &mut self.faults);
        }
        if let Some(number) = &raw.number {
            let key = format!("{prefix}number");
            self.place_numbers
                .add(number.value, key, number.line, &mut self.faults);
        }
        let name = self.name(format!("{prefix}name"), raw.name);
        let number = self.range(format!("{prefix}number"), raw.number, &(1..=255));
        let region = self.name(format!("{prefix}region"), raw.region);
        let number = DataCentreId(u8::try_from(number?).ok()?);
        Some(DataCentre {
            name: name?,
            number,
            region: region?,
        })
    }

    fn service(&mut self, raw: RawService) -> Option<Service> {
        let prefix = &raw.prefix;
        if let Some(name) = &raw.name {
            let key = format!("{prefix}name");
            self.service_names
                .add(name.value.clone(), key, name.line, &mut self.faults);
        }
        if let Some(number) = &raw.number {
            let key = format!("{prefix}number");
            self.service_numbers
                .add(number.value, key, number.line, &mut self.faults);
        }
        let name = self.name(format!("{prefix}name"), raw.name);
        let number = self.range(format!("{prefix}number"), raw.number, &(1..=65_535));
        let addresses = self.addresses(prefix, raw.addresses);
        let slots = self.count(prefix, raw.slots, "slots", MAX_SLOTS);
        let connections = self.count(prefix, raw.connections, "connections", MAX_CONNECTIONS);
        let cold_share = self.share(format!("{prefix}cold_share"), raw.cold_share);
        let classes = self.classes(prefix, raw.line, raw.classes);
        Some(Service {
            name: name?,
            number: ServiceId(u16::try_from(number?).ok()?),
            addresses: addresses?,
            slots: slots?,
            connections: connections?,
            cold_share: cold_share?,
            classes: classes?,
        })
    }

    fn share(&mut self, key: String, field: Option<Located<f64>>) -> Option<f64> {
        let Located { value, line } = field?;
        if value > 0.0 && value <= 1.0 {
            return Some(value);
        }
        let range = "a share above 0 and at most 1".to_owned();
        self.fault(
            key,
            line,
            FaultKind::OutOfRange {
                value: value.to_string(),
                range,
            },
        );
        None
    }

    fn addresses(
        &mut self,
        prefix: &str,
        field: Option<Located<Vec<Located<String>>>>,
    ) -> Option<Vec<SocketAddr>> {
        let Located {
            value: entries,
            line,
        } = field?;
        self.bound(
            format!("{prefix}addresses"),
            line,
            entries.len(),
            MAX_ADDRESSES,
            "address",
        );
        let mut addresses = Vec::new();
        for (index, entry) in entries.into_iter().enumerate() {
            let (key, line) = (format!("{prefix}addresses[{index}]"), entry.line);
            if let Some(address) = rule::address(&entry.value) {
                self.addresses.add(address, key, line, &mut self.faults);
                addresses.push(address);
            } else {
                let expected = rule::ADDRESS_FORM;
                self.fault(
                    key,
                    line,
                    FaultKind::Malformed {
                        value: entry.value,
                        expected,
                    },
                );
            }
        }
        Some(addresses)
    }

    fn bound(&mut self, key: String, line: usize, count: usize, limit: usize, entry: &'static str) {
        if count == 0 {
            self.fault(key, line, FaultKind::EmptyList { entry });
        } else if count > limit {
            self.fault(key, line, FaultKind::TooMany { count, limit });
        }
    }
}
