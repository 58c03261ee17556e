//! Start and planned stop of an agent.

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
use crate::tls::TlsError;

/// Time after which nobody sends new work to a leaving agent any more.
const LEAVING_NOTICE: Duration = Duration::from_secs(3);
/// Time between two looks whether the work in progress is done.
const DRAIN_POLL: Duration = Duration::from_millis(100);
/// Time without a packet after which a flow is lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Payload of a QUIC packet that fits into any path with the encapsulation header around it.
const PACKET_SIZE: u16 = 1_200;

/// An agent cannot start.
#[derive(Debug, Display, Error, From)]
pub enum AgentError {
    /// A socket cannot be opened.
    #[display("{_0}")]
    Bind(BindError),
    /// The certificate cannot be used.
    #[display("{_0}")]
    Tls(TlsError),
    /// The QUIC endpoint cannot be created.
    #[display("QUIC cannot start: {_0}; check the certificate and the data address")]
    Quic(std::io::Error),
}

/// Location of an agent in the document.
struct Assignment {
    tenant: String,
    location: Location,
    service: Service,
}

/// Runs an agent until it is told to stop.
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
        () = signals.stop_requested() => log::warn!("agent: second signal, work in progress is cut"),
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

/// Asks callers to go elsewhere and waits for the work in progress.
async fn drain(agent: &Agent) {
    log::info!("agent: stops after the work in progress");
    agent.phase.send_replace(Phase::Leaving);
    agent.admission_control.set_leaving();
    tokio::time::sleep(LEAVING_NOTICE).await;
    // Streams take no slot, so the load does not show those of other agents' flows.
    while agent.flows.get() > 0
        || agent.peer_requests.get() > 0
        || agent.admission_control.load().busy > 0
    {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Applies each accepted configuration: service parameters, and closing or reopening the agent when
/// its data centre is taken out or brought back.
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
            // Flows go on under the last parameters; the balancers send no new ones.
            None => log::warn!("agent: the document no longer has this service"),
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
            let modified = next != *phase;
            *phase = next;
            modified
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

/// Creates the parts of an agent.
struct Builder {
    context: ProcessContext,
    assignment: Assignment,
}

impl Builder {
    /// Starts the membership node and the reports of the own state to it.
    fn join(
        &self,
        agent: &Arc<Agent>,
        socket: Arc<AgentSocket>,
    ) -> (mpsc::Sender<Event>, JoinHandle<()>) {
        let node = Arc::clone(&agent.node);
        let (events, inbox) = mpsc::channel(EVENT_QUEUE);
        let membership_task = tokio::spawn(membership::run(
            self.context.control.clone(),
            node,
            Arc::clone(&socket),
            inbox,
        ));
        tokio::spawn(follow_configuration(
            Arc::clone(agent),
            socket,
            self.assignment.location.data_centre,
        ));
        tokio::spawn(membership::report_local(Arc::clone(agent), events.clone()));
        (events, membership_task)
    }

    fn spawn_services(&self, agent: &Arc<Agent>, endpoint: &Endpoint, sockets: Sockets) {
        tokio::spawn(agent.admission_control.clone().run_timer());
        tokio::spawn(health::poll(
            agent.target.clone(),
            agent.admission_control.clone(),
        ));
        tokio::spawn(flows::accept(Arc::clone(agent), endpoint.clone()));
        let (handlers, tls) = (
            peer_handlers::handlers(agent),
            Arc::clone(&self.context.tls),
        );
        tokio::spawn(async move { peer::serve(sockets.peer, &tls, handlers).await });
        let reader = Arc::clone(agent);
        tokio::spawn(admin::serve(sockets.admin, move |path| {
            admin_page(&reader, path)
        }));
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

/// Load for the handoff decision; a leaving agent and one that is out take no new flow.
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
    transport.initial_mtu(PACKET_SIZE);
    transport.min_mtu(PACKET_SIZE);
    transport.mtu_discovery_config(None);
    transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    transport
}
