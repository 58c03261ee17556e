//! Checked settings of a process.

use std::net::{SocketAddr, SocketAddrV4};

use monsoon_flow::ServiceTag;
use monsoon_model::{DataCentreId, Duration};

/// A data centre of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Name in the settings.
    pub name: String,
    /// Identity, the same in all processes.
    pub id: DataCentreId,
    /// Membership group; one for each region.
    pub group: DataCentreId,
}

/// Limits that the operators set for the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Age from which a heartbeat no longer proves that the address belongs to its target.
    pub heartbeat_lease: Duration,
    /// Factor on the request rate of cold targets.
    pub cold_factor: f64,
    /// Requests that a cold target may get at once, beyond its rate.
    pub cold_burst: f64,
    /// Longest lifetime of a flow; older ones may be forgotten.
    pub flow_ttl: Duration,
    /// Time between the signal to stop and the forced end of a process.
    pub grace: Duration,
}

/// Settings of the role agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Address at which the target receives packets.
    pub target: SocketAddrV4,
    /// Address at which the agent receives the target's packets.
    pub outbound: SocketAddrV4,
    /// Address at which the agent receives the target's heartbeats.
    pub heartbeats: SocketAddrV4,
    /// Service of the target.
    pub service: ServiceTag,
}

/// Role of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives packets of callers and forwards them to agents.
    Balancer {
        /// Address at which packets of callers are received.
        callers: SocketAddrV4,
    },
    /// Runs beside a target and hands it the packets of its flows.
    Agent(AgentSettings),
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Role of the process.
    pub role: Role,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// All data centres of the deployment.
    pub data_centres: Vec<DataCentre>,
    /// UDP address for frames between balancers and agents.
    pub frames: SocketAddrV4,
    /// UDP address for membership messages.
    pub control: SocketAddrV4,
    /// HTTP address for the configuration, read by other processes, and for metrics.
    pub peer: SocketAddrV4,
    /// HTTP address for readiness checks.
    pub readiness: SocketAddrV4,
    /// Further HTTP address for metrics.
    pub metrics: Option<SocketAddrV4>,
    /// Port at which callers receive packets.
    pub caller_port: u16,
    /// Membership addresses of some balancers.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Limits of the deployment.
    pub limits: Limits,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
}

impl Settings {
    /// Data centre with this name, if the settings list one.
    pub fn data_centre_named(&self, name: &str) -> Option<&DataCentre> {
        self.data_centres
            .iter()
            .find(|data_centre| data_centre.name == name)
    }
}
