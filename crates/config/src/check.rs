//! Checks of an unchecked document, and its conversion into a checked one.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use monsoon_model::{DataCentreId, ServiceId};

use crate::collector::FaultCollector;
use crate::document::{DataCentre, Document};
use crate::fault::{FaultKind, Faults};
use crate::raw::{RawDataCentre, RawDocument, RawRetired};
use crate::read::Located;
use crate::rule;
use crate::unique::Unique;

impl TryFrom<RawDocument> for Document {
    type Error = Faults;

    fn try_from(raw: RawDocument) -> Result<Self, Faults> {
        let mut checker = Checker::new(raw.faults);
        let tenant = checker.name("tenant".to_owned(), raw.tenant);
        let data_centres: Vec<_> = raw
            .data_centres
            .into_iter()
            .map(|entry| checker.data_centre(entry))
            .collect();
        let services: Vec<_> = raw
            .services
            .into_iter()
            .map(|entry| checker.service(entry))
            .collect();
        let retired_data_centres = checker.retired(List::DataCentre, raw.retired_data_centres);
        let retired_services = checker.retired(List::Service, raw.retired_services);
        checker.faults.finish()?;
        let data_centres = data_centres
            .into_iter()
            .flatten()
            .map(|data_centre| (data_centre.number, data_centre));
        let services = services
            .into_iter()
            .flatten()
            .map(|service| (service.number, service));
        let retired_data_centres = retired_data_centres
            .into_iter()
            .filter_map(|(number, name)| Some((data_centre_id(number)?, name)));
        let retired_services = retired_services
            .into_iter()
            .map(|(number, name)| (ServiceId(number), name));
        Ok(Self {
            tenant: tenant.unwrap_or_default(),
            data_centres: data_centres.collect(),
            services: services.collect(),
            retired_data_centres: retired_data_centres.collect(),
            retired_services: retired_services.collect(),
        })
    }
}

fn data_centre_id(number: u16) -> Option<DataCentreId> {
    u8::try_from(number).ok().map(DataCentreId)
}

/// List whose names and numbers must be unique.
#[derive(Clone, Copy, Debug)]
pub(crate) enum List {
    DataCentre,
    Service,
}

/// Names and numbers of one list, with the retired ones.
#[derive(Debug)]
struct Identities {
    names: Unique<String>,
    numbers: Unique<i64>,
}

impl Identities {
    fn new() -> Self {
        Self {
            names: Unique::new("name"),
            numbers: Unique::new("number"),
        }
    }
}

/// Faults and unique values found so far.
#[derive(Debug)]
pub(crate) struct Checker {
    pub(crate) faults: FaultCollector,
    data_centres: Identities,
    services: Identities,
    pub(crate) addresses: Unique<SocketAddr>,
}

impl Checker {
    fn new(faults: FaultCollector) -> Self {
        let (data_centres, services) = (Identities::new(), Identities::new());
        Self {
            faults,
            data_centres,
            services,
            addresses: Unique::new("address"),
        }
    }

    /// Faults so far.
    pub(crate) fn faults(&mut self) -> &mut FaultCollector {
        &mut self.faults
    }

    pub(crate) fn fault(&mut self, key: impl Into<String>, line: usize, kind: FaultKind) {
        self.faults.push(key, line, kind);
    }

    /// Checks the form of a text; a fault says that it is not `expected`.
    pub(crate) fn text(
        &mut self,
        key: String,
        field: Option<Located<String>>,
        is_valid: fn(&str) -> bool,
        expected: &'static str,
    ) -> Option<String> {
        let Located { value, line } = field?;
        if !is_valid(&value) {
            self.fault(key, line, FaultKind::Malformed { value, expected });
            return None;
        }
        Some(value)
    }

    pub(crate) fn name(&mut self, key: String, field: Option<Located<String>>) -> Option<String> {
        self.text(key, field, rule::is_name, rule::NAME_FORM)
    }

    /// Checks that a number is in `range`.
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

    /// Checks that a number is between 1 and `max`.
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

    /// Checks the form and uniqueness of a name and a number.
    pub(crate) fn identity(
        &mut self,
        list: List,
        prefix: &str,
        name: Option<Located<String>>,
        number: Option<Located<i64>>,
    ) -> Option<(String, u16)> {
        let (name_key, number_key) = (format!("{prefix}name"), format!("{prefix}number"));
        let (identities, max) = match list {
            List::DataCentre => (&mut self.data_centres, 255),
            List::Service => (&mut self.services, 65_535),
        };
        if let Some(name) = &name {
            identities.names.add(
                name.value.clone(),
                name_key.clone(),
                name.line,
                &mut self.faults,
            );
        }
        if let Some(number) = &number {
            identities.numbers.add(
                number.value,
                number_key.clone(),
                number.line,
                &mut self.faults,
            );
        }
        let name = self.name(name_key, name);
        let number = self.range(number_key, number, &(1..=max));
        Some((name?, u16::try_from(number?).ok()?))
    }

    fn retired(&mut self, list: List, raws: Vec<RawRetired>) -> Vec<(u16, String)> {
        let mut retired = Vec::new();
        for raw in raws {
            let identity = self.identity(list, &raw.prefix, raw.name, raw.number);
            retired.extend(identity.map(|(name, number)| (number, name)));
        }
        retired
    }

    fn data_centre(&mut self, raw: RawDataCentre) -> Option<DataCentre> {
        let identity = self.identity(List::DataCentre, &raw.prefix, raw.name, raw.number);
        let region = self.name(format!("{}region", raw.prefix), raw.region);
        let group = raw.group.map(|group| {
            let key = format!("{}group", raw.prefix);
            self.range(key, Some(group), &(1..=i64::from(u8::MAX)))
        });
        let (name, number) = identity?;
        let number = data_centre_id(number)?;
        let group = match group {
            Some(group) => data_centre_id(u16::try_from(group?).ok()?)?,
            None => number,
        };
        Some(DataCentre {
            name,
            number,
            region: region?,
            group,
        })
    }
}
