//! Checks of a service.

use std::net::SocketAddr;

use monsoon_model::ServiceId;

use crate::check::{Checker, List};
use crate::document::Service;
use crate::fault::FaultKind;
use crate::raw::RawService;
use crate::read::Located;
use crate::rule;

/// Largest number of addresses of a service.
const MAX_ADDRESSES: usize = 1_024;
/// Largest number of concurrent requests of one target.
const MAX_SLOTS: i64 = 10_000;
/// Largest number of concurrent streams of one target.
const MAX_CONNECTIONS: i64 = 1_000_000;

impl Checker {
    pub(crate) fn service(&mut self, raw: RawService) -> Option<Service> {
        let prefix = &raw.prefix;
        let identity = self.identity(List::Service, prefix, raw.name, raw.number);
        let addresses = self.addresses(prefix, raw.addresses);
        let slots = self.count(prefix, raw.slots, "slots", MAX_SLOTS);
        let connections = self.count(prefix, raw.connections, "connections", MAX_CONNECTIONS);
        let cold_share = self.share(format!("{prefix}cold_share"), raw.cold_share);
        let classes = self.classes(prefix, raw.line, raw.classes);
        let (name, number) = identity?;
        Some(Service {
            name,
            number: ServiceId(number),
            addresses: addresses?,
            slots: slots?,
            connections: connections?,
            cold_share: cold_share?,
            classes: classes?,
        })
    }

    /// Checks that a share is above 0 and at most 1.
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
        self.check_length(
            format!("{prefix}addresses"),
            line,
            entries.len(),
            MAX_ADDRESSES,
            "address",
        );
        let mut addresses = Vec::new();
        for (index, entry) in entries.into_iter().enumerate() {
            let (key, line) = (format!("{prefix}addresses[{index}]"), entry.line);
            if let Some(address) = rule::parse_address(&entry.value) {
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

    fn check_length(
        &mut self,
        key: String,
        line: usize,
        count: usize,
        limit: usize,
        entry: &'static str,
    ) {
        if count == 0 {
            self.fault(key, line, FaultKind::EmptyList { entry });
        } else if count > limit {
            self.fault(key, line, FaultKind::TooMany { count, limit });
        }
    }
}
