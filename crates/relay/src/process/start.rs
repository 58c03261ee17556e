//! Start of a process: signal handlers, sockets, and the tasks beside the main loop.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

use monsoon_model::{Instant, Number};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::freshness::Freshness;
use super::{Process, RELOAD_INTERVAL, RoleState, RunError, Sockets};
use crate::agent::AgentState;
use crate::balancer::BalancerState;
use crate::clock::{Clock, SuspensionDetector};
use crate::decision_log::DecisionLog;
use crate::http::{ReceivedRequest, Reply};
use crate::message::{Message, MessageSender};
use crate::metrics::Metrics;
use crate::rejection_log::RejectionLog;
use crate::restore::Restore;
use crate::task::supervise;
use crate::{Adapter, Role, Settings, discovery, endpoints, http, store_watch};

pub(super) fn spawn_signals(messages: &MessageSender, adapter: &Adapter) -> Result<(), RunError> {
    let listen = |kind| signal(kind).map_err(|source| RunError::Signals { source });
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut hangup = listen(SignalKind::hangup())?;
    let (messages, reload) = (messages.clone(), Arc::clone(&adapter.reload_settings));
    tokio::spawn(async move {
        loop {
            let message = tokio::select! {
                _ = terminate.recv() => Some(Message::Stop),
                _ = interrupt.recv() => Some(Message::Stop),
                _ = hangup.recv() => reload().map(|s| Message::Settings(Box::new(s))),
                () = tokio::time::sleep(RELOAD_INTERVAL) => {
                    reload().map(|s| Message::Settings(Box::new(s)))
                }
            };
            if let Some(message) = message
                && messages.send(message).await.is_err()
            {
                return;
            }
        }
    });
    Ok(())
}

async fn bind_udp(purpose: &'static str, at: SocketAddrV4) -> Result<UdpSocket, RunError> {
    let address = SocketAddr::V4(at);
    let socket = UdpSocket::bind(address).await;
    socket.map_err(|source| RunError::Bind {
        purpose,
        address,
        source,
    })
}

async fn bind_tcp(purpose: &'static str, at: SocketAddrV4) -> Result<TcpListener, RunError> {
    let address = SocketAddr::V4(at);
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| RunError::Bind {
        purpose,
        address,
        source,
    })
}

/// Serves HTTP at an address until the process ends.
async fn spawn_server<F>(
    purpose: &'static str,
    at: SocketAddrV4,
    handler: impl Fn(ReceivedRequest) -> F + Send + Sync + 'static,
) -> Result<(), RunError>
where
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = Arc::new(bind_tcp(purpose, at).await?);
    let handler = Arc::new(handler);
    supervise(purpose, move || {
        http::serve(Arc::clone(&listener), Arc::clone(&handler))
    });
    Ok(())
}

impl Process {
    pub(super) async fn open(
        settings: Settings,
        adapter: Adapter,
        messages: MessageSender,
    ) -> Result<Self, RunError> {
        let packets = match &settings.role {
            Role::Balancer { callers } => bind_udp("callers", *callers).await?,
            Role::Agent(agent) => bind_udp("target", agent.outbound).await?,
        };
        let sockets = Sockets {
            packets,
            frames: bind_udp("frames", settings.frames).await?,
            control: bind_udp("membership", settings.control).await?,
        };
        let clock = Clock::start();
        let prefix = match settings.role {
            Role::Balancer { .. } => "balancer",
            Role::Agent(_) => "agent",
        };
        Ok(Self {
            settings,
            adapter,
            clock,
            decision_log: DecisionLog::new(prefix),
            rejections: RejectionLog::default(),
            metrics: Metrics::default(),
            catalogue: None,
            restore: Restore::new(discovery::rewrite_delay().into()),
            config_checked: false,
            is_stopping: false,
            sockets,
            messages,
            suspension_detector: SuspensionDetector::new(),
            generation: watch::Sender::new(0),
            peers_suffice: watch::Sender::new(false),
            is_supported: watch::Sender::new(false),
            is_on_duty: watch::Sender::new(true),
            era: watch::Sender::new(0),
            restores: watch::Sender::new(0),
            store_revision: Number::ZERO,
            era_peer: None,
            behind: watch::Sender::new(0),
            rewatched_at: Instant::ZERO,
            fetched_at: Instant::ZERO,
            is_isolated: watch::Sender::new(false),
            last_control: clock.now(),
            has_heard: false,
            freshness: Freshness::default(),
            is_fetching: Arc::default(),
        })
    }

    pub(super) fn new_role_state(&self) -> RoleState {
        let now = self.clock.now();
        match &self.settings.role {
            Role::Balancer { .. } => {
                RoleState::Balancer(Box::new(BalancerState::new(now, &self.settings)))
            }
            Role::Agent(agent) => {
                RoleState::Agent(Box::new(AgentState::new(now, &self.settings, agent)))
            }
        }
    }

    pub(super) async fn spawn_tasks(&self) -> Result<(), RunError> {
        let settings = &self.settings;
        let readiness = endpoints::readiness(self.messages.clone());
        spawn_server("readiness", settings.readiness, readiness).await?;
        let pages = || endpoints::configuration_and_metrics(self.messages.clone());
        spawn_server("peers", settings.peer, pages()).await?;
        if let Some(at) = settings.metrics {
            spawn_server("metrics", at, pages()).await?;
        }
        if let Role::Agent(agent) = &settings.role {
            let handler = endpoints::heartbeats(self.messages.clone(), self.adapter.parse_call);
            spawn_server("heartbeats", agent.heartbeats, handler).await?;
        }
        let (client, store) = (self.adapter.store_client, settings.store);
        let policy = store_watch::ReadPolicy {
            generation: self.generation.subscribe(),
            peers_suffice: self.peers_suffice.subscribe(),
            is_supported: self.is_supported.subscribe(),
            is_on_duty: self.is_on_duty.subscribe(),
            behind: self.behind.subscribe(),
            era: self.era.clone(),
            starts_stale: matches!(settings.role, Role::Agent(_)),
        };
        let (catalogue_policy, messages) = (policy.clone(), self.messages.clone());
        supervise("config", move || {
            let (policy, messages) = (catalogue_policy.clone(), messages.clone());
            store_watch::watch_catalogue(client, store, policy, messages)
        });
        let names = settings.data_centres.iter().map(|known| known.name.clone());
        let (known, messages) = (Arc::new(names.collect()), self.messages.clone());
        supervise("evacuations", move || {
            let (policy, messages) = (policy.clone(), messages.clone());
            store_watch::watch_evacuations(client, store, Arc::clone(&known), policy, messages)
        });
        let (is_isolated, messages) = (self.is_isolated.subscribe(), self.messages.clone());
        let own_address = settings.control;
        supervise("discovery", move || {
            let (is_isolated, messages) = (is_isolated.clone(), messages.clone());
            discovery::find_balancers(client, store, own_address, is_isolated, messages)
        });
        if matches!(settings.role, Role::Balancer { .. }) {
            let (settings, restores) = (settings.clone(), self.restores.subscribe());
            supervise("registration", move || {
                discovery::register_balancer(client, settings.clone(), restores.clone())
            });
            self.read_registry();
        }
        Ok(())
    }
}
