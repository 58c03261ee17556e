//! Callers: they open flows and send requests, and some keep sending on flows that have ended.

use std::net::SocketAddr;

use monsoon_model::{Duration, Instant, ServiceId};
use monsoon_wire::{CID_LEN, ConnectionId};

use super::flow::{End, Flow, Packet, Reply, Stage};
use super::{Fleet, FleetEvent};

/// Time after which a caller gives up a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a reply after which a caller gives up an open flow.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Time between two packets on an open flow.
const SEND_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of the first retransmission in a handshake, in milliseconds. It doubles each time.
const FIRST_RETRY_MS: u64 = 200;
/// Share of the callers that keep sending after the end of a flow, per thousand.
const KEEPS_SENDING_PERMILLE: u64 = 50;

impl Fleet {
    /// Opens a flow to a random service and schedules the next one.
    pub(super) fn open_next_flow(&mut self) {
        let Some(gap) = 1_000_000_u64.checked_div(self.setup.flow_rate) else {
            return;
        };
        let service = 1 + self.rng.below(2) as u16;
        self.open_flow(ServiceId(service), None);
        self.schedule(Duration::from_micros(gap), FleetEvent::NewFlow);
    }

    /// Opens a flow of a new caller, or of one whose requests are measured.
    pub(super) fn open_flow(
        &mut self,
        service: ServiceId,
        measured_caller: Option<usize>,
    ) -> usize {
        let index = self.flows.len();
        let ip = std::net::Ipv4Addr::from_bits(198 << 24 | index as u32);
        let is_long = self.rng.below(10) < 4;
        let lifetime_ms = if is_long {
            30_000 + self.rng.below(30_000)
        } else {
            1_000 + self.rng.below(3_000)
        };
        self.flows.push(Flow {
            service,
            caller: SocketAddr::from((ip, 40_000)),
            dcid: self.rng.next().to_be_bytes(),
            stage: Stage::Hello,
            cid: None,
            opened_at: self.now,
            retries: 0,
            last_reply: self.now,
            closes_at: self.now + Duration::from_millis(lifetime_ms),
            keeps_sending: self.rng.below(1_000) < KEEPS_SENDING_PERMILLE,
            agent: None,
            acceptors: Vec::new(),
            last_request: 0,
            requested_at: self.now,
            last_answered: 0,
            measured_caller,
        });
        if measured_caller.is_some() {
            self.flows[index].closes_at = self.setup.end;
        }
        self.totals.flows += 1;
        self.caller_timer(index);
        index
    }

    /// Advances a caller when its timer expires.
    pub(super) fn caller_timer(&mut self, index: usize) {
        let now = self.now;
        let flow = &mut self.flows[index];
        match flow.stage {
            Stage::Hello | Stage::Finish if now.since(flow.opened_at) >= HANDSHAKE_TIMEOUT => {
                self.end(index, End::NotOpened);
            }
            Stage::Hello => {
                self.submit(index, Packet::Hello(0), None);
                self.submit(index, Packet::Hello(1), None);
                self.schedule_retry(index);
            }
            Stage::Finish => {
                let cid = flow.cid;
                self.submit(index, Packet::Finish, cid);
                self.schedule_retry(index);
            }
            Stage::Open if now >= flow.closes_at => {
                let cid = flow.cid;
                self.submit(index, Packet::Close, cid);
                self.end(index, End::Closed);
            }
            Stage::Open if now.since(flow.last_reply) >= TIMEOUT => self.end(index, End::Timeout),
            Stage::Open => {
                self.send_request(index);
                self.schedule(SEND_INTERVAL, FleetEvent::CallerTimer(index));
            }
            Stage::Ended(_) if flow.keeps_sending => {
                let (cid, request) = (flow.cid, flow.last_request);
                self.submit(index, Packet::Request(request), cid);
                self.schedule(
                    SEND_INTERVAL + SEND_INTERVAL,
                    FleetEvent::CallerTimer(index),
                );
            }
            Stage::Ended(_) => {}
        }
    }

    fn schedule_retry(&mut self, index: usize) {
        let flow = &mut self.flows[index];
        let delay = FIRST_RETRY_MS << flow.retries.min(3);
        flow.retries += 1;
        self.schedule(Duration::from_millis(delay), FleetEvent::CallerTimer(index));
    }

    /// Sends the next request, or the last one again while it has no response.
    fn send_request(&mut self, index: usize) {
        let flow = &mut self.flows[index];
        if flow.last_answered == flow.last_request {
            flow.last_request += 1;
            // The first request counts as made when the caller opens the flow.
            if flow.last_request > 1 {
                flow.requested_at = self.now;
                self.count_requested(index);
            }
        }
        let flow = &self.flows[index];
        let (cid, request) = (flow.cid, flow.last_request);
        self.submit(index, Packet::Request(request), cid);
    }

    /// Sends a packet to a random balancer that takes packets.
    fn submit(&mut self, flow: usize, packet: Packet, cid: Option<[u8; CID_LEN]>) {
        let now = self.now;
        let live = self.processes.iter().enumerate();
        let live: Vec<_> = live
            .filter(|(_, process)| process.takes_packets(now))
            .map(|(index, _)| index)
            .collect();
        let pick = self.rng.below(live.len() as u64) as usize;
        let Some(balancer) = live.get(pick).copied() else {
            return;
        };
        for delay in self.links.caller(&mut self.rng) {
            let event = FleetEvent::CallerPacket {
                balancer,
                flow,
                packet,
                cid,
            };
            self.schedule(delay, event);
        }
    }

    /// Handles a reply that arrives at the caller.
    pub(super) fn handle_reply(&mut self, index: usize, reply: Reply) {
        let now = self.now;
        let flow = &mut self.flows[index];
        match (flow.stage, reply) {
            (Stage::Hello, Reply::Hello(cid)) => {
                let id = ConnectionId::open(&cid, &self.keys).expect("an agent issued the ID");
                flow.stage = Stage::Finish;
                flow.cid = Some(cid);
                flow.retries = 0;
                flow.agent = self.by_ip.get(id.agent.ip()).copied();
                self.submit(index, Packet::Finish, Some(cid));
            }
            (Stage::Finish, Reply::Finished) => {
                flow.stage = Stage::Open;
                flow.last_reply = now;
                self.totals.opened += 1;
            }
            (Stage::Open, Reply::Response(request)) => {
                flow.last_reply = now;
                if request == flow.last_request && flow.last_answered < request {
                    flow.last_answered = request;
                    self.count_answered(index);
                }
            }
            (Stage::Hello | Stage::Finish, Reply::Refused) => self.end(index, End::Refused),
            (Stage::Hello | Stage::Finish | Stage::Open, Reply::Evacuated) => {
                self.end(index, End::Evacuated);
            }
            (Stage::Open, Reply::Reset) => self.end(index, End::Reset),
            _ => {}
        }
    }

    /// Ends a flow, counts how it ended and runs the checks for it.
    fn end(&mut self, index: usize, end: End) {
        self.flows[index].stage = Stage::Ended(end);
        match end {
            End::Closed => self.totals.closed += 1,
            End::Refused => self.totals.refused += 1,
            End::Evacuated => self.totals.evacuated += 1,
            End::Reset | End::Timeout => self.check_broken(index, end),
            End::NotOpened => self.check_handshake(index),
        }
        if matches!(end, End::Reset) {
            self.totals.resets += 1;
        }
        let service = self.flows[index].service;
        match self.flows[index].measured_caller {
            Some(caller) => self.reopen(index, caller),
            // A refused caller opens a new flow, which may reach another agent.
            None if end == End::Refused && self.now < self.last_open() => {
                self.open_flow(service, None);
            }
            None => {}
        }
    }

    /// Last time at which a new flow can complete its handshake before the end of the run.
    fn last_open(&self) -> Instant {
        let run_time = self.setup.end.since(Instant::ZERO);
        Instant::ZERO + run_time.saturating_sub(HANDSHAKE_TIMEOUT)
    }
}
