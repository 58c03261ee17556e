//! The loop of a process: one task that owns the sockets and all state.

mod configuration;
mod packets;
mod start;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use derive_more::{Display, Error};
use monsoon_flow::{Catalogue, Evacuations};
use monsoon_membership::Action as MembershipAction;
use monsoon_model::{Duration, Instant, Version};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use start::spawn_signals;

use crate::agent::AgentState;
use crate::balancer::BalancerState;
use crate::clock::{Clock, SuspensionDetector};
use crate::decision_log::DecisionLog;
use crate::message::{Message, MessageSender, QUEUE_LENGTH};
use crate::metrics::Metrics;
use crate::peers::{self, SharedConfiguration};
use crate::{Adapter, Settings};

/// Largest datagram, in bytes: a packet of 1,232 and the largest frame header.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Datagrams read from one socket before the others get their turn.
const MAX_BATCH: usize = 64;
/// Longest sleep of the loop, so that a suspension is noticed.
const MAX_SLEEP: Duration = Duration::from_millis(250);
/// Time for which a process that is behind waits for its own watch before it asks a peer.
const WATCH_GRACE: Duration = Duration::from_millis(400);
/// Least time between two fetches of an agent, so that changes in quick succession cost one.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);
/// Silence of all other processes after which a process takes itself for alone.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);
/// Interval of looks at the settings file.
const RELOAD_INTERVAL: std::time::Duration = std::time::Duration::from_secs(2);

/// A process cannot run.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// A socket cannot be opened.
    #[display(
        "cannot listen on {address} ({purpose}): {source}; choose a free port or stop its user"
    )]
    Bind {
        /// What the socket is for.
        purpose: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Signals cannot be handled.
    #[display("cannot handle signals: {source}; check the limits of the process")]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Role-specific state.
#[derive(Debug)]
pub(crate) enum RoleState {
    Balancer(Box<BalancerState>),
    Agent(Box<AgentState>),
}

/// Sockets of the loop.
#[derive(Debug)]
struct Sockets {
    /// Packets of callers at a balancer, of the target at an agent.
    packets: UdpSocket,
    frames: UdpSocket,
    control: UdpSocket,
}

/// What a process knows about the age of its configuration.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    /// Objects read since the start or the last suspension.
    is_read: [bool; 2],
    /// Objects whose reads fail.
    is_failing: [bool; 2],
    /// Since when a peer has a newer configuration.
    behind_since: Option<Instant>,
}

/// State of a process.
#[derive(Debug)]
pub(crate) struct Process {
    pub settings: Settings,
    pub adapter: Adapter,
    pub clock: Clock,
    pub decision_log: DecisionLog,
    pub metrics: Metrics,
    pub catalogue: Option<Arc<Catalogue>>,
    pub places: Evacuations,
    pub is_checked: bool,
    pub is_stopping: bool,
    sockets: Sockets,
    pub messages: MessageSender,
    suspension_detector: SuspensionDetector,
    generation: watch::Sender<u64>,
    /// An agent hears of changes from balancers.
    peers_suffice: watch::Sender<bool>,
    fetched_at: Instant,
    is_isolated: watch::Sender<bool>,
    last_control: Instant,
    freshness: Freshness,
    is_fetching: Arc<AtomicBool>,
}

/// Runs a process until it is told to stop.
///
/// # Errors
/// Returns an error when a socket cannot be opened or signals cannot be handled.
pub async fn run(settings: Settings, adapter: Adapter) -> Result<(), RunError> {
    let (messages, mut queue) = mpsc::channel(QUEUE_LENGTH);
    spawn_signals(&messages, &adapter)?;
    let mut process = Process::open(settings, adapter, messages).await?;
    let mut role_state = process.new_role_state();
    process.spawn_services().await?;
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
        let wake = self.clock.now() + MAX_SLEEP;
        let next = match role_state {
            RoleState::Balancer(balancer) => balancer.next_tick(),
            RoleState::Agent(agent) => agent.next_tick(),
        };
        next.min(wake).min(end.unwrap_or(wake))
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
        // with their versions. A balancer itself always watches the store.
        let peers_suffice =
            self.is_checked && !is_isolated && matches!(role_state, RoleState::Agent(_));
        self.peers_suffice
            .send_if_modified(|old| std::mem::replace(old, peers_suffice) != peers_suffice);
        match role_state {
            RoleState::Balancer(balancer) => balancer.tick(self, now),
            RoleState::Agent(agent) => agent.tick(self, now),
        }
    }

    /// Nothing that was read before holds until it is read again.
    fn resume(&mut self, now: Instant, role_state: &mut RoleState) {
        self.is_checked = false;
        self.freshness = Freshness::default();
        self.generation.send_modify(|generation| *generation += 1);
        match role_state {
            RoleState::Balancer(balancer) => balancer.resume(now),
            RoleState::Agent(agent) => agent.resume(),
        }
    }

    /// Does what the membership decided. Returns whether the list of members changed.
    pub(crate) fn perform_membership_actions(
        &mut self,
        now: Instant,
        actions: Vec<MembershipAction>,
    ) -> bool {
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    // Messages hold no value that cannot be encoded.
                    let datagram = postcard::to_stdvec(&message).unwrap_or_default();
                    let sent = self.sockets.control.try_send_to(&datagram, to);
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
            Message::Catalogue(catalogue) => self.set_catalogue(role_state, catalogue),
            Message::Places(places) => self.set_places(now, role_state, places),
            Message::ListedEvacuations(mut places, revision) => {
                // What the store lists now goes before what a peer knew at any earlier revision.
                if places.data_centres != self.places.data_centres
                    && places.version <= self.places.version
                {
                    places.version = Version(revision);
                }
                self.set_places(now, role_state, places);
            }
            Message::ObjectRead(object, generation) => {
                if generation == *self.generation.borrow() {
                    self.freshness.is_read[object as usize] = true;
                    self.freshness.is_failing[object as usize] = false;
                    if self.freshness.is_read == [true, true] {
                        self.set_checked(role_state, "store");
                    }
                }
            }
            Message::PeerRead(generation) => {
                if generation == *self.generation.borrow() {
                    self.set_checked(role_state, "peer");
                }
            }
            Message::ReadFailed(object) => {
                self.freshness.is_failing[object as usize] = true;
                self.fetch_from_seed();
            }
            Message::Balancers(found) => match role_state {
                RoleState::Balancer(balancer) => balancer.node.add_seeds(found),
                RoleState::Agent(agent) => agent.node.add_seeds(found),
            },
            Message::Heartbeat(announced, done) => {
                if let RoleState::Agent(agent) = role_state {
                    agent.receive_heartbeat(self, now, announced);
                }
                // The target has given up the call when nobody waits.
                let _ = done.send(());
            }
            Message::TargetEnded(id, done) => {
                if let RoleState::Agent(agent) = role_state {
                    agent.target_ended(self, now, &id);
                }
                let _ = done.send(());
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
                    is_checked: self.is_checked,
                    catalogue: newer.cloned(),
                    places: self.places.clone(),
                };
                let _ = reply.send(peers::encode(&configuration));
            }
            Message::Metrics(reply) => {
                let gauges = match role_state {
                    RoleState::Balancer(balancer) => balancer.gauges(),
                    RoleState::Agent(agent) => agent.gauges(now),
                };
                let _ = reply.send(self.metrics.render(self.decision_log.counts(), &gauges));
            }
            Message::Readiness(reply) => {
                let ready = match role_state {
                    RoleState::Balancer(balancer) => balancer.flows.is_ready(),
                    RoleState::Agent(agent) => agent.flows.refusal_reason(now).is_none(),
                };
                let _ = reply.send(ready && !self.is_stopping);
            }
            Message::Settings(settings) => self.configure(role_state, *settings),
            Message::Stop => {}
        }
    }

    /// Begins to stop. Returns when the process ends.
    fn stop(&mut self, role_state: &mut RoleState) -> Instant {
        self.is_stopping = true;
        let now = self.clock.now();
        let wait = match role_state {
            RoleState::Balancer(balancer) => balancer.stop(self, now),
            RoleState::Agent(agent) => agent.stop(self, now),
        };
        log::info!("process: stops after_ms={}", wait.as_millis());
        now + wait
    }
}
