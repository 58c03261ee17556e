//! Checked document.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoon_model::{ClassKey, DataCentreId, Duration, ServiceId};

use crate::fault::Faults;
use crate::raw::RawDocument;

/// Largest text of a document or set of data centres, in bytes. The store holds objects of 1 MB
/// that wrap the text in JSON, so one tenth is left for escapes and the wrapping.
pub const MAX_TEXT: usize = 900_000;

/// Configuration of one environment.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Name of the tenant.
    pub tenant: String,
    /// Data centres by number.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Services by number.
    pub services: BTreeMap<ServiceId, Service>,
    /// Names of removed data centres; their numbers stay taken.
    pub retired_data_centres: BTreeMap<DataCentreId, String>,
    /// Names of removed services; their numbers stay taken.
    pub retired_services: BTreeMap<ServiceId, String>,
}

/// Data centre of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Name, unique among data centres.
    pub name: String,
    /// Number, never reused for another name.
    pub number: DataCentreId,
    /// Region; targets of the same region are preferred.
    pub region: String,
    /// Membership group: data centres of one group share their balancers for announcements and
    /// failure detection. Without the key it is the data centre's own number.
    pub group: DataCentreId,
}

/// Service of the document.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique among services.
    pub name: String,
    /// Number, never reused for another name.
    pub number: ServiceId,
    /// Addresses where callers send.
    pub addresses: Vec<SocketAddr>,
    /// Concurrent requests of one warm target.
    pub slots: u32,
    /// Concurrent streams of one target.
    pub connections: u32,
    /// Share of the slots that a cold target carries, above 0 and at most 1.
    pub cold_share: f64,
    /// Classes; a [`ClassKey`] is the position in this list.
    pub classes: Vec<Class>,
}

/// Class of requests of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Name, unique within the service.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Prefix of the path.
    pub path: String,
    /// Whether a request takes a connection instead of a slot.
    pub stream: bool,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Share under shedding.
    pub weight: u32,
    /// Time for the complete response; `None` exactly for streams.
    pub deadline: Option<Duration>,
}

impl Document {
    /// Parses and checks a text.
    ///
    /// # Errors
    /// Returns all faults of the text at once.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        Self::try_from(RawDocument::read(text))
    }

    /// Service of this name.
    pub fn service_named(&self, name: &str) -> Option<&Service> {
        self.services.values().find(|service| service.name == name)
    }

    /// Data centre of this name.
    pub fn data_centre_named(&self, name: &str) -> Option<&DataCentre> {
        self.data_centres.values().find(|place| place.name == name)
    }

    /// Service that receives on this address.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        self.services
            .values()
            .find(|service| service.addresses.contains(&address))
    }
}

impl Service {
    /// Class with the longest path prefix among those of this method.
    pub fn class_of(&self, method: &str, path: &str) -> Option<ClassKey> {
        let matching = self.classes.iter().enumerate();
        let matching = matching.filter(|(_, c)| c.method == method && path.starts_with(&c.path));
        let (position, _) = matching.max_by_key(|(_, class)| class.path.len())?;
        u8::try_from(position).ok().map(ClassKey)
    }

    /// Class of this key.
    pub fn class(&self, key: ClassKey) -> Option<&Class> {
        self.classes.get(usize::from(key.0))
    }
}
