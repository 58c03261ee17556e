//! The loop of a process: one task that owns the sockets and all state.

use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::BytesMut;
use derive_more::{Display, Error};
use monsoon_flow::{Action, Catalogue, FlowKey, Places, decode, encode};
use monsoon_membership::{Action as Membership, Message as Control};
use monsoon_model::{Duration, Instant, Version, Versions};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::agent::AgentPart;
use crate::balancer::BalancerPart;
use crate::clock::{Clock, Suspensions};
use crate::decisions::Decisions;
use crate::figures::Figures;
use crate::inbox::{DEPTH, Message, Outlet};
use crate::peers::{self, Shared};
use crate::{Dialect, Role, Sender, Settings, discovery, endpoints, follow, http};

/// Largest datagram, in bytes: a packet of 1,232 and the largest frame header.
const MAX_DATAGRAM: usize = 2_048;
/// Datagrams read from one socket before the others get their turn.
const BATCH: usize = 64;
/// Longest sleep of the loop, so that a suspension is noticed.
const WAKE_EVERY: Duration = Duration::from_millis(250);
/// Time for which a process that is behind waits for its own watch before it asks a peer.
const LAG: Duration = Duration::from_millis(400);
/// Least time between two fetches of an agent, so that changes in quick succession cost one.
const FETCH_EVERY: Duration = Duration::from_millis(300);
/// Silence of all other processes after which a process takes itself for alone.
const ALONE_AFTER: Duration = Duration::from_secs(2);
/// Interval of looks at the settings file.
const RELOAD_EVERY: std::time::Duration = std::time::Duration::from_secs(2);

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
pub(crate) enum Part {
    Balancer(Box<BalancerPart>),
    Agent(Box<AgentPart>),
}

/// Sockets of the loop.
#[derive(Debug)]
struct Sockets {
    /// Packets of callers at a balancer, of the target at an agent.
    edge: UdpSocket,
    frames: UdpSocket,
    control: UdpSocket,
}

/// What a process knows about the age of its configuration.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    /// Objects read since the start or the last suspension.
    current: [bool; 2],
    /// Objects whose reads fail.
    failing: [bool; 2],
    /// Since when a peer has a newer configuration.
    behind: Option<Instant>,
}

/// State of a process.
#[derive(Debug)]
pub(crate) struct Process {
    pub settings: Settings,
    pub dialect: Dialect,
    pub clock: Clock,
    pub decisions: Decisions,
    pub figures: Figures,
    pub catalogue: Option<Arc<Catalogue>>,
    pub places: Places,
    pub checked: bool,
    pub stopping: bool,
    sockets: Sockets,
    pub outlet: Outlet,
    suspensions: Suspensions,
    generation: watch::Sender<u64>,
    /// An agent hears of changes from balancers.
    told: watch::Sender<bool>,
    fetched: Instant,
    alone: watch::Sender<bool>,
    heard: Instant,
    fresh: Freshness,
    fetching: Arc<AtomicBool>,
}

/// Runs a process until it is told to stop.
///
/// # Errors
/// Returns an error when a socket cannot be opened or signals cannot be handled.
pub async fn run(settings: Settings, dialect: Dialect) -> Result<(), RunError> {
    let (outlet, mut inbox) = mpsc::channel(DEPTH);
    spawn_signals(&outlet, &dialect)?;
    let mut process = Process::open(settings, dialect, outlet).await?;
    let mut part = process.part();
    process.spawn_services().await?;
    log::info!(
        "process: started instance={} data_centre={} frames={} seeds={}",
        process.settings.instance,
        process.settings.centre.name,
        process.settings.frames,
        process.settings.seeds.len()
    );
    let mut end = None;
    while end.is_none_or(|end| process.clock.now() < end) {
        let due = process.due(&part, end);
        tokio::select! {
            _ = process.sockets.edge.readable() => process.read_edge(&mut part),
            _ = process.sockets.frames.readable() => process.read_frames(&mut part),
            _ = process.sockets.control.readable() => process.read_control(&mut part),
            message = inbox.recv() => match message {
                Some(Message::Stop) if end.is_none() => end = Some(process.stop(&mut part)),
                Some(message) => process.message(&mut part, message),
                None => break,
            },
            () = tokio::time::sleep_until(process.clock.deadline(due)) => {}
        }
        process.tick(&mut part);
    }
    log::info!("process: stopped instance={}", process.settings.instance);
    Ok(())
}

fn spawn_signals(outlet: &Outlet, dialect: &Dialect) -> Result<(), RunError> {
    let listen = |kind| signal(kind).map_err(|source| RunError::Signals { source });
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut hangup = listen(SignalKind::hangup())?;
    let (outlet, reload) = (outlet.clone(), Arc::clone(&dialect.reload));
    tokio::spawn(async move {
        loop {
            let message = tokio::select! {
                _ = terminate.recv() => Some(Message::Stop),
                _ = interrupt.recv() => Some(Message::Stop),
                _ = hangup.recv() => reload().map(|s| Message::Settings(Box::new(s))),
                () = tokio::time::sleep(RELOAD_EVERY) => {
                    reload().map(|s| Message::Settings(Box::new(s)))
                }
            };
            if let Some(message) = message
                && outlet.send(message).await.is_err()
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
    async fn open(settings: Settings, dialect: Dialect, outlet: Outlet) -> Result<Self, RunError> {
        let edge = match &settings.role {
            Role::Balancer { callers } => bind_udp("callers", *callers).await?,
            Role::Agent(agent) => bind_udp("target", agent.outbound).await?,
        };
        let sockets = Sockets {
            edge,
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
            dialect,
            clock,
            decisions: Decisions::new(prefix),
            figures: Figures::default(),
            catalogue: None,
            places: Places::default(),
            checked: false,
            stopping: false,
            sockets,
            outlet,
            suspensions: Suspensions::new(),
            generation: watch::Sender::new(0),
            told: watch::Sender::new(false),
            fetched: Instant::ZERO,
            alone: watch::Sender::new(false),
            heard: clock.now(),
            fresh: Freshness::default(),
            fetching: Arc::default(),
        })
    }

    fn part(&self) -> Part {
        let now = self.clock.now();
        match &self.settings.role {
            Role::Balancer { .. } => {
                Part::Balancer(Box::new(BalancerPart::new(now, &self.settings)))
            }
            Role::Agent(agent) => Part::Agent(Box::new(AgentPart::new(now, &self.settings, agent))),
        }
    }

    async fn spawn_services(&self) -> Result<(), RunError> {
        let settings = &self.settings;
        let ready = bind_tcp("readiness", settings.ready).await?;
        tokio::spawn(http::serve(ready, endpoints::ready(self.outlet.clone())));
        let peer = bind_tcp("peers", settings.peer).await?;
        tokio::spawn(http::serve(peer, endpoints::peer(self.outlet.clone())));
        if let Some(at) = settings.metrics {
            let metrics = bind_tcp("metrics", at).await?;
            tokio::spawn(http::serve(metrics, endpoints::peer(self.outlet.clone())));
        }
        if let Role::Agent(agent) = &settings.role {
            let beats = bind_tcp("heartbeats", agent.heartbeats).await?;
            let answer = endpoints::heartbeats(self.outlet.clone(), self.dialect.call);
            tokio::spawn(http::serve(beats, answer));
        }
        let (source, store) = (self.dialect.source, settings.store);
        let need = follow::Need {
            generation: self.generation.subscribe(),
            told: self.told.subscribe(),
        };
        let outlet = || self.outlet.clone();
        tokio::spawn(follow::catalogue(source, store, need.clone(), outlet()));
        tokio::spawn(follow::places(source, store, need, outlet()));
        let alone = self.alone.subscribe();
        let me = settings.control;
        tokio::spawn(discovery::find(source, store, me, alone, outlet()));
        if matches!(settings.role, Role::Balancer { .. }) {
            tokio::spawn(discovery::register(source, settings.clone()));
        }
        Ok(())
    }

    fn due(&self, part: &Part, end: Option<Instant>) -> Instant {
        let wake = self.clock.now() + WAKE_EVERY;
        let next = match part {
            Part::Balancer(part) => part.next_tick(),
            Part::Agent(part) => part.next_tick(),
        };
        next.min(wake).min(end.unwrap_or(wake))
    }

    fn tick(&mut self, part: &mut Part) {
        let now = self.clock.now();
        if let Some(gap) = self.suspensions.look() {
            log::warn!("process: suspended ms={}", gap.as_millis());
            self.figures.count("suspended");
            self.unsettle(now, part);
        }
        let alone = now.since(self.heard) >= ALONE_AFTER;
        if alone && let Part::Balancer(part) = part {
            part.flows.unsettle(now);
        }
        self.alone.send_if_modified(|old| {
            let changed = *old != alone;
            if changed {
                log::warn!("process: alone={alone}");
            }
            *old = alone;
            changed
        });
        // Each call to the store is priced, and balancers answer every announcement of an agent with
        // their versions. A balancer itself always watches the store.
        let told = self.checked && !alone && matches!(part, Part::Agent(_));
        self.told
            .send_if_modified(|old| std::mem::replace(old, told) != told);
        match part {
            Part::Balancer(part) => part.tick(self, now),
            Part::Agent(part) => part.tick(self, now),
        }
    }

    /// Nothing that was read before holds until it is read again.
    fn unsettle(&mut self, now: Instant, part: &mut Part) {
        self.checked = false;
        self.fresh = Freshness::default();
        self.generation.send_modify(|generation| *generation += 1);
        match part {
            Part::Balancer(part) => part.thaw(now),
            Part::Agent(part) => part.thaw(),
        }
    }

    fn read_edge(&mut self, part: &mut Part) {
        for _ in 0..BATCH {
            let Some((mut packet, _)) = receive(&self.sockets.edge) else {
                return;
            };
            let sender = match part {
                Part::Balancer(_) => Sender::Caller,
                Part::Agent(_) => Sender::Target,
            };
            let Some(facts) = (self.dialect.decode)(&packet, sender) else {
                self.figures.count("packet_malformed");
                continue;
            };
            let now = self.clock.now();
            let actions = match part {
                Part::Balancer(part) => part.flows.packet(now, packet.freeze(), &facts),
                Part::Agent(part) => {
                    if facts.returned {
                        (self.dialect.clean)(&mut packet);
                    }
                    part.flows.outbound(now, packet.freeze(), &facts)
                }
            };
            self.perform(now, actions);
        }
    }

    fn read_frames(&mut self, part: &mut Part) {
        for _ in 0..BATCH {
            let Some((datagram, SocketAddr::V4(from))) = receive(&self.sockets.frames) else {
                return;
            };
            let datagram = datagram.freeze();
            let Ok((frame, packet)) = decode(&datagram) else {
                self.figures.count("frame_malformed");
                continue;
            };
            let facts = (self.dialect.decode)(packet, Sender::Caller);
            let packet = datagram.slice_ref(packet);
            let now = self.clock.now();
            let actions = match part {
                Part::Balancer(part) => part.flows.receive(now, from, frame, packet, facts),
                Part::Agent(part) => part.flows.receive(now, from, frame, packet, facts),
            };
            self.perform(now, actions);
        }
    }

    fn read_control(&mut self, part: &mut Part) {
        for _ in 0..BATCH {
            let Some((datagram, from)) = receive(&self.sockets.control) else {
                return;
            };
            let Ok(message) = postcard::from_bytes::<Control>(&datagram) else {
                self.figures.count("control_malformed");
                continue;
            };
            let now = self.clock.now();
            self.heard = now;
            match part {
                Part::Balancer(part) => part.control(self, now, from, message),
                Part::Agent(part) => part.control(self, now, from, message),
            }
        }
    }

    /// Does what the forwarding decided.
    pub(crate) fn perform(&mut self, now: Instant, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, frame, packet } => {
                    let sent = self
                        .sockets
                        .frames
                        .try_send_to(&encode(&frame, &packet), to.into());
                    self.sent(&sent, "frame_not_sent");
                }
                Action::Deliver(packet) => {
                    if let Role::Agent(agent) = &self.settings.role {
                        let sent = self.sockets.edge.try_send_to(&packet, agent.target.into());
                        self.sent(&sent, "packet_not_delivered");
                    }
                }
                Action::Return { key, packet } => {
                    let sent = self.sockets.edge.try_send_to(&packet, self.caller(key));
                    self.sent(&sent, "answer_not_sent");
                }
                Action::Refuse(refusal) => {
                    let packet = (self.dialect.refusal)(&refusal);
                    let sent = self
                        .sockets
                        .edge
                        .try_send_to(&packet, self.caller(refusal.key));
                    self.sent(&sent, "reset_not_sent");
                }
                Action::Answered { key, took } => self.answered(key, took),
                Action::Log(line) => self.decisions.log(now, &line),
            }
        }
    }

    fn caller(&self, key: FlowKey) -> SocketAddr {
        SocketAddr::from((*key.caller.ip(), self.settings.caller_port))
    }

    /// Datagrams may be lost anyway, so one that is not sent is counted and not repeated.
    fn sent(&mut self, result: &std::io::Result<usize>, event: &'static str) {
        if result.is_err() {
            self.figures.count(event);
        }
    }

    fn answered(&mut self, key: FlowKey, took: Duration) {
        let route = self
            .catalogue
            .as_ref()
            .and_then(|c| c.routes.get(&key.address));
        let (route, class) = route.map_or(("unknown", "unknown"), |route| {
            (route.name.as_str(), route.kind.name())
        });
        self.figures.answered(route, class, took);
    }

    /// Does what the membership decided. Returns whether the list of members changed.
    pub(crate) fn follow(&mut self, now: Instant, actions: Vec<Membership>) -> bool {
        let mut changed = false;
        for action in actions {
            match action {
                Membership::Send { to, message } => {
                    // Messages hold no value that cannot be encoded.
                    let datagram = postcard::to_stdvec(&message).unwrap_or_default();
                    let sent = self.sockets.control.try_send_to(&datagram, to);
                    self.sent(&sent, "control_not_sent");
                }
                Membership::Changed => changed = true,
                Membership::Died(member) => {
                    log::warn!(
                        "membership: dead id={} address={}",
                        member.id,
                        member.control
                    );
                    changed = true;
                }
                Membership::Newer { peer, versions } => self.newer(now, peer, versions),
            }
        }
        changed
    }

    fn versions(&self) -> Versions {
        Versions {
            document: self.catalogue.as_ref().map_or(Version(0), |c| c.version),
            places: self.places.version,
        }
    }

    /// A peer has a newer configuration. The own watch usually brings it; a peer is asked when
    /// the store does not answer or the watch is late.
    fn newer(&mut self, now: Instant, peer: SocketAddr, versions: Versions) {
        let own = self.versions();
        if *self.told.borrow() {
            if now.since(self.fetched) >= FETCH_EVERY && versions.is_ahead_of(own) {
                self.fetched = now;
                self.fetch(peer);
            }
            return;
        }
        let document = versions.document > own.document;
        let since = *self.fresh.behind.get_or_insert(now);
        let late = document && now.since(since) >= LAG;
        let failing = self.fresh.failing.contains(&true);
        if !document {
            self.fresh.behind = None;
        }
        if !(late || failing && versions.is_ahead_of(own)) {
            return;
        }
        self.fetch(peer);
    }

    /// Fetches the configuration of a peer, one at a time.
    fn fetch(&self, peer: SocketAddr) {
        if self.fetching.swap(true, Ordering::Relaxed) {
            return;
        }
        let (outlet, fetching) = (self.outlet.clone(), Arc::clone(&self.fetching));
        let generation = *self.generation.borrow();
        let own = self.versions();
        tokio::spawn(async move {
            if peers::fetch(peer, own, &outlet).await {
                // The owner of the state has ended when the queue is closed.
                let _ = outlet.send(Message::PeerCurrent(generation)).await;
            }
            fetching.store(false, Ordering::Relaxed);
        });
    }

    fn message(&mut self, part: &mut Part, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Catalogue(catalogue) => self.set_catalogue(part, catalogue),
            Message::Places(places) => self.set_places(now, part, places),
            Message::Listed(mut places, revision) => {
                // What the store lists now goes before what a peer knew at any earlier revision.
                if places.out != self.places.out && places.version <= self.places.version {
                    places.version = Version(revision);
                }
                self.set_places(now, part, places);
            }
            Message::Current(object, generation) => {
                if generation == *self.generation.borrow() {
                    self.fresh.current[object as usize] = true;
                    self.fresh.failing[object as usize] = false;
                    if self.fresh.current == [true, true] {
                        self.set_checked(part, "store");
                    }
                }
            }
            Message::PeerCurrent(generation) => {
                if generation == *self.generation.borrow() {
                    self.set_checked(part, "peer");
                }
            }
            Message::Failing(object) => {
                self.fresh.failing[object as usize] = true;
                self.ask_seed();
            }
            Message::Balancers(found) => match part {
                Part::Balancer(part) => part.node.add_seeds(found),
                Part::Agent(part) => part.node.add_seeds(found),
            },
            Message::Beat(announced, done) => {
                if let Part::Agent(part) = part {
                    part.hear(self, now, announced);
                }
                // The target has given up the call when nobody waits.
                let _ = done.send(());
            }
            Message::Left(id, done) => {
                if let Part::Agent(part) = part {
                    part.leave(self, now, &id);
                }
                let _ = done.send(());
            }
            Message::Absent => {
                if let Part::Agent(part) = part {
                    part.absent(self, now);
                }
            }
            Message::Configuration(known, reply) => {
                let catalogue = self.catalogue.as_deref();
                let newer = catalogue.filter(|c| c.version > known.document);
                let shared = Shared {
                    checked: self.checked,
                    catalogue: newer.cloned(),
                    places: self.places.clone(),
                };
                let _ = reply.send(peers::encode(&shared));
            }
            Message::Metrics(reply) => {
                let gauges = match part {
                    Part::Balancer(part) => part.gauges(),
                    Part::Agent(part) => part.gauges(),
                };
                let _ = reply.send(self.figures.text(self.decisions.counts(), &gauges));
            }
            Message::Ready(reply) => {
                let ready = match part {
                    Part::Balancer(part) => part.flows.is_ready(),
                    Part::Agent(part) => part.flows.closed(now).is_none(),
                };
                let _ = reply.send(ready && !self.stopping);
            }
            Message::Settings(settings) => self.configure(part, *settings),
            Message::Stop => {}
        }
    }

    /// Without an answer of the store, any process that has a checked configuration helps.
    fn ask_seed(&mut self) {
        if self.checked || self.settings.seeds.is_empty() {
            return;
        }
        let pick = rand::random_range(0..self.settings.seeds.len());
        let seed = self.settings.seeds[pick];
        if seed != SocketAddr::V4(self.settings.control) {
            self.fetch(SocketAddr::new(seed.ip(), self.settings.peer.port()));
        }
    }

    fn set_catalogue(&mut self, part: &mut Part, catalogue: Arc<Catalogue>) {
        if self
            .catalogue
            .as_ref()
            .is_some_and(|c| c.version >= catalogue.version)
        {
            return;
        }
        log::info!(
            "config: in force config={} routes={} services={}",
            catalogue.version,
            catalogue.routes.len(),
            catalogue.services.len()
        );
        self.catalogue = Some(Arc::clone(&catalogue));
        self.fresh.behind = None;
        match part {
            Part::Balancer(part) => part.flows.set_catalogue(catalogue),
            Part::Agent(part) => part.flows.set_catalogue(catalogue),
        }
    }

    fn set_places(&mut self, now: Instant, part: &mut Part, places: Places) {
        if places.version < self.places.version {
            return;
        }
        if places.out != self.places.out {
            log::info!(
                "places: in force places={} out={:?}",
                places.version,
                places.out
            );
        }
        match part {
            Part::Balancer(part) => part.flows.set_places(&places, |name| {
                self.settings.centre_named(name).map(|centre| centre.number)
            }),
            Part::Agent(part) => part.flows.set_places(now, &places),
        }
        self.places = places;
    }

    fn set_checked(&mut self, part: &mut Part, by: &str) {
        if self.checked {
            return;
        }
        self.checked = true;
        log::info!(
            "config: checked by={by} config={} places={}",
            self.versions().document,
            self.places.version
        );
        match part {
            Part::Balancer(part) => part.flows.set_checked(),
            Part::Agent(part) => part.flows.set_checked(),
        }
    }

    fn configure(&mut self, part: &mut Part, settings: Settings) {
        log::info!("settings: reloaded seeds={}", settings.seeds.len());
        let seeds = settings.seeds.clone();
        match part {
            Part::Balancer(part) => part.node.add_seeds(seeds),
            Part::Agent(part) => {
                part.node.add_seeds(seeds);
                part.configure(&settings);
            }
        }
        // Sockets stay as they are; addresses change only with a restart.
        self.settings.seeds = settings.seeds;
        self.settings.bounds = settings.bounds;
    }

    /// Begins to stop. Returns when the process ends.
    fn stop(&mut self, part: &mut Part) -> Instant {
        self.stopping = true;
        let now = self.clock.now();
        let wait = match part {
            Part::Balancer(part) => part.stop(self, now),
            Part::Agent(part) => part.stop(self, now),
        };
        log::info!("process: stops after_ms={}", wait.as_millis());
        now + wait
    }
}

/// Next datagram of a socket, `None` when there is none.
fn receive(socket: &UdpSocket) -> Option<(BytesMut, SocketAddr)> {
    let mut buffer = BytesMut::zeroed(MAX_DATAGRAM);
    loop {
        match socket.try_recv_from(&mut buffer) {
            Ok((length, from)) => {
                buffer.truncate(length);
                return Some((buffer, from));
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
            // An earlier datagram met a closed port; the socket itself is fine.
            Err(_) => {}
        }
    }
}
