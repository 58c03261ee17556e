//! Process of the role balancer.

use std::net::SocketAddr;

use monsoon_flow::{Balancer, BalancerSettings};
use monsoon_membership::{BalancerNode, Event, LocalState, Message, Role, State};
use monsoon_model::{Duration, Instant, ServiceId};

use crate::Settings;
use crate::members::{member, targets};
use crate::process::Process;

/// Time for which a stopping balancer still forwards: the routers need two probes half a second
/// apart to let go of it, and their answers.
const FORWARD_FOR: Duration = Duration::from_millis(2_000);
/// Part of the time until the forced end that a stop may take.
const GRACE_SHARE: f64 = 0.5;
/// Interval at which loads are taken over from membership.
const REFRESH_EVERY: Duration = Duration::from_millis(500);

/// State of a balancer.
#[derive(Debug)]
pub(crate) struct BalancerState {
    pub flows: Balancer,
    pub node: BalancerNode,
    refresh: Instant,
    local: Option<LocalState>,
}

impl BalancerState {
    pub(crate) fn new(now: Instant, settings: &Settings) -> Self {
        let me = member(settings, Role::Balancer, ServiceId(0));
        let seeds = settings.seeds.clone();
        Self {
            flows: Balancer::new(
                now,
                BalancerSettings {
                    me: settings.frames,
                    data_centre: settings.data_centre.id,
                    flow_ttl: settings.bounds.flow_ttl,
                },
            ),
            node: BalancerNode::new(now, me, seeds, rand::random()),
            refresh: now,
            local: None,
        }
    }

    pub(crate) fn next_tick(&self) -> Instant {
        self.flows.next_tick().min(self.node.next_tick())
    }

    pub(crate) fn thaw(&mut self, now: Instant) {
        self.flows.thaw(now);
    }

    pub(crate) fn tick(&mut self, process: &mut Process, now: Instant) {
        if now >= self.flows.next_tick() {
            let actions = self.flows.tick(now);
            process.perform_flow_actions(now, actions);
        }
        let local = LocalState {
            state: if process.is_stopping {
                State::Leaving
            } else {
                State::Ready
            },
            load: 0,
            slots: 0,
            versions: self.flows.versions(),
        };
        if self.local != Some(local) {
            self.local = Some(local);
            self.event(process, now, Event::Local(local));
        }
        if now >= self.node.next_tick() {
            self.event(process, now, Event::Tick);
        }
        if now >= self.refresh {
            self.refresh(process, now);
        }
    }

    pub(crate) fn control(
        &mut self,
        process: &mut Process,
        now: Instant,
        from: SocketAddr,
        message: Message,
    ) {
        self.event(process, now, Event::Message { from, message });
    }

    fn event(&mut self, process: &mut Process, now: Instant, event: Event) {
        let actions = self.node.handle(now, event);
        if process.perform_membership_actions(now, actions) {
            self.refresh(process, now);
        }
    }

    fn refresh(&mut self, process: &mut Process, now: Instant) {
        self.refresh = now + REFRESH_EVERY;
        self.flows.set_joined(!self.node.starts_with_others());
        let actions = self.flows.set_targets(now, targets(now, &self.node));
        process.perform_flow_actions(now, actions);
    }

    pub(crate) fn gauges(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("flows", self.flows.flows() as u64),
            ("members", self.node.entries() as u64),
            ("config_version", self.flows.versions().document.0),
            ("places_version", self.flows.versions().places.0),
        ]
    }

    /// Leaves the membership and forwards what still arrives.
    pub(crate) fn stop(&mut self, process: &mut Process, now: Instant) -> Duration {
        self.event(process, now, Event::Leave);
        let most = process.settings.bounds.grace.mul_f64(GRACE_SHARE);
        FORWARD_FOR.min(most)
    }
}
