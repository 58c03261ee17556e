//! State of a process in the role agent, which runs beside a target. It feeds the forwarding of
//! `monsoon-flow` and the agent's side of the membership, and probes a target that seems to be
//! gone.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use monsoon_admission::{Pace, SHEDDING_PERIOD};
use monsoon_flow::{Agent, Heartbeat};
use monsoon_membership::{AgentNode, Event, LocalState, Message as Control, Role};
use monsoon_model::{Duration, Instant};

use crate::members::{local_state, own_member};
use crate::message::Message;
use crate::metrics::Gauge;
use crate::process::Process;
use crate::{AgentSettings, Settings};

/// Interval at which the state of the target is compared with what was announced.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);

/// Least time between two probes of the target's address.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for a probe to connect. Short, since the target runs on the same instance.
const PROBE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);

/// State of a process in the role agent.
#[derive(Debug)]
pub(crate) struct AgentState {
    pub flows: Agent,
    pub node: AgentNode,
    agent_settings: AgentSettings,
    announced_state: Option<LocalState>,
    next_announcement: Instant,
    /// Earliest time of the next probe.
    next_probe: Instant,
}

impl AgentState {
    pub(crate) fn new(now: Instant, settings: &Settings, agent: &AgentSettings) -> Self {
        let flows = Agent::new(now, flow_settings(settings, agent));
        let LocalState { state, slots, .. } = local_state(now, &flows);
        let service = agent.service.service_id();
        let mut member = own_member(settings, Role::Agent, service, state);
        member.slots = slots;
        let seeds = settings.seeds.clone();
        Self {
            flows,
            node: AgentNode::new(now, member, seeds, rand::random()),
            agent_settings: agent.clone(),
            announced_state: None,
            next_announcement: now,
            next_probe: now,
        }
    }

    pub(crate) fn next_tick(&self) -> Instant {
        self.flows.next_tick().min(self.node.next_tick())
    }

    pub(crate) fn resume(&mut self) {
        self.flows.resume();
    }

    pub(crate) fn configure(&mut self, settings: &Settings) {
        self.flows
            .configure(flow_settings(settings, &self.agent_settings));
    }

    pub(crate) fn tick(&mut self, process: &mut Process, now: Instant) {
        if now >= self.flows.next_tick() {
            let actions = self.flows.tick(now);
            process.perform_flow_actions(now, actions);
        }
        if now >= self.next_announcement {
            self.flows.set_shedding_period(shedding_period());
            self.announce(process, now);
            self.probe_target(process, now);
        }
        if now >= self.node.next_tick() {
            self.handle_event(process, now, Event::Tick);
        }
    }

    /// Receives a heartbeat of the target.
    pub(crate) fn receive_heartbeat(
        &mut self,
        process: &mut Process,
        now: Instant,
        heartbeat: Heartbeat,
    ) {
        let details = format!(
            "id={} address={} born={} seq={} service={} readiness={:?} cold_ms={} slots={}",
            heartbeat.id,
            heartbeat.address,
            heartbeat.started_ms,
            heartbeat.sequence,
            heartbeat.service,
            heartbeat.readiness,
            heartbeat.cold_left.as_millis(),
            heartbeat.slots
        );
        if let Some(change) = self.flows.receive_heartbeat(now, heartbeat) {
            log::info!("target: {change} {details}");
        }
        self.announce(process, now);
    }

    /// Connects to a target that seems to be gone. Only a refused connection proves that it is.
    fn probe_target(&mut self, process: &Process, now: Instant) {
        if now < self.next_probe || !self.flows.should_probe_target(now) {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        let (target, messages) = (self.agent_settings.target, process.messages.clone());
        tokio::spawn(async move {
            let connect = tokio::net::TcpStream::connect(SocketAddr::V4(target));
            if let Ok(Err(error)) = tokio::time::timeout(PROBE_TIMEOUT, connect).await
                && error.kind() == ErrorKind::ConnectionRefused
            {
                // Sending fails only when the process ends.
                let _ = messages.send(Message::TargetAbsent).await;
            }
        });
    }

    /// Handles a probe whose connection was refused.
    pub(crate) fn target_absent(&mut self, process: &mut Process, now: Instant) {
        // A heartbeat may have arrived since the probe was sent.
        if self.flows.should_probe_target(now) {
            log::warn!("target: absent address={}", self.agent_settings.target);
            self.flows.set_target_absent();
            self.announce(process, now);
        }
    }

    /// Handles a target's message that it has ended.
    pub(crate) fn target_ended(&mut self, process: &mut Process, now: Instant, id: &str) {
        let present = self.flows.set_target_ended(id);
        log::info!("target: ended id={id} present={present}");
        self.announce(process, now);
    }

    pub(crate) fn receive_control(
        &mut self,
        process: &mut Process,
        now: Instant,
        from: SocketAddr,
        message: Control,
    ) {
        process.fetch_unchecked(message.header.peer);
        self.handle_event(process, now, Event::Message { from, message });
    }

    /// Announces the state of the target when it has changed. The membership limits the rate of
    /// announcements.
    fn announce(&mut self, process: &mut Process, now: Instant) {
        self.next_announcement = now + ANNOUNCE_INTERVAL;
        let state = local_state(now, &self.flows);
        if self.announced_state != Some(state) {
            self.announced_state = Some(state);
            self.handle_event(process, now, Event::Local(state));
        }
    }

    fn handle_event(&mut self, process: &mut Process, now: Instant, event: Event) {
        let actions = self.node.handle(now, event);
        process.perform_membership_actions(now, actions);
    }

    pub(crate) fn gauges(&self, now: Instant) -> Vec<(&'static str, u64)> {
        let stats = self.flows.stats(now);
        vec![
            ("flows", stats.flows as u64),
            ("in_flight", stats.in_flight as u64),
            ("failing_percent", u64::from(stats.failing_percent)),
            (
                "config_version",
                self.flows.versions().document.number().saturating_u64(),
            ),
            (
                "places_version",
                self.flows.versions().evacuations.number().saturating_u64(),
            ),
        ]
    }

    /// Present values of the admission of flows whose routes state a demand.
    pub(crate) fn admission_gauges(&self, now: Instant) -> Vec<Gauge> {
        let stats = self.flows.admission_stats(now);
        let plain = |name, value| Gauge {
            name,
            label: None,
            value,
        };
        let service_time = stats.service_time.as_micros() as f64;
        let mut gauges = vec![
            plain("waiting", stats.waiting as f64),
            plain("service_time_us", service_time),
            plain("concurrency", stats.places as f64),
        ];
        gauges.extend(Pace::PHASES.map(|phase| Gauge {
            name: "pace",
            label: Some(("phase", phase.to_owned())),
            value: f64::from(u8::from(phase == stats.phase)),
        }));
        gauges.extend(stats.admitted.into_iter().map(|(priority, share)| Gauge {
            name: "admitted_percent",
            label: Some(("priority", priority.to_string())),
            value: (share * 100.0).round(),
        }));
        gauges.extend(stats.shares.into_iter().map(|(account, share)| Gauge {
            name: "account_share",
            label: Some(("account", account.to_string())),
            value: rounded(share),
        }));
        gauges
    }

    /// Leaves the membership. Returns the time until the process ends: none, since the target keeps
    /// its flows.
    pub(crate) fn stop(&mut self, process: &mut Process, now: Instant) -> Duration {
        self.handle_event(process, now, Event::Leave);
        Duration::ZERO
    }
}

/// Share with three decimals; more of them would change with every start.
fn rounded(share: f64) -> f64 {
    (share * 1_000.0).round() / 1_000.0
}

/// Number of the present shedding period. Instances whose clocks differ shed other accounts for the
/// length of the difference.
fn shedding_period() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    Duration::from(time.unwrap_or_default()).as_micros() / SHEDDING_PERIOD.as_micros()
}

fn flow_settings(settings: &Settings, agent: &AgentSettings) -> monsoon_flow::AgentSettings {
    let limits = settings.limits;
    monsoon_flow::AgentSettings {
        frame_address: settings.frames,
        data_centre: settings.data_centre.name.clone(),
        target: agent.target,
        service: agent.service,
        limits: monsoon_flow::TargetLimits {
            heartbeat_lease: limits.heartbeat_lease,
            cold_factor: limits.cold_factor,
            cold_burst: limits.cold_burst,
        },
        flow_ttl: limits.flow_ttl,
        first_start: settings.first_start,
    }
}
