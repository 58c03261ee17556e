//! Table of the flows of one target.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::{Duration, Instant};

use crate::{FlowKey, Open};

/// Most flows kept. At the bound a further one is refused.
const MAX_FLOWS: usize = 65_536;
/// Time for which a closed flow is kept, because its last packets are sent again.
const CLOSED_FOR: Duration = Duration::from_secs(4);
/// Time for which an offered flow counts as work of the target: the caller answers within a few
/// round trips or not at all.
const PENDING_FOR: Duration = Duration::from_millis(500);
/// Time for which an unanswered request counts as work of the target.
const REQUEST_FOR: Duration = Duration::from_secs(10);

/// Opening packet that was handed to the target.
#[derive(Clone, Debug)]
pub(super) struct Offered {
    /// Header with which it came.
    pub open: Open,
    /// The packet.
    pub packet: Bytes,
    /// Caller's first sequence number, which tells a copy from a new flow of the same ends.
    pub sequence: u32,
    /// First sequence number of the target.
    pub offer: Option<u32>,
    /// When it was handed over.
    pub at: Instant,
    /// A request is expected.
    pub pending: bool,
}

/// Flow in which the caller has answered the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Opened {
    /// Caller's first sequence number, unknown after a restart of the agent.
    pub sequence: Option<u32>,
    /// First sequence number of the target, unknown after a restart of the agent.
    pub offer: Option<u32>,
    /// When the target was offered the flow, or the flow was found there.
    pub since: Instant,
    /// End of what the target has sent.
    pub sent: u32,
    /// Last packet in either direction.
    pub used: Instant,
    /// End of what the caller has sent, unknown until it sends something.
    pub received: Option<u32>,
    /// Since when a request waits for its answer.
    pub waits: Option<Instant>,
    /// That request was counted as overdue.
    pub overdue: bool,
    /// The caller closed its direction.
    pub caller_closed: bool,
    /// The target closed its direction.
    pub target_closed: bool,
}

/// One flow.
#[derive(Clone, Debug)]
pub(super) enum Flow {
    /// The target was offered the flow.
    Offered(Offered),
    /// The flow is open.
    Open(Opened),
    /// A packet of a flow from before the start of this process was handed to the target; the
    /// balancer hears whether the target holds it.
    Tried { from: SocketAddrV4, at: Instant },
    /// The target's lifetime is over, or it returned a packet of its own flow.
    Ended { at: Instant },
}

impl Offered {
    /// The flow as it is once the caller answers the offer.
    pub(super) fn opened(&self, now: Instant) -> Opened {
        Opened {
            sequence: Some(self.sequence),
            offer: self.offer,
            since: self.at,
            sent: self.offer.unwrap_or_default(),
            received: Some(self.sequence.wrapping_add(1)),
            used: now,
            waits: None,
            overdue: false,
            caller_closed: false,
            target_closed: false,
        }
    }
}

impl Opened {
    /// Whether a caller that expects this sequence number belongs to this flow: the target has sent
    /// that far. A flow that opened at another target has other sequence numbers.
    pub(super) fn matches(&self, ack: u32) -> bool {
        let Some(offer) = self.offer else {
            return true;
        };
        // The offer takes one sequence number and the close another one.
        let room = self.sent.wrapping_sub(offer).wrapping_add(2);
        ack.wrapping_sub(offer) <= room
    }

    /// Notes the end of a packet of the target.
    pub(super) fn sent_to(&mut self, end: u32) {
        if is_after(end, self.sent) {
            self.sent = end;
        }
    }

    /// Notes the end of a packet of the caller. Returns whether it goes further than any before; one
    /// that was sent again is no request of its own.
    pub(super) fn received_to(&mut self, end: u32) -> bool {
        let further = self.received.is_none_or(|known| is_after(end, known));
        if further {
            self.received = Some(end);
        }
        further
    }
}

/// Flows by key.
#[derive(Debug, Default)]
pub(super) struct Flows {
    flows: BTreeMap<FlowKey, Flow>,
    waiting: usize,
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
        self.waiting
    }

    pub(super) fn set(&mut self, key: FlowKey, flow: Flow) {
        self.waiting += usize::from(waits(&flow));
        if let Some(old) = self.flows.insert(key, flow) {
            self.waiting -= usize::from(waits(&old));
        }
    }

    pub(super) fn remove(&mut self, key: FlowKey) {
        if let Some(old) = self.flows.remove(&key) {
            self.waiting -= usize::from(waits(&old));
        }
    }

    /// Changes an open flow.
    pub(super) fn update(&mut self, key: FlowKey, change: impl FnOnce(&mut Opened)) {
        if let Some(Flow::Open(opened)) = self.flows.get_mut(&key) {
            let before = opened.waits.is_some();
            change(opened);
            let after = opened.waits.is_some();
            self.waiting = self.waiting + usize::from(after) - usize::from(before);
        }
    }

    /// Ends all flows, because the target's lifetime is over.
    pub(super) fn end_all(&mut self) {
        self.end(|_| true);
    }

    /// Ends the flows that the target was offered until `last`, when its former lifetime was last
    /// heard. Later ones may belong to the present lifetime; the target returns those that do not.
    /// A flow whose offer this process did not see is older than the process.
    pub(super) fn end_before(&mut self, last: Instant) {
        self.end(|flow| match flow {
            Flow::Offered(offered) => offered.at <= last,
            Flow::Open(opened) => opened.offer.is_none() || opened.since <= last,
            Flow::Tried { .. } | Flow::Ended { .. } => true,
        });
    }

    fn end(&mut self, ends: impl Fn(&Flow) -> bool) {
        for flow in self.flows.values_mut().filter(|flow| ends(flow)) {
            let at = match flow {
                Flow::Offered(offered) => offered.at,
                Flow::Open(opened) => opened.used,
                Flow::Tried { at, .. } | Flow::Ended { at } => *at,
            };
            *flow = Flow::Ended { at };
        }
        self.waiting = self.flows.values().filter(|flow| waits(flow)).count();
    }

    /// Forgets flows that were idle for longer than `idle`, and closed ones earlier. Returns how many
    /// requests have newly waited for longer than `overdue`.
    pub(super) fn expire(&mut self, now: Instant, idle: Duration, overdue: Duration) -> usize {
        let mut late = 0;
        for flow in self.flows.values_mut() {
            if let Flow::Open(opened) = flow
                && !opened.overdue
                && opened.waits.is_some_and(|at| now.since(at) > overdue)
            {
                opened.overdue = true;
                late += 1;
            }
            match flow {
                Flow::Open(opened)
                    if opened.waits.is_some_and(|at| now.since(at) > REQUEST_FOR) =>
                {
                    opened.waits = None;
                }
                Flow::Offered(offered) if now.since(offered.at) > PENDING_FOR => {
                    offered.pending = false;
                }
                _ => {}
            }
        }
        self.flows.retain(|_, flow| match flow {
            // The caller's answer to the offer may be lost, and come again with its next request.
            Flow::Offered(offered) => now.since(offered.at) <= idle,
            Flow::Open(opened) if opened.caller_closed && opened.target_closed => {
                now.since(opened.used) < CLOSED_FOR
            }
            Flow::Open(opened) => now.since(opened.used) <= idle,
            Flow::Tried { at, .. } => now.since(*at) < CLOSED_FOR,
            Flow::Ended { at } => now.since(*at) <= idle,
        });
        self.waiting = self.flows.values().filter(|flow| waits(flow)).count();
        late
    }
}

/// Whether a sequence number follows another one.
fn is_after(number: u32, other: u32) -> bool {
    number != other && number.wrapping_sub(other) < 1 << 31
}

/// Whether the target works on a request of the flow. An offered flow is about to bring one.
fn waits(flow: &Flow) -> bool {
    match flow {
        Flow::Offered(offered) => offered.pending,
        Flow::Open(opened) => opened.waits.is_some(),
        Flow::Tried { .. } | Flow::Ended { .. } => false,
    }
}
