//! Document of an environment after all checks.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoon_model::{ClassKey, DataCentreId, Duration, ServiceId};

use crate::fault::Faults;
use crate::raw::RawDocument;

/// Largest text of a document or a set of evacuated data centres in bytes. The store accepts
/// objects of 1 MB, which contain the text as JSON; one tenth is left for escapes and the other
/// fields.
pub const MAX_TEXT: usize = 900_000;

/// Configuration of one environment: its data centres and services.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Name of the tenant.
    pub tenant: String,
    /// Data centres by number.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Services by number.
    pub services: BTreeMap<ServiceId, Service>,
    /// Names of removed data centres; their numbers must not be reused.
    pub retired_data_centres: BTreeMap<DataCentreId, String>,
    /// Names of removed services; their numbers must not be reused.
    pub retired_services: BTreeMap<ServiceId, String>,
}

/// Data centre of an environment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Name, unique among data centres.
    pub name: String,
    /// Number; never reused for another name.
    pub number: DataCentreId,
    /// Name of the region; targets of the same region are preferred.
    pub region: String,
    /// Membership group; data centres of one group share their balancers for announcements and
    /// failure detection. By default it is the data centre's own number.
    pub group: DataCentreId,
}

/// Service of an environment.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique among services.
    pub name: String,
    /// Number; never reused for another name.
    pub number: ServiceId,
    /// Addresses that callers send to.
    pub addresses: Vec<SocketAddr>,
    /// Most concurrent requests of one warm target.
    pub slots: u32,
    /// Most concurrent streams of one target.
    pub connections: u32,
    /// Share of the slots that a cold target has, above 0 and at most 1.
    pub cold_share: f64,
    /// Classes of requests; a [`ClassKey`] is an index into this list.
    pub classes: Vec<Class>,
}

/// Class of a service's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Name, unique within the service.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Path prefix.
    pub path: String,
    /// Whether a request is a stream, which takes a connection instead of a slot.
    pub stream: bool,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Share of the slots under overload, relative to the weights of the other classes.
    pub weight: u32,
    /// Time limit for the complete response; `None` for streams and only for them.
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

    /// Service with this name.
    pub fn service_named(&self, name: &str) -> Option<&Service> {
        self.services.values().find(|service| service.name == name)
    }

    /// Data centre with this name.
    pub fn data_centre_named(&self, name: &str) -> Option<&DataCentre> {
        self.data_centres
            .values()
            .find(|data_centre| data_centre.name == name)
    }

    /// Service that has this address.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        self.services
            .values()
            .find(|service| service.addresses.contains(&address))
    }
}

impl Service {
    /// Class of a request: among the classes with its method, the one with the longest matching
    /// path prefix.
    pub fn class_of(&self, method: &str, path: &str) -> Option<ClassKey> {
        let matching = self.classes.iter().enumerate();
        let matching = matching.filter(|(_, c)| c.method == method && path.starts_with(&c.path));
        let (position, _) = matching.max_by_key(|(_, class)| class.path.len())?;
        u8::try_from(position).ok().map(ClassKey)
    }

    /// Class with this key.
    pub fn class(&self, key: ClassKey) -> Option<&Class> {
        self.classes.get(usize::from(key.0))
    }
}
