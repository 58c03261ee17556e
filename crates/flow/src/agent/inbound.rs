//! Handling of frames from balancers and other agents: opening packets, later packets of flows, and
//! lookups.

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::{Duration, Instant};

use super::Agent;
use super::flows::Flow;
use crate::Fallback;
use crate::action::{log, reset, send};
use crate::{
    Action, Demand, FlowKey, Frame, Open, OwnerReply, Ownership, PacketInfo, PacketKind, Reason,
    ServiceTag,
};

/// Difference of load, in percentage points, from which a flow goes back to a less busy agent that
/// it has passed.
const FALLBACK_STEP: u16 = 25;

impl Agent {
    /// Handles a frame of another process. `info` describes the packet that follows the frame.
    pub fn handle_frame(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        frame: Frame,
        packet: Bytes,
        info: Option<PacketInfo>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match (frame, info) {
            (Frame::Open(open), Some(info)) => self.open(now, open, packet, info, &mut actions),
            (Frame::Data, Some(info)) => self.forward_data(now, from, packet, info, &mut actions),
            (Frame::OwnerQueries(queries), _) => {
                let replies = queries.iter().map(|query| OwnerReply {
                    key: query.key,
                    ownership: self.ownership_of(query.key, query.ack, &mut actions),
                });
                let replies = Frame::OwnerReplies(replies.collect());
                actions.push(send(from, replies, Bytes::new()));
            }
            // The other frames are for balancers.
            _ => {}
        }
        self.start_waiting(now, &mut actions);
        actions
    }

    fn open(
        &mut self,
        now: Instant,
        open: Open,
        packet: Bytes,
        info: PacketInfo,
        actions: &mut Vec<Action>,
    ) {
        let key = info.key;
        if self.was_delivered(&info) {
            actions.push(Action::ToTarget(packet));
            return;
        }
        if self.is_waiting(&open, &info, actions) {
            return;
        }
        self.drop_former(key);
        if let Err(reason) = self.check_open(now, &open, key) {
            pass_on(key, open, packet, reason, actions);
            return;
        }
        if let Some(demand) = self.demand_of(key) {
            self.open_with_demand(now, demand, open, packet, info, actions);
            return;
        }
        match self.check_load(now, &open) {
            Ok(()) => self.take(now, open, packet, &info, actions),
            Err(Reason::Busy) => {
                let own = Fallback {
                    agent: self.settings.frame_address,
                    load: self.load(),
                };
                pass_on_busy(key, open, own, packet, actions);
            }
            Err(Reason::Failing) => pass_on_failing(key, open, packet, actions),
            Err(reason) => pass_on(key, open, packet, reason, actions),
        }
    }

    pub(super) fn demand_of(&self, key: FlowKey) -> Option<Demand> {
        let catalogue = self.catalogue.as_ref()?;
        catalogue.routes.get(&key.address)?.demand
    }

    /// Delivers an opening packet to the target.
    pub(super) fn take(
        &mut self,
        now: Instant,
        open: Open,
        packet: Bytes,
        info: &PacketInfo,
        actions: &mut Vec<Action>,
    ) {
        let key = info.key;
        let inputs = format!(
            "service={} config={} places={} beat_age_ms={} in_flight={}",
            open.service,
            open.versions.document,
            open.versions.evacuations,
            self.target_state
                .heartbeat_age(now)
                .map_or(0, Duration::as_millis),
            self.flows.in_flight(),
        );
        actions.push(log(key, "taken", inputs));
        actions.push(Action::ToTarget(packet.clone()));
        let opening = Flow::opening(now, open, packet, info.sequence);
        self.flows.set(key, opening);
        self.await_offer(now, key);
    }

    /// Whether the opening packet was delivered to the target before.
    fn was_delivered(&self, info: &PacketInfo) -> bool {
        match self.flows.get(info.key) {
            Some(Flow::Opening(opening)) => opening.sequence == info.sequence,
            Some(Flow::Open(open_flow)) => open_flow.caller_start == Some(info.sequence),
            _ => false,
        }
    }

    /// Checks whether the target may get the flow, regardless of its load.
    ///
    /// # Errors
    /// Returns the reason when it may not.
    pub(super) fn check_open(
        &mut self,
        now: Instant,
        open: &Open,
        key: FlowKey,
    ) -> Result<(), Reason> {
        // The number of a configuration is the operators' own, which increases across eras. The same
        // number of another era is the same configuration, restamped after a restore of the store.
        let offered = open.versions.document.number();
        self.newest_config = self.newest_config.max(offered);
        if let Some(reason) = self.refusal_reason(now) {
            return Err(reason);
        }
        if open.service != self.service() {
            return Err(Reason::OtherService);
        }
        let catalogue = self.catalogue.as_ref().ok_or(Reason::ConfigUnchecked)?;
        let own = catalogue.version.number();
        let is_behind = offered > own;
        let route = catalogue.routes.get(&key.address);
        if !is_behind && !route.is_some_and(|route| route.leads_to(open.service)) {
            return Err(Reason::NoRoute);
        }
        // When some balancer uses a newer configuration than this agent, the route cannot be
        // checked here, and a balancer with an older configuration is not trusted either.
        let newest = self.newest_config;
        if newest > own && newest > offered {
            return Err(Reason::OlderConfig);
        }
        Ok(())
    }

    /// Records one more opening packet for the target.
    ///
    /// # Errors
    /// Returns the reason when the target must not get one now.
    pub(super) fn admit(&mut self, now: Instant, service: ServiceTag) -> Result<(), Reason> {
        let services = self.catalogue.as_ref().map(|c| &c.services);
        let cold_rate = services
            .and_then(|services| services.get(&service))
            .and_then(|service| service.cold_rate);
        self.target_state.admit(now, cold_rate)
    }

    /// Checks whether the target has room for a flow whose route states no demand, and records it.
    ///
    /// # Errors
    /// Returns the reason when it has none.
    fn check_load(&mut self, now: Instant, open: &Open) -> Result<(), Reason> {
        let load = self.load();
        let is_last = open.hops.is_empty();
        let fallback = open
            .fallback
            .filter(|fallback| fallback.load.saturating_add(FALLBACK_STEP) <= load);
        if !self.flows.has_room() || (load >= 100 && (!is_last || fallback.is_some())) {
            return Err(Reason::Busy);
        }
        // The last candidate takes the flow although it fails requests, because no other agent
        // would.
        let has_others = !is_last
            || open
                .fallback
                .is_some_and(|fallback| fallback.agent != self.settings.frame_address);
        if has_others && self.health.should_avoid(now) {
            return Err(Reason::Failing);
        }
        self.admit(now, open.service)
    }

    fn forward_data(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        packet: Bytes,
        info: PacketInfo,
        actions: &mut Vec<Action>,
    ) {
        let key = info.key;
        match self.flows.get(key) {
            Some(Flow::Opening(opening)) => {
                let open_flow = opening.to_open_flow();
                if opening.offer.is_none() || !open_flow.matches(info.ack) {
                    actions.push(send(from, Frame::NotOwned, packet));
                    return;
                }
                let (since, has_data) = (now.since(opening.delivered_at), info.bytes > 0);
                self.flows.set(key, Flow::Open(open_flow));
                if has_data {
                    self.record_handshake(since);
                }
                self.deliver(now, &info, packet, actions);
            }
            Some(Flow::Open(open_flow)) if open_flow.matches(info.ack) => {
                self.deliver(now, &info, packet, actions);
            }
            Some(Flow::Probed { .. }) => actions.push(Action::ToTarget(packet)),
            Some(Flow::Ended { last, .. }) if last.matches(info.ack) => {
                actions.push(log(key, "reset", "reason=\"target ended\""));
                actions.push(reset(key, info.ack));
            }
            None if self.may_have_unknown() => {
                actions.push(log(key, "tried", format!("balancer={from}")));
                self.flows.set(key, Flow::Probed { from, at: now });
                actions.push(Action::ToTarget(packet));
            }
            Some(Flow::Open(_) | Flow::Returned { .. } | Flow::Ended { .. }) | None => {
                actions.push(send(from, Frame::NotOwned, packet));
            }
        }
    }

    fn deliver(
        &mut self,
        now: Instant,
        info: &PacketInfo,
        packet: Bytes,
        actions: &mut Vec<Action>,
    ) {
        let running = self.flows.running() + 1;
        self.flows.update(info.key, |flow| {
            flow.last_used = now;
            flow.caller_closed |= info.closes;
            let end = info.sequence.wrapping_add(u32::from(info.bytes));
            let is_new = info.bytes > 0 && flow.extend_received(end);
            if is_new && !flow.target_closed && flow.waiting_since.is_none() {
                flow.waiting_since = Some(now);
                flow.running = running;
            }
        });
        if info.kind == PacketKind::Reset {
            self.flows.remove(info.key);
        }
        actions.push(Action::ToTarget(packet));
    }

    /// Whether this agent owns the flow. A flow that is known to have ended here is reset.
    fn ownership_of(&self, key: FlowKey, ack: u32, actions: &mut Vec<Action>) -> Ownership {
        match self.flows.get(key) {
            Some(Flow::Open(open_flow)) if open_flow.matches(ack) => Ownership::Owned,
            Some(Flow::Opening(opening)) => match opening.offer {
                Some(offer) if ack.wrapping_sub(offer) <= 2 => Ownership::Owned,
                _ => Ownership::NotOwned,
            },
            Some(Flow::Probed { .. }) => Ownership::Unknown,
            Some(Flow::Ended { last, .. }) => {
                if last.matches(ack) {
                    actions.push(log(key, "reset", "reason=\"target ended\""));
                    actions.push(reset(key, ack));
                }
                Ownership::NotOwned
            }
            None if self.may_have_unknown() => Ownership::Unknown,
            Some(Flow::Open(_) | Flow::Returned { .. }) | None => Ownership::NotOwned,
        }
    }
}

/// Sends an opening packet to the next candidate, or back to its balancer when none is left.
pub(super) fn pass_on(
    key: FlowKey,
    mut open: Open,
    packet: Bytes,
    reason: Reason,
    actions: &mut Vec<Action>,
) {
    if open.hops.is_empty() {
        actions.push(log(key, "refused", format!("reason=\"{reason}\"")));
        actions.push(send(open.balancer, Frame::Refused { reason }, packet));
        return;
    }
    let next = open.hops.remove(0);
    actions.push(log(key, "passed", format!("reason=\"{reason}\" to={next}")));
    actions.push(send(next, Frame::Open(open), packet));
}

/// Passes a flow on because the target is busy, and offers this agent as the fallback if its
/// offer `own` is the best so far.
pub(super) fn pass_on_busy(
    key: FlowKey,
    mut open: Open,
    own: Fallback,
    packet: Bytes,
    actions: &mut Vec<Action>,
) {
    match open.fallback {
        Some(fallback) if fallback.load <= own.load => {}
        _ => open.fallback = Some(own),
    }
    if open.hops.is_empty()
        && let Some(fallback) = open.fallback.take()
        && fallback.agent != own.agent
    {
        open.hops.push(fallback.agent);
    }
    pass_on(key, open, packet, Reason::Busy, actions);
}

/// Passes a flow on because the target is ejected; the fallback takes it if it is the last.
pub(super) fn pass_on_failing(
    key: FlowKey,
    mut open: Open,
    packet: Bytes,
    actions: &mut Vec<Action>,
) {
    if open.hops.is_empty() {
        open.hops
            .extend(open.fallback.take().map(|fallback| fallback.agent));
    }
    pass_on(key, open, packet, Reason::Failing, actions);
}
