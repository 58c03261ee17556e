//! The main loop of a process: one task that owns the sockets and all state, and handles datagrams,
//! messages of other tasks, and timers.

mod configuration;
mod era;
mod freshness;
mod packets;
mod start;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use derive_more::{Display, Error};
use monsoon_flow::Catalogue;
use monsoon_membership::Action as MembershipAction;
use monsoon_model::{Duration, Instant, Number};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use freshness::Freshness;
use start::spawn_signals;

use crate::agent::AgentState;
use crate::balancer::BalancerState;
use crate::clock::{Clock, SuspensionDetector};
use crate::decision_log::DecisionLog;
use crate::http::Reply;
use crate::message::{Message, MessageSender, QUEUE_LENGTH};
use crate::metrics::Metrics;
use crate::peers::{self, SharedConfiguration};
use crate::rejection_log::RejectionLog;
use crate::restore::Restore;
use crate::{Adapter, AgentRegistry, Settings, discovery, explain};

/// Largest datagram: a packet of 1,232 bytes and the largest frame header.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Datagrams read from one socket before the other sockets are served.
const MAX_BATCH: usize = 64;
/// Longest sleep of the loop. Limits the time until a suspension is detected.
const MAX_SLEEP: Duration = Duration::from_millis(250);
/// Least time between two polls of the store because a peer has a newer configuration.
const REWATCH_INTERVAL: Duration = Duration::from_secs(2);
/// Least time between two fetches of an agent from peers, so that changes in quick succession cost
/// one fetch.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a membership message from any other process after which a process counts as
/// isolated.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);
/// Interval at which the settings file is checked for changes.
const RELOAD_INTERVAL: std::time::Duration = std::time::Duration::from_secs(2);

/// A process cannot start.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// A socket cannot be bound.
    #[display(
        "cannot listen on {address} ({purpose}): {source}; choose a free port or stop the process \
         that uses it"
    )]
    Bind {
        /// What the socket is for.
        purpose: &'static str,
        /// Address of the socket.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Signal handlers cannot be installed.
    #[display("cannot handle signals: {source}; check the limits of the process")]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// State that depends on the role of the process.
#[derive(Debug)]
pub(crate) enum RoleState {
    Balancer(Box<BalancerState>),
    Agent(Box<AgentState>),
}

/// UDP sockets of the loop.
#[derive(Debug)]
struct Sockets {
    /// Exchanges packets with callers at a balancer, and with the target at an agent.
    packets: UdpSocket,
    frames: UdpSocket,
    control: UdpSocket,
}

/// State of a process that does not depend on its role.
#[derive(Debug)]
pub(crate) struct Process {
    pub settings: Settings,
    pub adapter: Adapter,
    pub clock: Clock,
    pub decision_log: DecisionLog,
    pub rejections: RejectionLog,
    pub metrics: Metrics,
    pub catalogue: Option<Arc<Catalogue>>,
    /// Evacuations, and the progress of the last restore of the store.
    restore: Restore,
    /// Whether the configuration was compared with the store since the start or the last
    /// suspension.
    pub config_checked: bool,
    pub is_stopping: bool,
    sockets: Sockets,
    pub messages: MessageSender,
    suspension_detector: SuspensionDetector,
    /// Raised when everything has to be read from the store again.
    generation: watch::Sender<u64>,
    /// Whether balancers announce changes to this agent, so that it need not watch the store.
    peers_suffice: watch::Sender<bool>,
    /// Whether the configuration is checked and other processes announce changes.
    is_supported: watch::Sender<bool>,
    /// Whether other processes rely on this one to notice changes in the store soon.
    is_on_duty: watch::Sender<bool>,
    /// Latest era of the store that any task knows.
    era: watch::Sender<u64>,
    /// Restores of the store that were noticed.
    restores: watch::Sender<u64>,
    /// Revision of the last response of the store in the present era.
    store_revision: Number,
    /// Peer that last announced versions of the latest era.
    era_peer: Option<SocketAddr>,
    /// Raised when a peer has a change that the watches of the store have not delivered.
    behind: watch::Sender<u64>,
    /// Time at which `behind` was last raised.
    rewatched_at: Instant,
    /// Time of the agent's last fetch from a peer.
    fetched_at: Instant,
    /// Whether no membership message was received for [`ISOLATED_AFTER`].
    is_isolated: watch::Sender<bool>,
    /// Time at which the last membership message was received.
    last_control: Instant,
    /// Whether any message of the membership was received.
    has_heard: bool,
    freshness: Freshness,
    /// Whether a fetch from a peer is in progress.
    is_fetching: Arc<AtomicBool>,
}

/// Runs a process until a signal asks it to stop.
///
/// # Errors
/// Returns an error when a socket cannot be bound or signal handlers cannot be installed.
pub async fn run(settings: Settings, adapter: Adapter) -> Result<(), RunError> {
    let (messages, mut queue) = mpsc::channel(QUEUE_LENGTH);
    spawn_signals(&messages, &adapter)?;
    let mut process = Process::open(settings, adapter, messages).await?;
    let mut role_state = process.new_role_state();
    process.spawn_tasks().await?;
    log::info!(
        "process: started instance={} data_centre={} frames={} seeds={}",
        process.settings.instance,
        process.settings.data_centre.name,
        process.settings.frames,
        process.settings.seeds.len()
    );
    let mut end = None;
    while end.is_none_or(|end| process.clock.now() < end) {
        let wakeup = process.next_wakeup(&role_state, end);
        tokio::select! {
            _ = process.sockets.packets.readable() => process.read_packets(&mut role_state),
            _ = process.sockets.frames.readable() => process.read_frames(&mut role_state),
            _ = process.sockets.control.readable() => process.read_control(&mut role_state),
            message = queue.recv() => match message {
                Some(Message::Stop) if end.is_none() => end = Some(process.stop(&mut role_state)),
                Some(message) => process.handle_message(&mut role_state, message),
                None => break,
            },
            () = tokio::time::sleep_until(process.clock.deadline(wakeup)) => {}
        }
        process.tick(&mut role_state);
    }
    log::info!("process: stopped instance={}", process.settings.instance);
    Ok(())
}

impl Process {
    fn next_wakeup(&self, role_state: &RoleState, end: Option<Instant>) -> Instant {
        let latest = self.clock.now() + MAX_SLEEP;
        let next = match role_state {
            RoleState::Balancer(balancer) => balancer.next_tick(),
            RoleState::Agent(agent) => agent.next_tick(),
        };
        next.min(latest).min(end.unwrap_or(latest))
    }

    fn tick(&mut self, role_state: &mut RoleState) {
        let now = self.clock.now();
        if let Some(gap) = self.suspension_detector.check() {
            log::warn!("process: suspended ms={}", gap.as_millis());
            self.metrics.count("suspended");
            self.resume(now, role_state);
        }
        let is_isolated = now.since(self.last_control) >= ISOLATED_AFTER;
        if is_isolated && let RoleState::Balancer(balancer) = role_state {
            balancer.flows.set_list_incomplete(now);
        }
        self.is_isolated.send_if_modified(|old| {
            let changed = *old != is_isolated;
            if changed {
                log::warn!("process: alone={is_isolated}");
            }
            *old = is_isolated;
            changed
        });
        // Each call to the store is priced, and balancers answer every announcement of an agent
        // with their versions. A balancer itself always watches the store, and a few of them closely.
        let has_peers = self.config_checked && self.has_heard && !is_isolated;
        self.tick_restore(now, role_state);
        let peers_know_all = has_peers && !self.restore.needs_store(now);
        let (is_on_duty, peers_suffice) = match role_state {
            RoleState::Balancer(balancer) => (is_isolated || balancer.is_on_duty(), false),
            RoleState::Agent(_) => (!has_peers, peers_know_all),
        };
        for (sender, value) in [
            (&self.is_supported, has_peers && !is_on_duty),
            (&self.is_on_duty, is_on_duty),
            (&self.peers_suffice, peers_suffice),
        ] {
            sender.send_if_modified(|old| std::mem::replace(old, value) != value);
        }
        match role_state {
            RoleState::Balancer(balancer) => balancer.tick(self, now),
            RoleState::Agent(agent) => agent.tick(self, now),
        }
    }

    /// Handles the end of a suspension: the configuration may be outdated until it is read again.
    fn resume(&mut self, now: Instant, role_state: &mut RoleState) {
        self.config_checked = false;
        self.freshness = Freshness::default();
        self.generation.send_modify(|generation| *generation += 1);
        match role_state {
            RoleState::Balancer(balancer) => balancer.resume(now),
            RoleState::Agent(agent) => agent.resume(),
        }
    }

    /// Performs the actions of the membership. Returns whether the list of members changed.
    pub(crate) fn perform_membership_actions(
        &mut self,
        now: Instant,
        actions: Vec<MembershipAction>,
    ) -> bool {
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    let sent = self.sockets.control.try_send_to(&message.encode(), to);
                    self.count_send_error(&sent, "control_not_sent");
                }
                MembershipAction::MembersChanged => changed = true,
                MembershipAction::MemberDied(member) => {
                    log::warn!(
                        "membership: dead id={} address={}",
                        member.id,
                        member.control
                    );
                    changed = true;
                }
                MembershipAction::FetchConfiguration { peer, versions } => {
                    self.handle_newer_peer(now, peer, versions);
                }
            }
        }
        changed
    }

    fn handle_message(&mut self, role_state: &mut RoleState, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Update(update) => self.handle_update(now, role_state, update),
            Message::ObjectRead(object, generation, position) => {
                self.record_position(now, role_state, object, position);
                if generation == *self.generation.borrow() {
                    self.freshness.is_read[object as usize] = true;
                    self.freshness.is_failing[object as usize] = false;
                    if self.freshness.is_read == [true, true] {
                        self.set_config_checked(role_state, "store");
                    }
                }
            }
            Message::PeerRead(generation) => {
                if generation == *self.generation.borrow() {
                    self.set_config_checked(role_state, "peer");
                }
            }
            Message::Rejected(kind, entries) => {
                for entry in entries {
                    let name = entry.name.unwrap_or_default();
                    self.rejections.record(now, kind, name, entry.reason);
                }
            }
            Message::ReadFailed(object) => {
                self.freshness.is_failing[object as usize] = true;
                self.fetch_from_seed();
            }
            Message::Balancers(balancers) => match role_state {
                RoleState::Balancer(balancer) => balancer.node.add_seeds(balancers),
                RoleState::Agent(agent) => agent.node.add_seeds(balancers),
            },
            Message::Registry(registry) => {
                let era = registry.era.unwrap_or_else(|| self.restore.era());
                self.observe_era(now, role_state, era);
                if let RoleState::Balancer(balancer) = role_state {
                    balancer.set_registry(self, now, registry);
                }
            }
            Message::RegistryWritten(result) => {
                if let RoleState::Balancer(balancer) = role_state {
                    balancer.registry_written(self, result);
                }
            }
            Message::Heartbeat(heartbeat, reply) => {
                if let RoleState::Agent(agent) = role_state {
                    agent.receive_heartbeat(self, now, heartbeat);
                }
                // Fails when the target has closed the connection.
                let _ = reply.send(());
            }
            Message::TargetEnded(id, reply) => {
                if let RoleState::Agent(agent) = role_state {
                    agent.target_ended(self, now, &id);
                }
                let _ = reply.send(());
            }
            Message::TargetAbsent => {
                if let RoleState::Agent(agent) = role_state {
                    agent.target_absent(self, now);
                }
            }
            Message::Configuration(known, reply) => {
                let catalogue = self.catalogue.as_deref();
                let newer = catalogue.filter(|c| c.version > known.document);
                let configuration = SharedConfiguration {
                    is_checked: self.config_checked,
                    catalogue: newer.cloned(),
                    evacuations: self.restore.evacuations().clone(),
                };
                let _ = reply.send(peers::encode(&configuration));
            }
            Message::Explain(query, reply) => {
                let _ = reply.send(self.explain(role_state, now, &query));
            }
            Message::Metrics(reply) => {
                let (mut gauges, labelled) = match role_state {
                    RoleState::Balancer(balancer) => (balancer.gauges(), Vec::new()),
                    RoleState::Agent(agent) => (agent.gauges(now), agent.admission_gauges(now)),
                };
                gauges.push(("store_era", self.restore.era()));
                gauges.push(("store_revision", self.store_revision.saturating_u64()));
                let (decisions, rejections) = (self.decision_log.counts(), &self.rejections);
                let text = self
                    .metrics
                    .render(decisions, rejections, &gauges, &labelled);
                let _ = reply.send(text);
            }
            Message::Readiness(reply) => {
                let is_ready = match role_state {
                    RoleState::Balancer(balancer) => balancer.flows.is_ready(),
                    RoleState::Agent(agent) => agent.flows.refusal_reason(now).is_none(),
                };
                let _ = reply.send(is_ready && !self.is_stopping);
            }
            Message::Settings(settings) => self.apply_settings(role_state, *settings),
            Message::Stop => {}
        }
    }

    fn explain(&self, role_state: &RoleState, now: Instant, query: &str) -> Reply {
        match role_state {
            RoleState::Balancer(balancer) => {
                explain::answer(&balancer.flows, now, &self.settings.data_centres, query)
            }
            RoleState::Agent(_) => explain::no_balancer(),
        }
    }

    /// Latest era of the store.
    pub(crate) fn store_era(&self) -> u64 {
        self.restore.era()
    }

    /// Reads the registry of agents in the background.
    pub(crate) fn read_registry(&self) {
        let (client, store) = (self.adapter.store_client, self.settings.store);
        tokio::spawn(discovery::read_registry(
            client,
            store,
            self.era.subscribe(),
            self.messages.clone(),
        ));
    }

    /// Writes the registry of agents in the background.
    pub(crate) fn write_registry(&self, registry: AgentRegistry) {
        let (client, store) = (self.adapter.store_client, self.settings.store);
        let messages = self.messages.clone();
        tokio::spawn(discovery::write_registry(client, store, registry, messages));
    }

    /// Begins to stop. Returns the time at which the process ends.
    fn stop(&mut self, role_state: &mut RoleState) -> Instant {
        self.is_stopping = true;
        let now = self.clock.now();
        let delay = match role_state {
            RoleState::Balancer(balancer) => balancer.stop(self, now),
            RoleState::Agent(agent) => agent.stop(self, now),
        };
        log::info!("process: stops after_ms={}", delay.as_millis());
        now + delay
    }
}
