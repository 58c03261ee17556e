//! State of a process in the role balancer, which forwards packets of callers to agents. It feeds
//! the forwarding of `monsoon-flow` with the targets that the membership knows.

use std::net::SocketAddr;

use monsoon_flow::{Balancer, BalancerSettings};
use monsoon_membership::{BalancerNode, Event, LocalState, Message, Role, State};
use monsoon_model::{Duration, Instant, ServiceId, hash};

use crate::members::{own_member, targets};
use crate::process::Process;
use crate::restore::is_same_era;
use crate::{AgentRegistry, Settings, StoreError, discovery};

/// Time for which a stopping balancer still forwards packets. The routers stop sending to it after
/// two failed probes, half a second apart.
const STOP_DELAY: Duration = Duration::from_millis(2_000);
/// Longest part of the grace period that a stop may take.
const MAX_GRACE_SHARE: f64 = 0.5;
/// Interval at which the loads of targets are copied from the membership.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the registry of agents is compared with the list. Agents that start together
/// cost one write.
const REGISTRATION_INTERVAL: Duration = Duration::from_secs(1);
/// Balancers of a group that watch the store closely. One of them may be down or cut off.
const CLOSE_WATCHERS: usize = 2;
/// Salt of the ranking that selects them.
const WATCH_SALT: u64 = hash::bytes(b"store-watch");
/// Salt of the ranking that selects the balancer which writes the registry of agents.
const REGISTRY_SALT: u64 = hash::bytes(b"agent-registry");

/// State of a process in the role balancer.
#[derive(Debug)]
pub(crate) struct BalancerState {
    pub flows: Balancer,
    pub node: BalancerNode,
    next_refresh: Instant,
    next_registration: Instant,
    /// Whether this balancer is one of those that watch the store closely.
    is_on_duty: bool,
    /// Registry of agents as this process last read or wrote it.
    registry: Option<AgentRegistry>,
    /// Whether a write of the registry is in progress.
    is_writing: bool,
    /// Time at which the registry may be read after a restore of the store.
    reread_at: Option<Instant>,
    /// Whether the store was restored after this process had read the registry.
    is_restored: bool,
    announced_state: Option<LocalState>,
}

impl BalancerState {
    pub(crate) fn new(now: Instant, settings: &Settings) -> Self {
        let member = own_member(settings, Role::Balancer, ServiceId(0), State::Leaving);
        let seeds = settings.seeds.clone();
        Self {
            flows: Balancer::new(
                now,
                BalancerSettings {
                    frame_address: settings.frames,
                    data_centre: settings.data_centre.id,
                    flow_ttl: settings.limits.flow_ttl,
                },
            ),
            node: BalancerNode::new(now, member, seeds, rand::random()),
            next_refresh: now,
            next_registration: now + REGISTRATION_INTERVAL,
            is_on_duty: true,
            registry: None,
            is_writing: false,
            reread_at: None,
            is_restored: false,
            announced_state: None,
        }
    }

    pub(crate) fn next_tick(&self) -> Instant {
        self.flows.next_tick().min(self.node.next_tick())
    }

    pub(crate) fn resume(&mut self, now: Instant) {
        self.flows.resume(now);
    }

    pub(crate) fn tick(&mut self, process: &mut Process, now: Instant) {
        if now >= self.flows.next_tick() {
            let actions = self.flows.tick(now);
            process.perform_flow_actions(now, actions);
        }
        let state = LocalState {
            state: if process.is_stopping {
                State::Leaving
            } else {
                State::Ready
            },
            load: 0,
            slots: 0,
            versions: self.flows.versions(),
        };
        if self.announced_state != Some(state) {
            self.announced_state = Some(state);
            self.handle_event(process, now, Event::Local(state));
        }
        if now >= self.node.next_tick() {
            self.handle_event(process, now, Event::Tick);
        }
        if now >= self.next_refresh {
            self.refresh_targets(process, now);
        }
        if now >= self.next_registration {
            self.next_registration = now + REGISTRATION_INTERVAL;
            self.update_registry(process, now);
        }
    }

    /// Writes the registry of agents when the list has changed. One balancer of the group does it.
    fn update_registry(&mut self, process: &Process, now: Instant) {
        if self.is_writing || self.node.own_rank(REGISTRY_SALT) > 0 {
            return;
        }
        if self.reread_at.is_some_and(|at| now >= at) {
            self.reread_at = None;
            process.read_registry();
        }
        let Some(known) = &self.registry else {
            return;
        };
        let agents = self.flows.registered(now);
        if *agents == known.agents {
            return;
        }
        self.is_writing = true;
        process.write_registry(AgentRegistry {
            era: known.era,
            revision: known.revision,
            agents: agents.clone(),
        });
    }

    /// Handles a restore of the store. The revision of the registry belongs to the former era, so
    /// that the registry is read before it is written again.
    pub(crate) fn handle_restore(&mut self, now: Instant) {
        if self.registry.take().is_some() || self.reread_at.is_some() {
            self.is_restored = true;
            self.reread_at = Some(now + discovery::rewrite_delay().into());
        }
    }

    /// Handles the registry of agents that was read from the store.
    pub(crate) fn set_registry(
        &mut self,
        process: &mut Process,
        now: Instant,
        registry: AgentRegistry,
    ) {
        if !is_same_era(registry.era, Some(process.store_era())) {
            process.read_registry();
            return;
        }
        // After a restore, the flows know the agents, and the copy may name some that are gone.
        if !self.is_restored {
            let actions = self.flows.set_registered(now, registry.agents.clone());
            process.perform_flow_actions(now, actions);
        }
        self.registry = Some(registry);
    }

    /// Handles the outcome of a write of the registry. One that failed is tried again, with what
    /// another balancer wrote meanwhile.
    pub(crate) fn registry_written(
        &mut self,
        process: &Process,
        result: Result<AgentRegistry, StoreError>,
    ) {
        self.is_writing = false;
        match result {
            // The store was restored meanwhile, and the registry is read again.
            Ok(registry) if !is_same_era(registry.era, Some(process.store_era())) => {}
            Ok(registry) => {
                log::info!("registry: written agents={}", registry.agents.len());
                self.registry = Some(registry);
            }
            Err(error) => {
                log::warn!("registry: not written error=\"{error}\"");
                if matches!(error, StoreError::Conflict | StoreError::NotFound) {
                    process.read_registry();
                }
            }
        }
    }

    pub(crate) fn receive_control(
        &mut self,
        process: &mut Process,
        now: Instant,
        from: SocketAddr,
        message: Message,
    ) {
        self.handle_event(process, now, Event::Message { from, message });
    }

    fn handle_event(&mut self, process: &mut Process, now: Instant, event: Event) {
        let actions = self.node.handle(now, event);
        if process.perform_membership_actions(now, actions) {
            self.refresh_targets(process, now);
        }
    }

    /// Whether this balancer is one of those that watch the store closely.
    pub(crate) fn is_on_duty(&self) -> bool {
        self.is_on_duty
    }

    fn refresh_targets(&mut self, process: &mut Process, now: Instant) {
        self.next_refresh = now + REFRESH_INTERVAL;
        self.is_on_duty = self.node.own_rank(WATCH_SALT) < CLOSE_WATCHERS;
        self.flows.set_joined(self.node.has_joined_older());
        let actions = self.flows.set_targets(now, targets(now, &self.node));
        process.perform_flow_actions(now, actions);
    }

    pub(crate) fn gauges(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("flows", self.flows.flow_count() as u64),
            ("members", self.node.table_size() as u64),
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

    /// Leaves the membership. Returns the time until the process ends, in which it still forwards.
    pub(crate) fn stop(&mut self, process: &mut Process, now: Instant) -> Duration {
        self.handle_event(process, now, Event::Leave);
        let limit = process.settings.limits.grace.mul_f64(MAX_GRACE_SHARE);
        STOP_DELAY.min(limit)
    }
}
