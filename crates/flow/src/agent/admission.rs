//! Admission of new flows whose route states a demand.
//!
//! The first agent of the candidates that has a free slot and answers well within the goal takes the
//! flow. Otherwise the one with the shortest expected completion time takes it, into its wait queue
//! while all places of its target are in use. A request that cannot be answered in time is rejected
//! before it reaches the target, so that it has certainly not run.

use std::collections::BTreeMap;

use bytes::Bytes;
use monsoon_admission::{AccountKey, Pace, Rejected, Shedding, WaitQueue, Waiting};
use monsoon_model::{Duration, Instant};

use super::Agent;
use super::inbound::{pass_on, pass_on_busy, pass_on_failing};
use super::places::Places;
use super::speed::Speed;
use crate::action::{log, send};
use crate::{Action, Demand, Fallback, FlowKey, Frame, Open, PacketInfo, Reason};

/// Share of the goal up to which the mean time of a request is good, so that a flow need not be
/// compared with other targets.
const GOOD_SHARE: f64 = 0.5;
/// Difference of expected completion time from which a flow goes back to an agent that it has
/// passed. It covers the time that the packet takes.
const FALLBACK_STEP: Duration = Duration::from_millis(5);
/// Unit of an expected completion time in a frame.
const COST_UNIT: Duration = Duration::from_micros(100);
/// Time after which a caller that did not answer the offer of the target loses its place. An answer
/// usually takes one round trip; a lost one is repeated after 200 ms.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between the start of a request and its answer at the caller that does not depend on the
/// load: the handshake and the way of the answer.
const TRANSIT_TIME: Duration = Duration::from_millis(15);
/// Limit of flows whose first request is awaited. At the limit the oldest is no longer watched.
const MAX_PENDING_REQUESTS: usize = 4_096;

/// Reason of shed requests in metrics, beside the names of [`monsoon_admission::RejectReason`].
const SHED: &str = "shed";

/// Opening packet that waits for a place at the target.
#[derive(Clone, Debug)]
pub(super) struct Queued {
    open: Open,
    packet: Bytes,
    info: PacketInfo,
    arrived_at: Instant,
}

/// Flow whose first request is awaited.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRequest {
    offered_at: Instant,
    key: FlowKey,
    /// When its opening packet was delivered. A later flow between the same addresses has another
    /// time.
    delivered_at: Instant,
}

/// Wait queue of a target and what is learned about its requests.
#[derive(Debug)]
pub(super) struct Admission {
    pub queue: WaitQueue<Queued>,
    /// Callers' first sequence numbers of the waiting flows, of which each key has one. A search in
    /// the queue takes 4 µs at 1,000 waiting flows, for each opening packet.
    pub sequences: BTreeMap<FlowKey, u32>,
    pub places: Places,
    pub speed: Speed,
    pub pace: Pace,
    pub shedding: Shedding,
    /// When waiting flows have to be looked at although no packet arrives; zero for at once.
    pub recheck_at: Option<Instant>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            queue: WaitQueue::new(),
            sequences: BTreeMap::new(),
            places: Places::default(),
            speed: Speed::default(),
            pace: Pace::full(1),
            shedding: Shedding::new(),
            recheck_at: None,
        }
    }
}

impl Agent {
    /// Takes, queues or passes on an opening packet whose route states a demand.
    pub(super) fn open_with_demand(
        &mut self,
        now: Instant,
        demand: Demand,
        open: Open,
        packet: Bytes,
        info: PacketInfo,
        actions: &mut Vec<Action>,
    ) {
        let key = info.key;
        let own = Fallback {
            agent: self.settings.frame_address,
            load: self.completion_cost(demand, key),
        };
        let is_last = open.hops.is_empty();
        let better = open
            .fallback
            .filter(|other| other.agent != own.agent && is_better(*other, own));
        let has_others = !is_last || open.fallback.is_some_and(|other| other.agent != own.agent);
        if has_others && self.health.should_avoid(now) {
            pass_on_failing(key, open, packet, actions);
            return;
        }
        let is_good = self.admission.places.service_time() <= demand.goal.mul_f64(GOOD_SHARE);
        let takes_now = self.has_free_slot(now) && (is_good || !has_others);
        if !takes_now && (!is_last || better.is_some()) {
            pass_on_busy(key, open, own, packet, actions);
            return;
        }
        let queued = Queued {
            open,
            packet,
            info,
            arrived_at: now,
        };
        if takes_now || self.has_place(now) {
            self.start(now, queued, actions);
        } else {
            self.enqueue(now, demand, queued, actions);
        }
    }

    /// Handles a retransmission of an opening packet that waits. Returns whether it does.
    pub(super) fn is_waiting(
        &self,
        open: &Open,
        info: &PacketInfo,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_waiting = self.admission.sequences.get(&info.key) == Some(&info.sequence);
        if is_waiting {
            let key = info.key;
            actions.push(send(open.balancer, Frame::Queued { key }, Bytes::new()));
        }
        is_waiting
    }

    /// Drops a waiting packet of an earlier flow between the same addresses, whose caller has given
    /// it up. Started later, it would replace the present flow in the flow table.
    pub(super) fn drop_former(&mut self, key: FlowKey) {
        if self.admission.sequences.remove(&key).is_some() {
            let is_former = |waiting: &Waiting<Queued>| waiting.item.info.key == key;
            self.admission.queue.remove(is_former);
        }
    }

    fn enqueue(&mut self, now: Instant, demand: Demand, queued: Queued, actions: &mut Vec<Action>) {
        let (key, balancer) = (queued.info.key, queued.open.balancer);
        let (sequence, waiting) = (queued.info.sequence, self.admission.queue.len());
        let (account, estimate) = (
            account_of(key),
            self.admission.places.estimate(self.slots()),
        );
        let wait_at_target = self.wait_at_target();
        let Admission {
            queue,
            sequences,
            shedding,
            ..
        } = &mut self.admission;
        let wait = if queue.is_empty() {
            Duration::ZERO
        } else {
            queue.expected_wait(demand.priority, account, estimate)
        };
        if !shedding.admits(now, demand.priority, account, wait, demand.goal) {
            let Queued { open, packet, .. } = queued;
            actions.push(Action::Rejected(SHED));
            pass_on(key, open, packet, Reason::Shed, actions);
            return;
        }
        let age = queued.info.age() + TRANSIT_TIME;
        let request = Waiting {
            account,
            priority: demand.priority,
            goal_at: now + demand.goal.saturating_sub(age),
            expires_at: now + demand.limit.saturating_sub(age + wait_at_target),
            item: queued,
        };
        sequences.insert(key, sequence);
        for rejected in queue.offer(now, request, estimate) {
            sequences.remove(&rejected.item.info.key);
            reject(rejected, actions);
        }
        if sequences.contains_key(&key) {
            actions.push(log(key, "queued", format!("waiting={waiting}")));
            actions.push(send(balancer, Frame::Queued { key }, Bytes::new()));
        }
    }

    /// Delivers an opening packet to the target, if the rate of a cold target allows it.
    fn start(&mut self, now: Instant, queued: Queued, actions: &mut Vec<Action>) {
        let key = queued.info.key;
        match self.admit(now, queued.open.service) {
            Ok(()) => {
                self.configure_pace(key);
                self.admission.queue.record_start(now, account_of(key));
                self.take(now, queued.open, queued.packet, &queued.info, actions);
            }
            Err(reason) => pass_on(key, queued.open, queued.packet, reason, actions),
        }
    }

    /// Starts waiting flows while the target has places. When the target takes no flows any more,
    /// all of them go to other agents.
    pub(super) fn start_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.admission.recheck_at = None;
        if self.admission.queue.is_empty() {
            return;
        }
        let refusal = self.refusal_reason(now);
        // A target that returned a packet takes others within moments.
        let is_returning = refusal == Some(Reason::Returned);
        if let Some(reason) = refusal.filter(|_| !is_returning) {
            self.admission.sequences.clear();
            for waiting in self.admission.queue.drain() {
                let Queued {
                    open, packet, info, ..
                } = waiting.item;
                pass_on(info.key, open, packet, reason, actions);
            }
            return;
        }
        let estimate = self.admission.places.estimate(self.slots());
        for rejected in self.admission.queue.expire(now, estimate) {
            self.admission.sequences.remove(&rejected.item.info.key);
            reject(rejected, actions);
        }
        if is_returning {
            self.admission.recheck_at = Some(self.target_state.full_until());
            return;
        }
        while self.has_place(now) {
            let Some(waiting) = self.admission.queue.pop(now, estimate) else {
                return;
            };
            let Queued {
                open,
                packet,
                info,
                arrived_at,
            } = waiting.item;
            self.admission.sequences.remove(&info.key);
            // The configuration may have changed while the packet waited.
            match self
                .check_open(now, &open, info.key)
                .and_then(|()| self.admit(now, open.service))
            {
                Ok(()) => {
                    self.configure_pace(info.key);
                    let waited = now.since(arrived_at);
                    actions.push(Action::Waited(waited));
                    self.take(now, open, packet, &info, actions);
                }
                Err(reason) => pass_on(info.key, open, packet, reason, actions),
            }
        }
    }

    /// Lets the next tick look at the waiting flows at once: after a change of the target or the
    /// configuration, no packet may arrive that would do so.
    pub(super) fn recheck_waiting(&mut self) {
        self.admission.recheck_at = Some(Instant::ZERO);
    }

    /// When waiting flows have to be looked at again.
    pub(super) fn next_admission(&self) -> Option<Instant> {
        let Admission {
            queue, recheck_at, ..
        } = &self.admission;
        let recheck = recheck_at.filter(|_| !queue.is_empty());
        let expiry = queue.next_expiry();
        let request = self.pending_requests.front();
        let request = request.map(|request| request.offered_at + REQUEST_TIMEOUT);
        [recheck, expiry, request].into_iter().flatten().min()
    }

    /// Gives up the places of callers that did not answer the offers of the target.
    pub(super) fn expire_pending_requests(&mut self, now: Instant) {
        while let Some(&request) = self.pending_requests.front() {
            if now.since(request.offered_at) < REQUEST_TIMEOUT {
                return;
            }
            self.pending_requests.pop_front();
            self.flows.release_place(request.key, request.delivered_at);
        }
    }

    /// Paces a target that has started or recovered, if a route to its service states a demand.
    pub(super) fn restart_pace(&mut self, now: Instant) {
        if self.has_demand() {
            self.admission.pace.restart(now);
        }
    }

    /// Whether a route to the service of the target states a demand.
    pub(super) fn has_demand(&self) -> bool {
        let service = self.service();
        let routes = self.catalogue.iter().flat_map(|c| c.routes.values());
        let mut with_demand = routes.filter(|route| route.demand.is_some());
        with_demand.any(|route| route.leads_to(service))
    }

    /// Sets the slots and the goal to which answers are compared.
    fn configure_pace(&mut self, key: FlowKey) {
        if let Some(demand) = self.demand_of(key) {
            self.admission.pace.configure(self.slots(), demand.goal);
        }
    }

    /// Whether a request would be processed at once.
    fn has_free_slot(&self, now: Instant) -> bool {
        let slots = usize::from(self.slots());
        let limit = self.pace_limit(now).map_or(slots, |limit| slots.min(limit));
        self.admission.queue.is_empty() && self.flows.in_flight() < limit
    }

    /// Whether the target may get one more flow, which may wait there for a slot.
    fn has_place(&self, now: Instant) -> bool {
        self.flows.has_room() && self.flows.in_flight() < self.place_limit(now)
    }

    fn pace_limit(&self, now: Instant) -> Option<usize> {
        let limit = self.admission.pace.limit(now);
        limit.map(|limit| limit as usize)
    }

    /// Number of flows that may be in flight at the target. A started target without failures may
    /// have more than its pace allows rather than let flows wait that no other target takes.
    pub(super) fn place_limit(&self, now: Instant) -> usize {
        let slots = self.slots();
        let places = self.admission.places.limit(slots);
        match self.pace_limit(now) {
            Some(limit) if self.admission.pace.is_strict(now) => places.min(limit),
            Some(limit) => places.min(limit.max(usize::from(slots) + 1)),
            None => places,
        }
    }

    /// Time that a started request waits at the target for those that are there beyond its slots.
    fn wait_at_target(&self) -> Duration {
        let slots = usize::from(self.slots());
        let excess = self.flows.running().saturating_sub(slots);
        let service_time = self.admission.places.service_time();
        service_time.mul_f64(excess as f64 / slots as f64)
    }

    /// Expected time until a further request is answered, in units of 100 µs.
    fn completion_cost(&self, demand: Demand, key: FlowKey) -> u16 {
        let (places, queue) = (&self.admission.places, &self.admission.queue);
        let slots = self.slots();
        let estimate = places.estimate(slots);
        let busy = self.flows.in_flight() + 1;
        let excess = busy.saturating_sub(usize::from(slots));
        let mut time = places.service_time();
        time = time + time.mul_f64(excess as f64 / f64::from(slots));
        if !queue.is_empty() {
            time = time + queue.expected_wait(demand.priority, account_of(key), estimate);
        }
        u16::try_from(time.as_micros() / COST_UNIT.as_micros()).unwrap_or(u16::MAX)
    }
}

/// Sends an opening packet that cannot be answered in time back to its balancer.
fn reject(rejected: Rejected<Queued>, actions: &mut Vec<Action>) {
    let Queued {
        open, packet, info, ..
    } = rejected.item;
    let inputs = format!("reason=\"{}\"", rejected.reason);
    actions.push(log(info.key, "rejected", inputs));
    actions.push(Action::Rejected(rejected.reason.name()));
    pass_on(info.key, open, packet, Reason::Overloaded, actions);
}

/// Whether the offer of another agent is better by more than the way to it costs.
fn is_better(other: Fallback, own: Fallback) -> bool {
    let step = FALLBACK_STEP.as_micros() / COST_UNIT.as_micros();
    u64::from(other.load) + step <= u64::from(own.load)
}

/// Account of a flow: the caller's address without the port.
fn account_of(key: FlowKey) -> AccountKey {
    AccountKey(u64::from(key.caller.ip().to_bits()))
}

impl Agent {
    /// Begins to wait for the first request of a flow whose opening packet was delivered at
    /// `delivered_at`.
    pub(super) fn await_request(&mut self, now: Instant, key: FlowKey, delivered_at: Instant) {
        if self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            self.pending_requests.pop_front();
        }
        self.pending_requests.push_back(PendingRequest {
            offered_at: now,
            key,
            delivered_at,
        });
    }

    /// Records that a first request arrived `since` the delivery of its opening packet.
    pub(super) fn record_handshake(&mut self, since: Duration) {
        self.admission.places.record_handshake(since);
    }
}
