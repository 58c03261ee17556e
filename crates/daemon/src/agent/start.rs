//! Start and graceful stop of an agent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use derive_more::{Display, Error, From};
use monsoon_admission::{ClassParameters, TargetParameters};
use monsoon_config::{Document, Service};
use monsoon_execution::claim::ClaimTable;
use monsoon_membership::{AgentNode, Event, Role};
use monsoon_model::DataCentreId;
use monsoon_routing::Load;
use quinn::{Endpoint, EndpointConfig, ServerConfig, TransportConfig};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use super::admission_control::AdmissionControl;
use super::cid::CidGenerator;
use super::flows::{self, FlowCount, PeerRequests, Phase};
use super::socket::{AgentSocket, SocketParts};
use super::target::Target;
use super::{Agent, health, membership, peer_handlers};
use crate::admin;
use crate::context::{EVENT_QUEUE, Location, ProcessContext, leave};
use crate::peer;
use crate::settings::Settings;
use crate::signals::Signals;
use crate::sockets::{BindError, Sockets};
use crate::task::spawn_essential;
use crate::tls::TlsError;

/// Time after which no process sends new flows or requests to a leaving agent any more.
const DEREGISTRATION_DELAY: Duration = Duration::from_secs(3);
/// Time between two checks whether the work in progress is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a packet after which QUIC closes a flow.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of a QUIC packet that fits into any path together with its envelope.
const PACKET_BYTES: u16 = 1_200;

/// Reason why an agent cannot start.
#[derive(Debug, Display, Error, From)]
pub enum AgentError {
    /// A socket that cannot be opened.
    #[display("{_0}")]
    Bind(BindError),
    /// A certificate that cannot be used.
    #[display("{_0}")]
    Tls(TlsError),
    /// A QUIC endpoint that cannot be created.
    #[display(
        "the QUIC endpoint cannot be created: {_0}; check the certificate and the data address"
    )]
    Quic(std::io::Error),
}

/// What the document assigns to an agent.
struct Assignment {
    tenant: String,
    location: Location,
    service: Service,
}

/// Runs an agent until a signal stops it.
///
/// # Errors
/// Returns the reason when the agent cannot start.
pub async fn run(settings: Settings, service: &str, target: SocketAddr) -> Result<(), AgentError> {
    let mut signals = Signals::new();
    let sockets = Sockets::open(&settings).await?;
    let context = ProcessContext::new(settings, &sockets);
    context.print_ready();
    let data_centre = context.settings.data_centre.clone();
    let assignment = tokio::select! {
        assignment = context.wait_for_document(
            |document| find_assignment(document, &data_centre, service)
        ) => assignment,
        () = signals.stop_requested() => return Ok(()),
    };
    let builder = Builder {
        context,
        assignment,
    };
    let agent = builder.agent(target);
    let socket = builder.socket(&agent, &sockets);
    let endpoint = builder.endpoint(&agent, Arc::clone(&socket))?;
    let (events, membership_task) = builder.join(&agent, socket);
    builder.spawn_services(&agent, &endpoint, sockets);
    log::info!("agent: serves {service} of {}", agent.tenant);

    signals.stop_requested().await;
    tokio::select! {
        () = drain(&agent) => {}
        () = signals.stop_requested() => log::warn!(
            "agent: stopping at once after a second signal; work in progress is aborted"
        ),
    }
    leave(events, membership_task).await;
    endpoint.close(0_u32.into(), b"instance stops");
    endpoint.wait_idle().await;
    Ok(())
}

fn find_assignment(
    document: &Document,
    data_centre: &str,
    service: &str,
) -> Result<Assignment, String> {
    let location = Location::find(document, data_centre)?;
    let service = document.service_named(service).ok_or_else(|| {
        format!("the document has no service {service}; add it or correct the settings")
    })?;
    Ok(Assignment {
        tenant: document.tenant.clone(),
        location,
        service: service.clone(),
    })
}

/// Takes no new work, sends callers a GOAWAY and waits until the work in progress is complete.
async fn drain(agent: &Agent) {
    log::info!("agent: stopping after the work in progress; a second signal stops it at once");
    agent.phase.send_replace(Phase::Leaving);
    agent.admission_control.set_leaving();
    tokio::time::sleep(DEREGISTRATION_DELAY).await;
    // Streams occupy no slot, so the load does not include those of other agents' flows.
    while agent.flows.get() > 0
        || agent.peer_requests.get() > 0
        || agent.admission_control.load().busy > 0
    {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Applies each change of the configuration: the parameters of the service, and the phase when the
/// own data centre is taken out of service or brought back.
async fn follow_configuration(
    agent: Arc<Agent>,
    socket: Arc<AgentSocket>,
    data_centre: DataCentreId,
) {
    let mut known = BTreeSet::new();
    let mut changes = agent.configuration.subscribe();
    changes.mark_changed();
    while changes.changed().await.is_ok() {
        let parameters = agent
            .configuration
            .with_document(|document| document.services.get(&agent.service).map(parameters));
        match parameters.flatten() {
            Some(parameters) => agent.admission_control.reconfigure(parameters),
            // Open flows keep the last parameters; the balancers forward no new ones.
            None => log::warn!(
                "agent: the service is no longer in the document and gets no new flows; add it again or stop this agent"
            ),
        }
        let evacuations = agent.configuration.evacuations();
        if !evacuations.is_subset(&known) {
            socket.clear_passed();
        }
        let is_evacuated = evacuations.contains(&data_centre);
        known = evacuations;
        agent.phase.send_if_modified(|phase| {
            let next = match (*phase, is_evacuated) {
                (Phase::Serving, true) => Phase::Evacuated,
                (Phase::Evacuated, false) => Phase::Serving,
                (present, _) => present,
            };
            let is_modified = next != *phase;
            *phase = next;
            is_modified
        });
    }
}

fn admin_page(agent: &Agent, path: &str) -> Option<serde_json::Value> {
    match path {
        "/status" => Some(status(agent)),
        "/counters" => serde_json::to_value(agent.counters.snapshot()).ok(),
        "/histograms" => {
            let histograms = agent
                .histograms
                .lock()
                .expect("no panic while the lock is held");
            serde_json::to_value(histograms.snapshot()).ok()
        }
        _ => None,
    }
}

fn status(agent: &Agent) -> serde_json::Value {
    let peers: Vec<_> = {
        let node = agent.node.lock().expect("no panic while the lock is held");
        node.sampled_targets(agent.clock.now())
            .iter()
            .map(|peer| {
                serde_json::json!({
                    "address": peer.peer,
                    "state": peer.state,
                    "load": peer.load,
                })
            })
            .collect()
    };
    serde_json::json!({
        "role": "agent",
        "service": agent.service,
        "versions": agent.configuration.versions(),
        "flows": agent.flows.get(),
        "load": agent.admission_control.load(),
        "peers": peers,
    })
}

/// Creates the parts of an agent and starts its tasks.
struct Builder {
    context: ProcessContext,
    assignment: Assignment,
}

impl Builder {
    /// Starts the membership loop, the report of the local state to it and the loop that applies the
    /// configuration.
    fn join(
        &self,
        agent: &Arc<Agent>,
        socket: Arc<AgentSocket>,
    ) -> (mpsc::Sender<Event>, JoinHandle<()>) {
        let node = Arc::clone(&agent.node);
        let (events, inbox) = mpsc::channel(EVENT_QUEUE);
        let membership_task = spawn_essential(
            "membership",
            membership::run(
                self.context.control.clone(),
                node,
                Arc::clone(&socket),
                inbox,
            ),
        );
        spawn_essential(
            "configuration",
            follow_configuration(
                Arc::clone(agent),
                socket,
                self.assignment.location.data_centre,
            ),
        );
        spawn_essential(
            "local state",
            membership::report_local(Arc::clone(agent), events.clone()),
        );
        (events, membership_task)
    }

    fn spawn_services(&self, agent: &Arc<Agent>, endpoint: &Endpoint, sockets: Sockets) {
        spawn_essential("admission", agent.admission_control.clone().run_timer());
        spawn_essential(
            "health",
            health::poll(agent.target.clone(), agent.admission_control.clone()),
        );
        spawn_essential("flows", flows::accept(Arc::clone(agent), endpoint.clone()));
        let (handlers, tls) = (
            peer_handlers::handlers(agent),
            Arc::clone(&self.context.tls),
        );
        spawn_essential("peers", async move {
            peer::serve(sockets.peer, &tls, handlers).await;
        });
        let reader = Arc::clone(agent);
        spawn_essential(
            "admin",
            admin::serve(sockets.admin, move |path| admin_page(&reader, path)),
        );
    }

    fn agent(&self, target: SocketAddr) -> Arc<Agent> {
        let (phase, _) = watch::channel(Phase::Serving);
        let (control, assignment) = (&self.context.control, &self.assignment);
        let service = assignment.service.number;
        let member = self
            .context
            .member(Role::Agent, assignment.location, service);
        let (now, seeds) = (control.clock.now(), self.context.settings.seeds.clone());
        let node = AgentNode::new(now, member, seeds, rand::random());
        Arc::new(Agent {
            clock: control.clock,
            id: member.id,
            service,
            tenant: assignment.tenant.clone(),
            configuration: control.configuration.clone(),
            admission_control: AdmissionControl::new(
                control.clock,
                parameters(&assignment.service),
            ),
            target: Target::new(target),
            peers: control.peers.clone(),
            node: Arc::new(Mutex::new(node)),
            claims: Mutex::new(ClaimTable::new(now)),
            retry_budget: Mutex::default(),
            claim_serial: AtomicU64::new(0),
            peer_tracker: Mutex::default(),
            histograms: Mutex::default(),
            counters: Arc::clone(&control.counters),
            phase,
            flows: FlowCount::default(),
            peer_requests: PeerRequests::default(),
        })
    }

    fn socket(&self, agent: &Arc<Agent>, sockets: &Sockets) -> Arc<AgentSocket> {
        let (reader, phase) = (Arc::clone(agent), agent.phase.subscribe());
        Arc::new(AgentSocket::new(SocketParts {
            udp: Arc::clone(&sockets.data),
            data: self.context.addresses.data,
            keys: Arc::clone(&self.context.control.keys),
            service: agent.service,
            clock: agent.clock,
            load: Box::new(move || flow_load(&reader)),
            is_evacuated: Box::new(move || *phase.borrow() == Phase::Evacuated),
            counters: Arc::clone(&agent.counters),
        }))
    }

    fn endpoint(&self, agent: &Agent, socket: Arc<AgentSocket>) -> Result<Endpoint, AgentError> {
        let epoch = agent.id.epoch();
        let (keys, data) = (
            Arc::clone(&self.context.control.keys),
            self.context.addresses.data,
        );
        let (service, data_centre) = (
            self.assignment.service.number,
            self.assignment.location.data_centre,
        );
        let mut config = EndpointConfig::new(Arc::new(keys.reset_key().clone()));
        config.cid_generator(move || {
            let count = rand::random();
            Box::new(CidGenerator::new(
                Arc::clone(&keys),
                data,
                service,
                data_centre,
                epoch,
                count,
            ))
        });
        let tls =
            quinn::crypto::rustls::QuicServerConfig::try_from(self.context.tls.caller_server()?)
                .map_err(|error| AgentError::Quic(std::io::Error::other(error)))?;
        let mut server = ServerConfig::with_crypto(Arc::new(tls));
        server.transport_config(Arc::new(transport()));
        Endpoint::new_with_abstract_socket(
            config,
            Some(server),
            socket,
            Arc::new(quinn::TokioRuntime),
        )
        .map_err(AgentError::Quic)
    }
}

/// Load for the handoff decision. An agent that leaves or is evacuated counts as leaving, so that it
/// gets no new flow.
fn flow_load(agent: &Agent) -> Load {
    let load = agent.admission_control.load();
    Load {
        used: load.busy + load.queued,
        limit: load.limit.div_ceil(1_000),
        leaving: load.leaving || *agent.phase.borrow() != Phase::Serving,
    }
}

fn parameters(service: &Service) -> TargetParameters {
    let class = |class: &monsoon_config::Class| ClassParameters {
        weight: class.weight,
        stream: class.stream,
    };
    TargetParameters {
        slots: service.slots,
        connections: service.connections,
        cold_share: service.cold_share,
        classes: service.classes.iter().map(class).collect(),
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.initial_mtu(PACKET_BYTES);
    transport.min_mtu(PACKET_BYTES);
    transport.mtu_discovery_config(None);
    transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    transport
}
