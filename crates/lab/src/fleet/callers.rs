//! Callers: open flows, send requests, and sometimes keep sending to flows that have ended.

use std::net::SocketAddr;

use monsoon_model::{Duration, Instant, ServiceId};
use monsoon_wire::{CID_LEN, ConnectionId};

use super::flow::{End, Flow, Packet, Reply, Stage};
use super::{Due, Fleet};

/// Time after which a caller gives up a handshake.
const HANDSHAKE: Duration = Duration::from_secs(10);
/// Time without an answer after which a caller gives up a flow.
const SILENCE: Duration = Duration::from_secs(8);
/// Time between two packets on an open flow.
const PERIOD: Duration = Duration::from_millis(500);
/// First delay of a retransmission in a handshake, in milliseconds; doubled each time.
const RETRY: u64 = 200;
/// Share of the callers that keep sending after the end of a flow, per thousand.
const STUBBORN: u64 = 50;

impl Fleet {
    pub(super) fn new_flows(&mut self) {
        let Some(gap) = 1_000_000_u64.checked_div(self.setup.rate) else {
            return;
        };
        let service = 1 + self.rng.below(2) as u16;
        self.open_flow(ServiceId(service), None);
        self.after(Duration::from_micros(gap), Due::NewFlow);
    }

    /// Opens a flow of a new caller.
    pub(super) fn open_flow(&mut self, service: ServiceId, measured: Option<usize>) -> usize {
        let index = self.flows.len();
        let ip = std::net::Ipv4Addr::from_bits(198 << 24 | index as u32);
        let is_long = self.rng.below(10) < 4;
        let life = if is_long {
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
            started: self.now,
            tries: 0,
            heard: self.now,
            until: self.now + Duration::from_millis(life),
            stubborn: self.rng.below(1_000) < STUBBORN,
            agent: None,
            takers: Vec::new(),
            request: 0,
            asked: self.now,
            answered: 0,
            measured,
        });
        if measured.is_some() {
            self.flows[index].until = self.setup.end;
        }
        self.totals.flows += 1;
        self.caller(index);
        index
    }

    /// Timer of a caller.
    pub(super) fn caller(&mut self, index: usize) {
        let now = self.now;
        let flow = &mut self.flows[index];
        match flow.stage {
            Stage::Hello | Stage::Finish if now.since(flow.started) >= HANDSHAKE => {
                self.end(index, End::NotOpened);
            }
            Stage::Hello => {
                self.submit(index, Packet::Hello(0), None);
                self.submit(index, Packet::Hello(1), None);
                self.retry(index);
            }
            Stage::Finish => {
                let cid = flow.cid;
                self.submit(index, Packet::Finish, cid);
                self.retry(index);
            }
            Stage::Open if now >= flow.until => {
                let cid = flow.cid;
                self.submit(index, Packet::Close, cid);
                self.end(index, End::Done);
            }
            Stage::Open if now.since(flow.heard) >= SILENCE => self.end(index, End::Timeout),
            Stage::Open => {
                self.send_request(index);
                self.after(PERIOD, Due::Caller(index));
            }
            Stage::Ended(_) if flow.stubborn => {
                let (cid, request) = (flow.cid, flow.request);
                self.submit(index, Packet::Data(request), cid);
                self.after(PERIOD + PERIOD, Due::Caller(index));
            }
            Stage::Ended(_) => {}
        }
    }

    fn retry(&mut self, index: usize) {
        let flow = &mut self.flows[index];
        let delay = RETRY << flow.tries.min(3);
        flow.tries += 1;
        self.after(Duration::from_millis(delay), Due::Caller(index));
    }

    /// Sends the next request, or the present one again while it has no answer.
    fn send_request(&mut self, index: usize) {
        let flow = &mut self.flows[index];
        if flow.answered == flow.request {
            flow.request += 1;
            // A caller wants its first request when it opens the flow.
            if flow.request > 1 {
                flow.asked = self.now;
                self.asked_check(index);
            }
        }
        let flow = &self.flows[index];
        let (cid, request) = (flow.cid, flow.request);
        self.submit(index, Packet::Data(request), cid);
    }

    /// Sends a packet to a random live balancer.
    fn submit(&mut self, flow: usize, packet: Packet, cid: Option<[u8; CID_LEN]>) {
        let now = self.now;
        let live = self.processes.iter().enumerate();
        let live: Vec<_> = live
            .filter(|(_, process)| process.takes_packets(now))
            .map(|(index, _)| index)
            .collect();
        let pick = self.rng.below(live.len() as u64) as usize;
        let Some(at) = live.get(pick).copied() else {
            return;
        };
        for delay in self.links.caller(&mut self.rng) {
            let due = Due::Entry {
                at,
                flow,
                packet,
                cid,
            };
            self.after(delay, due);
        }
    }

    /// A reply arrives at the caller.
    pub(super) fn answer(&mut self, index: usize, reply: Reply) {
        let now = self.now;
        let flow = &mut self.flows[index];
        match (flow.stage, reply) {
            (Stage::Hello, Reply::Hello(cid)) => {
                let id = ConnectionId::open(&cid, &self.keys).expect("an agent issued the ID");
                flow.stage = Stage::Finish;
                flow.cid = Some(cid);
                flow.tries = 0;
                flow.agent = self.by_ip.get(id.agent.ip()).copied();
                self.submit(index, Packet::Finish, Some(cid));
            }
            (Stage::Finish, Reply::Done) => {
                flow.stage = Stage::Open;
                flow.heard = now;
                self.totals.opened += 1;
            }
            (Stage::Open, Reply::Answer(request)) => {
                flow.heard = now;
                if request == flow.request && flow.answered < request {
                    flow.answered = request;
                    self.answered(index);
                }
            }
            (Stage::Hello | Stage::Finish, Reply::Refused) => self.end(index, End::Refused),
            (Stage::Hello | Stage::Finish | Stage::Open, Reply::Out) => self.end(index, End::Out),
            (Stage::Open, Reply::Reset) => self.end(index, End::Reset),
            _ => {}
        }
    }

    fn end(&mut self, index: usize, end: End) {
        self.flows[index].stage = Stage::Ended(end);
        match end {
            End::Done => self.totals.done += 1,
            End::Refused => self.totals.refused += 1,
            End::Out => self.totals.out += 1,
            End::Reset | End::Timeout => self.check_broken(index, end),
            End::NotOpened => self.check_handshake(index),
        }
        if matches!(end, End::Reset) {
            self.totals.resets += 1;
        }
        let service = self.flows[index].service;
        match self.flows[index].measured {
            Some(caller) => self.reopen(index, caller),
            // A caller that was refused opens a new flow, which may find another agent.
            None if end == End::Refused && self.now < self.last_open() => {
                self.open_flow(service, None);
            }
            None => {}
        }
    }

    fn last_open(&self) -> Instant {
        let lead = self.setup.end.since(Instant::ZERO);
        Instant::ZERO + lead.saturating_sub(HANDSHAKE)
    }
}
