//! Checked settings of a process.

use std::net::{SocketAddr, SocketAddrV4};

use monsoon_flow::ServiceTag;
use monsoon_model::{DataCentreId, Duration};

/// A data centre of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Name.
    pub name: String,
    /// Number, the same on all processes.
    pub id: DataCentreId,
    /// Membership group, one for each region.
    pub group: DataCentreId,
}

/// Limits that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Age at which a heartbeat no longer proves whose the address is.
    pub lease: Duration,
    /// Factor on the rate of cold targets.
    pub cold_factor: f64,
    /// Requests of a cold target on top of its rate.
    pub cold_burst: f64,
    /// Longest life of a flow that has to be remembered.
    pub flow_ttl: Duration,
    /// Time between the request to stop and the forced end.
    pub grace: Duration,
}

/// Settings of the role agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Where the target takes packets.
    pub target: SocketAddrV4,
    /// Where the target's packets arrive.
    pub outbound: SocketAddrV4,
    /// Where the target's heartbeats arrive.
    pub heartbeats: SocketAddrV4,
    /// Service of the target.
    pub service: ServiceTag,
}

/// What the process does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Entry instance; takes packets of callers at this address.
    Balancer {
        /// Address of the callers' packets.
        callers: SocketAddrV4,
    },
    /// Process beside a target.
    Agent(AgentSettings),
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// What the process does.
    pub role: Role,
    /// Own data centre.
    pub data_centre: DataCentre,
    /// All data centres.
    pub data_centres: Vec<DataCentre>,
    /// Frames between processes, UDP.
    pub frames: SocketAddrV4,
    /// Membership, UDP.
    pub control: SocketAddrV4,
    /// Configuration for other processes, and metrics, HTTP.
    pub peer: SocketAddrV4,
    /// Readiness, HTTP.
    pub readiness: SocketAddrV4,
    /// Metrics at a port of their own besides the one for peers, HTTP.
    pub metrics: Option<SocketAddrV4>,
    /// Port at which callers take packets.
    pub caller_port: u16,
    /// Membership addresses of some balancers.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Limits.
    pub bounds: Bounds,
    /// The whole deployment starts for the first time.
    pub first_start: bool,
}

impl Settings {
    /// Data centre called `name`.
    pub fn data_centre_named(&self, name: &str) -> Option<&DataCentre> {
        self.data_centres
            .iter()
            .find(|data_centre| data_centre.name == name)
    }
}
