//! Table of the flows of one target.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::{Duration, Instant};

use crate::{FlowKey, Open};

/// Limit of the table. At the limit new flows are refused.
const MAX_FLOWS: usize = 65_536;
/// Time for which a closed flow is kept, because its last packets may be retransmitted.
const CLOSED_TTL: Duration = Duration::from_secs(4);
/// Time for which it is remembered that the target does not hold a flow. Balancers that start in
/// quick succession ask about the same flows.
const RETURNED_TTL: Duration = Duration::from_secs(10);
/// Time for which an opening flow counts as in flight. The caller answers the offer within a few
/// round trips or not at all.
const MAX_PENDING_TIME: Duration = Duration::from_millis(500);
/// Time for which an unanswered request counts as in flight.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(10);

/// Flow whose opening packet was delivered to the target.
#[derive(Clone, Debug)]
pub(super) struct Opening {
    /// Header of the frame that brought the packet.
    pub open: Open,
    /// Opening packet.
    pub packet: Bytes,
    /// Caller's first sequence number. A new flow between the same addresses has another one.
    pub sequence: u32,
    /// First sequence number of the target, once it has offered to take the flow.
    pub offer: Option<u32>,
    /// When the packet was delivered to the target.
    pub delivered_at: Instant,
    /// Whether the flow counts as in flight because a request is expected.
    pub is_pending: bool,
}

/// Flow whose caller has accepted the offer of the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenFlow {
    /// Caller's first sequence number, unknown if this process did not see the offer.
    pub caller_start: Option<u32>,
    /// First sequence number of the target, unknown after a restart of the agent.
    pub offer: Option<u32>,
    /// When the opening packet was delivered to the target, or an unknown flow was found there.
    pub offered_at: Instant,
    /// Sequence number after the last byte that the target sent.
    pub sent_end: u32,
    /// When the last packet passed in either direction.
    pub last_used: Instant,
    /// Sequence number after the last byte that the caller sent, if known.
    pub received_end: Option<u32>,
    /// Since when a request has been waiting for its answer.
    pub waiting_since: Option<Instant>,
    /// Since when that request has had a place at the target: for the first request, since the
    /// opening packet was delivered.
    pub place_since: Option<Instant>,
    /// Requests at the target when that request reached it, itself included.
    pub running: usize,
    /// Whether that request was counted as overdue.
    pub is_overdue: bool,
    /// Whether the caller closed its direction.
    pub caller_closed: bool,
    /// Whether the target closed its direction.
    pub target_closed: bool,
}

/// State of one flow.
#[derive(Clone, Debug)]
pub(super) enum Flow {
    /// The opening packet was delivered to the target.
    Opening(Opening),
    /// The flow is open.
    Open(OpenFlow),
    /// A packet of an unknown flow was delivered to the target; the balancer `from` is told whether
    /// the target knows the flow.
    Probed { from: SocketAddrV4, at: Instant },
    /// The target returned a packet of a flow that this process did not know, so that it does not
    /// hold the flow.
    Returned { at: Instant },
    /// The target ended, or returned a packet of its own flow.
    Ended { at: Instant, last: OpenFlow },
}

impl Flow {
    /// Opening of a flow whose packet is delivered now.
    pub(super) fn opening(now: Instant, open: Open, packet: Bytes, sequence: u32) -> Self {
        Self::Opening(Opening {
            open,
            packet,
            sequence,
            offer: None,
            delivered_at: now,
            is_pending: true,
        })
    }
}

impl Opening {
    /// The flow after the caller accepts the offer.
    pub(super) fn to_open_flow(&self) -> OpenFlow {
        OpenFlow {
            caller_start: Some(self.sequence),
            offer: self.offer,
            offered_at: self.delivered_at,
            sent_end: self.offer.unwrap_or_default(),
            received_end: Some(self.sequence.wrapping_add(1)),
            last_used: self.delivered_at,
            waiting_since: None,
            place_since: Some(self.delivered_at),
            running: 0,
            is_overdue: false,
            caller_closed: false,
            target_closed: false,
        }
    }
}

impl OpenFlow {
    /// Whether `ack` lies within what the target has sent. A flow between the same addresses that
    /// opened at another target has other sequence numbers.
    pub(super) fn matches(&self, ack: u32) -> bool {
        let Some(offer) = self.offer else {
            return true;
        };
        // The offer and the close of the flow take one sequence number each.
        let max_distance = self.sent_end.wrapping_sub(offer).wrapping_add(2);
        ack.wrapping_sub(offer) <= max_distance
    }

    /// Records the end of a packet of the target.
    pub(super) fn extend_sent(&mut self, end: u32) {
        if is_after(end, self.sent_end) {
            self.sent_end = end;
        }
    }

    /// Records the end of a packet of the caller. Returns whether it has new data; a retransmission
    /// is not another request.
    pub(super) fn extend_received(&mut self, end: u32) -> bool {
        let extends = self.received_end.is_none_or(|known| is_after(end, known));
        if extends {
            self.received_end = Some(end);
        }
        extends
    }
}

/// Flows by key, with the number of requests in flight.
#[derive(Debug, Default)]
pub(super) struct Flows {
    entries: BTreeMap<FlowKey, Flow>,
    in_flight: usize,
    /// Those in flight whose request has reached the target.
    running: usize,
}

impl Flows {
    pub(super) fn get(&self, key: FlowKey) -> Option<&Flow> {
        self.entries.get(&key)
    }

    pub(super) fn has_room(&self) -> bool {
        self.entries.len() < MAX_FLOWS
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Requests that have reached the target and wait for their answers.
    pub(super) fn running(&self) -> usize {
        self.running
    }

    pub(super) fn set(&mut self, key: FlowKey, flow: Flow) {
        self.in_flight += usize::from(is_in_flight(&flow));
        self.running += usize::from(is_running(&flow));
        if let Some(old) = self.entries.insert(key, flow) {
            self.uncount(&old);
        }
    }

    pub(super) fn remove(&mut self, key: FlowKey) {
        if let Some(old) = self.entries.remove(&key) {
            self.uncount(&old);
        }
    }

    fn uncount(&mut self, old: &Flow) {
        self.in_flight -= usize::from(is_in_flight(old));
        self.running -= usize::from(is_running(old));
    }

    /// Flows in flight and requests at the target, counted from the table.
    pub(super) fn counted(&self) -> (usize, usize) {
        let flows = self.entries.values();
        let in_flight = flows.clone().filter(|flow| is_in_flight(flow)).count();
        (in_flight, flows.filter(|flow| is_running(flow)).count())
    }

    fn recount(&mut self) {
        (self.in_flight, self.running) = self.counted();
    }

    /// Records that no request is expected any more on the flow that was delivered at
    /// `delivered_at`, if it is still opening.
    pub(super) fn release_place(&mut self, key: FlowKey, delivered_at: Instant) {
        if let Some(Flow::Opening(opening)) = self.entries.get_mut(&key)
            && opening.delivered_at == delivered_at
            && std::mem::take(&mut opening.is_pending)
        {
            self.in_flight -= 1;
        }
    }

    /// Changes a flow if it is open.
    pub(super) fn update(&mut self, key: FlowKey, change: impl FnOnce(&mut OpenFlow)) {
        if let Some(Flow::Open(open_flow)) = self.entries.get_mut(&key) {
            let before = open_flow.waiting_since.is_some();
            change(open_flow);
            let after = open_flow.waiting_since.is_some();
            self.in_flight = self.in_flight + usize::from(after) - usize::from(before);
            self.running = self.running + usize::from(after) - usize::from(before);
        }
    }

    /// Ends all flows, because the target has ended. Flows that may never have been its own are
    /// forgotten: the caller may have accepted the offer of another target.
    pub(super) fn end_all(&mut self) {
        self.end(|_| true);
    }

    /// Ends the flows of the target's former lifetime: those delivered until its last heartbeat,
    /// and those whose offer this process did not see. Later flows may belong to the present
    /// lifetime; the target returns their packets if they do not.
    pub(super) fn end_before(&mut self, last_heartbeat: Instant) {
        self.end(|flow| match flow {
            Flow::Opening(opening) => opening.delivered_at <= last_heartbeat,
            Flow::Open(open_flow) => {
                open_flow.offer.is_none() || open_flow.offered_at <= last_heartbeat
            }
            Flow::Probed { .. } | Flow::Returned { .. } | Flow::Ended { .. } => true,
        });
    }

    fn end(&mut self, ends: impl Fn(&Flow) -> bool) {
        self.entries.retain(|_, flow| {
            if !ends(flow) {
                return true;
            }
            match flow {
                Flow::Opening(opening) if opening.offer.is_some() => {
                    let (at, last) = (opening.delivered_at, opening.to_open_flow());
                    *flow = Flow::Ended { at, last };
                }
                Flow::Open(last) => {
                    *flow = Flow::Ended {
                        at: last.last_used,
                        last: *last,
                    };
                }
                Flow::Ended { .. } => {}
                Flow::Opening(_) | Flow::Probed { .. } | Flow::Returned { .. } => return false,
            }
            true
        });
        self.recount();
    }

    /// Removes flows that were idle for longer than `idle`, and closed ones earlier. Returns how
    /// many requests became overdue, that is, waited for longer than `overdue_after`.
    pub(super) fn expire(
        &mut self,
        now: Instant,
        idle: Duration,
        overdue_after: Duration,
    ) -> usize {
        let mut newly_overdue = 0;
        for flow in self.entries.values_mut() {
            if let Flow::Open(open_flow) = flow
                && !open_flow.is_overdue
                && open_flow
                    .waiting_since
                    .is_some_and(|at| now.since(at) > overdue_after)
            {
                open_flow.is_overdue = true;
                newly_overdue += 1;
            }
            match flow {
                Flow::Open(open_flow)
                    if open_flow
                        .waiting_since
                        .is_some_and(|at| now.since(at) > MAX_REQUEST_TIME) =>
                {
                    open_flow.waiting_since = None;
                }
                Flow::Opening(opening) if now.since(opening.delivered_at) > MAX_PENDING_TIME => {
                    opening.is_pending = false;
                }
                _ => {}
            }
        }
        self.entries.retain(|_, flow| match flow {
            // The caller's answer to the offer may be lost; its next request then accepts the
            // offer.
            Flow::Opening(opening) => now.since(opening.delivered_at) <= idle,
            Flow::Open(open_flow) if open_flow.caller_closed && open_flow.target_closed => {
                now.since(open_flow.last_used) < CLOSED_TTL
            }
            Flow::Open(open_flow) => now.since(open_flow.last_used) <= idle,
            Flow::Probed { at, .. } => now.since(*at) < CLOSED_TTL,
            Flow::Returned { at } => now.since(*at) < RETURNED_TTL,
            Flow::Ended { at, .. } => now.since(*at) <= idle,
        });
        self.recount();
        newly_overdue
    }
}

/// Whether `number` follows `other` in the wrapping sequence space.
fn is_after(number: u32, other: u32) -> bool {
    number != other && number.wrapping_sub(other) < 1 << 31
}

/// Whether a request of the flow has reached the target.
fn is_running(flow: &Flow) -> bool {
    matches!(flow, Flow::Open(open_flow) if open_flow.waiting_since.is_some())
}

/// Whether a request of the flow is in flight. An opening flow is expected to bring one.
fn is_in_flight(flow: &Flow) -> bool {
    match flow {
        Flow::Opening(opening) => opening.is_pending,
        Flow::Open(open_flow) => open_flow.waiting_since.is_some(),
        Flow::Probed { .. } | Flow::Returned { .. } | Flow::Ended { .. } => false,
    }
}
