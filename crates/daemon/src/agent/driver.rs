//! Drives the state machine of one request: feeds it with events and carries out its actions.

use std::collections::VecDeque;
use std::sync::Arc;

use monsoon_admission::{Load, TargetState};
use monsoon_config::Class;
use monsoon_execution::claim::{ClaimResult, KeyHash};
use monsoon_execution::{
    ANNOUNCED_LIMIT, Action, Destination, Event, Execution, PeerLoad, PeerTracker, Reply, Request,
    pick_destination,
};
use monsoon_membership::{SampledTarget, State};
use monsoon_metrics::Outcome;
use monsoon_model::{ClassKey, Duration, Instant};
use quinn::Connection;

use super::Agent;
use super::attempt::Attempt;
use super::claims::{self, ClaimHandle};
use super::flows::Phase;
use super::request::{self, BodyReceiver};
use super::respond::{self, ErrorReply, ResponseSender};
use crate::peer::{ExecuteHead, ResponseFrame, ResponseHead};

/// Longest wait for a peer to admit a request, so that a suspended peer does not delay the request
/// until its deadline.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(500);

/// Request of a caller and what its execution needs.
pub struct CallerRequest {
    /// Agent that owns the flow.
    pub agent: Arc<Agent>,
    /// QUIC connection of the flow.
    pub connection: Connection,
    /// Class within the service.
    pub class_key: ClassKey,
    /// Parameters of the class.
    pub class: Class,
    /// Method, path and headers. The deadline is filled in for each attempt.
    pub head: ExecuteHead,
    /// Hash of the idempotency key of a non-idempotent request.
    pub key_hash: Option<KeyHash>,
    /// Sending half of the request's stream.
    pub sender: ResponseSender,
    /// Receiving half of the request's stream.
    pub receiver: BodyReceiver,
}

/// Runs the request to its end.
pub async fn drive(incoming: CallerRequest) {
    let started_at = incoming.agent.clock.now();
    let request = Request {
        idempotent: incoming.class.idempotent,
        from_peer: false,
        deadline: incoming.class.deadline.map(|span| started_at + span),
    };
    let driver = Driver {
        execution: Execution::new(started_at, request),
        agent: incoming.agent,
        connection: incoming.connection,
        class_key: incoming.class_key,
        class: incoming.class,
        head: incoming.head,
        key_hash: incoming.key_hash,
        sender: Some(incoming.sender),
        receiver: Some(incoming.receiver),
        started_at,
        events: VecDeque::from([Event::Arrived]),
        attempt: None,
        response: None,
        claim_handle: None,
        peers: Vec::new(),
        admitted_by: None,
    };
    driver.run().await;
}

struct Driver {
    agent: Arc<Agent>,
    connection: Connection,
    execution: Execution,
    class_key: ClassKey,
    class: Class,
    head: ExecuteHead,
    key_hash: Option<KeyHash>,
    sender: Option<ResponseSender>,
    receiver: Option<BodyReceiver>,
    started_at: Instant,
    events: VecDeque<Event>,
    attempt: Option<Attempt>,
    response: Option<ResponseHead>,
    claim_handle: Option<ClaimHandle>,
    peers: Vec<SampledTarget>,
    /// Time by which a peer must admit the present attempt.
    admitted_by: Option<Instant>,
}

impl Driver {
    async fn run(mut self) {
        while !self.execution.is_done() || !self.events.is_empty() {
            let event = match self.events.pop_front() {
                Some(event) => event,
                None => self.wait().await,
            };
            let now = self.agent.clock.now();
            let actions = {
                let mut budget = self
                    .agent
                    .retry_budget
                    .lock()
                    .expect("no panic while the lock is held");
                self.execution.handle(now, event, &mut budget)
            };
            for action in actions {
                self.carry_out(action).await;
            }
        }
        if self.sender.is_some() {
            self.agent
                .record(&self.class.name, Outcome::Cancelled, None);
        }
    }

    /// Waits for the next event of the request.
    async fn wait(&mut self) -> Event {
        let clock = self.agent.clock;
        let is_caller_waiting = self.sender.is_some();
        let deadline = self.execution.deadline().filter(|_| is_caller_waiting);
        let admitted_by = self.admitted_by;
        let Some(attempt) = &mut self.attempt else {
            return Event::ConnectionLost(self.execution.attempt());
        };
        tokio::select! {
            frame = attempt.replies.recv() => self.on_frame(frame),
            () = clock.sleep_until(deadline) => {
                log::info!("request: deadline passed class={}", self.class.name);
                Event::Tick
            }
            () = clock.sleep_until(admitted_by) => self.cancel_slow_peer(),
            _ = self.connection.closed(), if is_caller_waiting => {
                log::info!("request: caller gone class={}", self.class.name);
                self.sender = None;
                self.agent.record(&self.class.name, Outcome::Cancelled, None);
                Event::Cancelled
            }
        }
    }

    /// Cancels an attempt that the peer did not admit in time. The target did not and will not
    /// receive the request, because the first body frame was not sent.
    fn cancel_slow_peer(&mut self) -> Event {
        self.admitted_by = None;
        self.agent.counters.count("peer_too_slow");
        self.attempt
            .take()
            .map_or(Event::Tick, |attempt| Event::NotRun(attempt.number))
    }

    fn on_frame(&mut self, frame: Option<ResponseFrame>) -> Event {
        let is_remote = self.admitted_by.take().is_some();
        self.record_peer_load(frame.as_ref());
        let Some(attempt) = &mut self.attempt else {
            return Event::Tick;
        };
        let number = attempt.number;
        match frame {
            Some(ResponseFrame::Admitted(_)) if is_remote => {
                self.send_body();
                Event::Tick
            }
            Some(ResponseFrame::Admitted(_)) if attempt.is_unsent() => Event::Started(number),
            Some(ResponseFrame::Head(head)) => {
                let status = head.status;
                self.response = Some(head);
                Event::Response(number, status)
            }
            Some(ResponseFrame::NotRun(_)) => Event::NotRun(number),
            // The connection closed before the target could receive the request.
            None if attempt.is_unsent() => Event::NotRun(number),
            _ => Event::ConnectionLost(number),
        }
    }

    /// Records the load that a peer sent with its reply, which is newer than any announced load.
    fn record_peer_load(&self, frame: Option<&ResponseFrame>) {
        let peer = self.attempt.as_ref().and_then(|attempt| attempt.peer);
        if let (Some(peer), Some(ResponseFrame::Admitted(load) | ResponseFrame::NotRun(load))) =
            (peer, frame)
        {
            self.peer_tracker()
                .record_load(self.agent.clock.now(), peer, *load);
        }
    }

    async fn carry_out(&mut self, action: Action) {
        match action {
            Action::Claim => {
                let result = self.claim_key().await;
                self.events.push_back(Event::Claimed(result));
            }
            Action::Pick(rejected_by) => {
                let destination = self.pick(rejected_by);
                self.events.push_back(Event::Picked(destination));
            }
            Action::Enqueue(number) => {
                let head = self.head_with_deadline();
                self.attempt = Some(Attempt::start_local(
                    &self.agent,
                    number,
                    self.class_key,
                    head,
                ));
            }
            Action::Forward(number, index) => self.forward(number, index),
            Action::Send(_) => self.send_body(),
            Action::Cancel(number) => {
                self.attempt = None;
                self.events.push_back(Event::ConnectionLost(number));
            }
            Action::StoreStatus(status) => {
                if let Some(claim_handle) = &self.claim_handle {
                    claim_handle.store(&self.agent, status);
                }
            }
            Action::ReleaseClaim => {
                if let Some(claim_handle) = &self.claim_handle {
                    claim_handle.release(&self.agent);
                }
            }
            Action::Reply(reply) => self.reply(reply).await,
        }
    }

    async fn claim_key(&mut self) -> ClaimResult {
        let Some(key_hash) = self.key_hash else {
            return ClaimResult::NotRun;
        };
        if !self.agent.has_members() {
            // Without the members it is unknown whether another agent has recorded the key.
            self.agent.counters.count("claim_without_members");
            return ClaimResult::Unknown;
        }
        let (result, claim_handle) = claims::claim(&self.agent, key_hash).await;
        self.claim_handle = Some(claim_handle);
        result
    }

    /// Chooses the destination of the next attempt; `None` once the body was sent to one.
    fn pick(&mut self, rejected_by: Option<Destination>) -> Option<Destination> {
        self.receiver.as_ref()?;
        if let Some(Destination::Peer(index)) = rejected_by
            && let Some(peer) = self.peers.get(index)
        {
            self.peer_tracker()
                .record_rejection(self.agent.clock.now(), peer.id);
        }
        let (peers, loads) = self.usable_peers();
        self.peers = peers;
        let is_leaving = *self.agent.phase.borrow() != Phase::Serving;
        let local = self.agent.admission_control.load();
        let destination = pick_destination(local, &loads, is_leaving, rand::random());
        // A local target that rejected this request is not tried again.
        (rejected_by != Some(Destination::Local) || destination != Destination::Local)
            .then_some(destination)
    }

    /// Peers that did not reject a request recently, with their loads.
    fn usable_peers(&self) -> (Vec<SampledTarget>, Vec<PeerLoad>) {
        let now = self.agent.clock.now();
        let peers = {
            let node = self
                .agent
                .node
                .lock()
                .expect("no panic while the lock is held");
            node.sampled_targets(now)
        };
        let mut tracker = self.peer_tracker();
        let usable = peers
            .into_iter()
            .filter(|peer| !tracker.recently_rejected(now, peer.id));
        let usable: Vec<_> = usable.collect();
        let loads = usable
            .iter()
            .map(|peer| {
                let age = peer.age.as_micros();
                let announced_at = Instant::from_micros(now.as_micros().saturating_sub(age));
                tracker.load(peer.id, announced_load(peer), announced_at)
            })
            .collect();
        (usable, loads)
    }

    fn peer_tracker(&self) -> std::sync::MutexGuard<'_, PeerTracker> {
        self.agent
            .peer_tracker
            .lock()
            .expect("no panic while the lock is held")
    }

    fn forward(&mut self, number: u32, index: usize) {
        let Some(peer) = self.peers.get(index).copied() else {
            return self.events.push_back(Event::NotRun(number));
        };
        self.agent.counters.count("request_passed_on");
        self.peer_tracker()
            .record_send(self.agent.clock.now(), peer.id);
        self.attempt = Some(Attempt::start_remote(
            &self.agent,
            number,
            &peer,
            self.head_with_deadline(),
        ));
        self.admitted_by = Some(self.agent.clock.now() + ADMISSION_TIMEOUT);
    }

    /// Sends the body, after which the target may receive the request.
    fn send_body(&mut self) {
        let body = self.attempt.as_mut().and_then(Attempt::take_body);
        if let (Some(body), Some(receiver)) = (body, self.receiver.take()) {
            tokio::spawn(request::copy_body(receiver, body));
        }
    }

    fn head_with_deadline(&self) -> ExecuteHead {
        let now = self.agent.clock.now();
        let time_left = self
            .execution
            .deadline()
            .map(|at| at.since(now).as_millis());
        ExecuteHead {
            deadline_ms: time_left,
            ..self.head.clone()
        }
    }

    async fn reply(&mut self, reply: Reply) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let outcome = match reply {
            Reply::Response(_) => self.forward_response(sender).await,
            Reply::Replay(status) => respond::send_replay(sender, status).await,
            Reply::NotRun => respond::send_error(sender, ErrorReply::NotRun).await,
            Reply::Unknown => respond::send_error(sender, ErrorReply::Unknown).await,
        };
        let latency = self.agent.clock.now().since(self.started_at);
        let has_latency = outcome == Outcome::Answered && !self.class.stream;
        self.agent
            .record(&self.class.name, outcome, has_latency.then_some(latency));
    }

    async fn forward_response(&mut self, sender: ResponseSender) -> Outcome {
        match (self.response.take(), &mut self.attempt) {
            (Some(head), Some(attempt)) => {
                respond::forward_response(sender, &head, &mut attempt.replies).await
            }
            _ => respond::send_error(sender, ErrorReply::Unknown).await,
        }
    }
}

/// Load that a peer announced through the membership.
fn announced_load(peer: &SampledTarget) -> Load {
    let state = match peer.state {
        State::Cold => TargetState::Cold,
        State::Ready => TargetState::Ready,
        State::Leaving => TargetState::Leaving,
    };
    Load {
        busy: u32::from(peer.load),
        queued: 0,
        limit: ANNOUNCED_LIMIT,
        state,
        leaving: peer.state == State::Leaving,
    }
}
