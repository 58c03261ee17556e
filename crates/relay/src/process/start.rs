//! Start of a process: signal handlers, sockets, and the tasks beside the main loop.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

use monsoon_flow::Evacuations;
use monsoon_model::Instant;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::{Freshness, Process, RELOAD_INTERVAL, RoleState, RunError, Sockets};
use crate::agent::AgentState;
use crate::balancer::BalancerState;
use crate::clock::{Clock, SuspensionDetector};
use crate::decision_log::DecisionLog;
use crate::message::{Message, MessageSender};
use crate::metrics::Metrics;
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
            metrics: Metrics::default(),
            catalogue: None,
            evacuations: Evacuations::default(),
            config_checked: false,
            is_stopping: false,
            sockets,
            messages,
            suspension_detector: SuspensionDetector::new(),
            generation: watch::Sender::new(0),
            peers_suffice: watch::Sender::new(false),
            fetched_at: Instant::ZERO,
            is_isolated: watch::Sender::new(false),
            last_control: clock.now(),
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
        let readiness = bind_tcp("readiness", settings.readiness).await?;
        tokio::spawn(http::serve(
            readiness,
            endpoints::readiness(self.messages.clone()),
        ));
        let peers = bind_tcp("peers", settings.peer).await?;
        tokio::spawn(http::serve(
            peers,
            endpoints::configuration_and_metrics(self.messages.clone()),
        ));
        if let Some(at) = settings.metrics {
            let metrics = bind_tcp("metrics", at).await?;
            tokio::spawn(http::serve(
                metrics,
                endpoints::configuration_and_metrics(self.messages.clone()),
            ));
        }
        if let Role::Agent(agent) = &settings.role {
            let heartbeats = bind_tcp("heartbeats", agent.heartbeats).await?;
            let handler = endpoints::heartbeats(self.messages.clone(), self.adapter.parse_call);
            tokio::spawn(http::serve(heartbeats, handler));
        }
        let (client, store) = (self.adapter.store_client, settings.store);
        let policy = store_watch::ReadPolicy {
            generation: self.generation.subscribe(),
            peers_suffice: self.peers_suffice.subscribe(),
        };
        let sender = || self.messages.clone();
        tokio::spawn(store_watch::watch_catalogue(
            client,
            store,
            policy.clone(),
            sender(),
        ));
        tokio::spawn(store_watch::watch_evacuations(
            client,
            store,
            policy,
            sender(),
        ));
        let is_isolated = self.is_isolated.subscribe();
        let own_address = settings.control;
        tokio::spawn(discovery::find_balancers(
            client,
            store,
            own_address,
            is_isolated,
            sender(),
        ));
        if matches!(settings.role, Role::Balancer { .. }) {
            tokio::spawn(discovery::register_balancer(client, settings.clone()));
        }
        Ok(())
    }
}
