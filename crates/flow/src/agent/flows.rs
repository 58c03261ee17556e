//! Table of the flows of one target.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::{Duration, Instant};

use crate::{FlowKey, Open};

/// Most flows kept. At the bound a further one is refused.
const MAX_FLOWS: usize = 65_536;
/// Time for which a closed flow is kept, because its last packets are sent again.
const CLOSED_TTL: Duration = Duration::from_secs(4);
/// Time for which an offered flow counts as work of the target: the caller answers within a few
/// round trips or not at all.
const MAX_PENDING_TIME: Duration = Duration::from_millis(500);
/// Time for which an unanswered request counts as work of the target.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(10);

/// Opening packet that was handed to the target.
#[derive(Clone, Debug)]
pub(super) struct Opening {
    /// Header with which it came.
    pub open: Open,
    /// The packet.
    pub packet: Bytes,
    /// Caller's first sequence number, which tells a copy from a new flow of the same ends.
    pub sequence: u32,
    /// First sequence number of the target.
    pub offer: Option<u32>,
    /// When it was handed over.
    pub delivered_at: Instant,
    /// A request is expected.
    pub is_pending: bool,
}

/// Flow in which the caller has answered the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenFlow {
    /// Caller's first sequence number, unknown after a restart of the agent.
    pub caller_start: Option<u32>,
    /// First sequence number of the target, unknown after a restart of the agent.
    pub offer: Option<u32>,
    /// When the target was offered the flow, or the flow was found there.
    pub offered_at: Instant,
    /// End of what the target has sent.
    pub sent_end: u32,
    /// Last packet in either direction.
    pub last_used: Instant,
    /// End of what the caller has sent, unknown until it sends something.
    pub received_end: Option<u32>,
    /// Since when a request waits for its answer.
    pub waiting_since: Option<Instant>,
    /// That request was counted as overdue.
    pub is_overdue: bool,
    /// The caller closed its direction.
    pub caller_closed: bool,
    /// The target closed its direction.
    pub target_closed: bool,
}

/// One flow.
#[derive(Clone, Debug)]
pub(super) enum Flow {
    /// The target was offered the flow.
    Opening(Opening),
    /// The flow is open.
    Open(OpenFlow),
    /// A packet of a flow from before the start of this process was handed to the target; the
    /// balancer hears whether the target holds it.
    Probed { from: SocketAddrV4, at: Instant },
    /// The target's lifetime is over, or it returned a packet of its own flow.
    Ended { at: Instant },
}

impl Opening {
    /// The flow as it is once the caller answers the offer.
    pub(super) fn to_open_flow(&self, now: Instant) -> OpenFlow {
        OpenFlow {
            caller_start: Some(self.sequence),
            offer: self.offer,
            offered_at: self.delivered_at,
            sent_end: self.offer.unwrap_or_default(),
            received_end: Some(self.sequence.wrapping_add(1)),
            last_used: now,
            waiting_since: None,
            is_overdue: false,
            caller_closed: false,
            target_closed: false,
        }
    }
}

impl OpenFlow {
    /// Whether a caller that expects this sequence number belongs to this flow: the target has sent
    /// that far. A flow that opened at another target has other sequence numbers.
    pub(super) fn matches(&self, ack: u32) -> bool {
        let Some(offer) = self.offer else {
            return true;
        };
        // The offer takes one sequence number and the close another one.
        let max_distance = self.sent_end.wrapping_sub(offer).wrapping_add(2);
        ack.wrapping_sub(offer) <= max_distance
    }

    /// Notes the end of a packet of the target.
    pub(super) fn extend_sent(&mut self, end: u32) {
        if is_after(end, self.sent_end) {
            self.sent_end = end;
        }
    }

    /// Notes the end of a packet of the caller. Returns whether it goes further than any before; one
    /// that was sent again is no request of its own.
    pub(super) fn extend_received(&mut self, end: u32) -> bool {
        let extends = self.received_end.is_none_or(|known| is_after(end, known));
        if extends {
            self.received_end = Some(end);
        }
        extends
    }
}

/// Flows by key.
#[derive(Debug, Default)]
pub(super) struct Flows {
    flows: BTreeMap<FlowKey, Flow>,
    in_flight: usize,
}

impl Flows {
    pub(super) fn get(&self, key: FlowKey) -> Option<&Flow> {
        self.flows.get(&key)
    }

    pub(super) fn has_room(&self) -> bool {
        self.flows.len() < MAX_FLOWS
    }

    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(super) fn in_flight(&self) -> usize {
        self.in_flight
    }

    pub(super) fn set(&mut self, key: FlowKey, flow: Flow) {
        self.in_flight += usize::from(is_in_flight(&flow));
        if let Some(old) = self.flows.insert(key, flow) {
            self.in_flight -= usize::from(is_in_flight(&old));
        }
    }

    pub(super) fn remove(&mut self, key: FlowKey) {
        if let Some(old) = self.flows.remove(&key) {
            self.in_flight -= usize::from(is_in_flight(&old));
        }
    }

    /// Changes an open flow.
    pub(super) fn update(&mut self, key: FlowKey, change: impl FnOnce(&mut OpenFlow)) {
        if let Some(Flow::Open(opened)) = self.flows.get_mut(&key) {
            let before = opened.waiting_since.is_some();
            change(opened);
            let after = opened.waiting_since.is_some();
            self.in_flight = self.in_flight + usize::from(after) - usize::from(before);
        }
    }

    /// Ends all flows, because the target's lifetime is over.
    pub(super) fn end_all(&mut self) {
        self.end(|_| true);
    }

    /// Ends the flows that the target was offered until `last`, when its former lifetime was last
    /// heard. Later ones may belong to the present lifetime; the target returns those that do not.
    /// A flow whose offer this process did not see is older than the process.
    pub(super) fn end_before(&mut self, last_heartbeat: Instant) {
        self.end(|flow| match flow {
            Flow::Opening(opening) => opening.delivered_at <= last_heartbeat,
            Flow::Open(opened) => opened.offer.is_none() || opened.offered_at <= last_heartbeat,
            Flow::Probed { .. } | Flow::Ended { .. } => true,
        });
    }

    fn end(&mut self, ends: impl Fn(&Flow) -> bool) {
        for flow in self.flows.values_mut().filter(|flow| ends(flow)) {
            let at = match flow {
                Flow::Opening(opening) => opening.delivered_at,
                Flow::Open(opened) => opened.last_used,
                Flow::Probed { at, .. } | Flow::Ended { at } => *at,
            };
            *flow = Flow::Ended { at };
        }
        self.in_flight = self
            .flows
            .values()
            .filter(|flow| is_in_flight(flow))
            .count();
    }

    /// Forgets flows that were idle for longer than `idle`, and closed ones earlier. Returns how many
    /// requests have newly waited for longer than `overdue`.
    pub(super) fn expire(
        &mut self,
        now: Instant,
        idle: Duration,
        overdue_after: Duration,
    ) -> usize {
        let mut newly_overdue = 0;
        for flow in self.flows.values_mut() {
            if let Flow::Open(opened) = flow
                && !opened.is_overdue
                && opened
                    .waiting_since
                    .is_some_and(|at| now.since(at) > overdue_after)
            {
                opened.is_overdue = true;
                newly_overdue += 1;
            }
            match flow {
                Flow::Open(opened)
                    if opened
                        .waiting_since
                        .is_some_and(|at| now.since(at) > MAX_REQUEST_TIME) =>
                {
                    opened.waiting_since = None;
                }
                Flow::Opening(opening) if now.since(opening.delivered_at) > MAX_PENDING_TIME => {
                    opening.is_pending = false;
                }
                _ => {}
            }
        }
        self.flows.retain(|_, flow| match flow {
            // The caller's answer to the offer may be lost, and come again with its next request.
            Flow::Opening(opening) => now.since(opening.delivered_at) <= idle,
            Flow::Open(opened) if opened.caller_closed && opened.target_closed => {
                now.since(opened.last_used) < CLOSED_TTL
            }
            Flow::Open(opened) => now.since(opened.last_used) <= idle,
            Flow::Probed { at, .. } => now.since(*at) < CLOSED_TTL,
            Flow::Ended { at } => now.since(*at) <= idle,
        });
        self.in_flight = self
            .flows
            .values()
            .filter(|flow| is_in_flight(flow))
            .count();
        newly_overdue
    }
}

/// Whether a sequence number follows another one.
fn is_after(number: u32, other: u32) -> bool {
    number != other && number.wrapping_sub(other) < 1 << 31
}

/// Whether the target works on a request of the flow. An offered flow is about to bring one.
fn is_in_flight(flow: &Flow) -> bool {
    match flow {
        Flow::Opening(opening) => opening.is_pending,
        Flow::Open(opened) => opened.waiting_since.is_some(),
        Flow::Probed { .. } | Flow::Ended { .. } => false,
    }
}
