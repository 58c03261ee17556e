//! Flows: accepts QUIC connections and starts a task for each of their requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use quinn::{Connection, Endpoint, Incoming, VarInt};
use tokio::sync::watch;

use super::Agent;
use super::request;

/// QUIC application error code for a flow that is closed because its data centre was taken out of
/// service. HTTP/3 does not define it, so callers can distinguish it from an HTTP/3 error.
pub const DATA_CENTRE_EVACUATED: u32 = 0x4d01;
/// Longest wait for the caller to close a connection after its last response, so that the whole
/// response arrives before the connection is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for which requests in progress delay the close of a flow whose data centre was taken
/// out of service. Balancers forward its packets for longer than this.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two checks whether the requests in progress are complete.
const REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Phase of an agent, which decides what happens to its flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// New flows and requests are accepted.
    Serving,
    /// Flows get a GOAWAY and requests in progress are completed; new flows are refused.
    Leaving,
    /// The data centre is out of service: flows are closed after a short wait for their requests.
    Evacuated,
}

type H3Connection = h3::server::Connection<h3_quinn::Connection, Bytes>;

/// Number of open flows.
#[derive(Debug, Default)]
pub struct FlowCount(AtomicU64);

impl FlowCount {
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Flow and the number of its requests in progress.
#[derive(Clone, Debug)]
pub struct Flow {
    /// QUIC connection.
    pub connection: Connection,
    in_progress: Arc<AtomicU64>,
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<AtomicU64>);

impl Flow {
    fn new(connection: Connection) -> Self {
        Self {
            connection,
            in_progress: Arc::default(),
        }
    }

    /// Counts a request, for which the close of the flow waits until the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(&self.in_progress))
    }

    async fn wait_for_requests(&self) {
        while self.in_progress.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(REQUEST_POLL_INTERVAL).await;
        }
    }
}

/// Number of requests and streams that run at the local target for other agents.
#[derive(Debug, Default)]
pub struct PeerRequests(Arc<AtomicU64>);

impl PeerRequests {
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(&self.0))
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a flow as open until it is dropped.
struct OpenFlow(Arc<Agent>);

impl OpenFlow {
    fn new(agent: Arc<Agent>) -> Self {
        agent.flows.0.fetch_add(1, Ordering::Relaxed);
        Self(agent)
    }
}

impl Drop for OpenFlow {
    fn drop(&mut self) {
        self.0.flows.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts flows until the endpoint is closed.
pub async fn accept(agent: Arc<Agent>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        if *agent.phase.borrow() == Phase::Serving {
            tokio::spawn(serve(Arc::clone(&agent), incoming));
        } else {
            agent.counters.count("flow_refused");
            incoming.refuse();
        }
    }
}

async fn serve(agent: Arc<Agent>, incoming: Incoming) {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!("agent: handshake of a new flow failed: {error}");
            return;
        }
    };
    let _open = OpenFlow::new(Arc::clone(&agent));
    agent.counters.count("flow_accepted");
    let h3_result = h3::server::builder()
        .build(h3_quinn::Connection::new(connection.clone()))
        .await;
    match h3_result {
        Ok(h3) => serve_requests(agent, Flow::new(connection), h3).await,
        Err(error) => log::debug!("agent: HTTP/3 could not be set up on a new flow: {error}"),
    }
}

/// Accepts the requests of one flow and applies changes of the phase to it.
async fn serve_requests(agent: Arc<Agent>, flow: Flow, mut h3: H3Connection) {
    let mut phase = agent.phase.subscribe();
    // The phase may have changed since the flow was accepted.
    phase.mark_changed();
    loop {
        tokio::select! {
            accepted = h3.accept() => match accepted {
                Ok(Some(resolver)) => {
                    let flow = flow.clone();
                    tokio::spawn(request::serve(Arc::clone(&agent), flow, resolver));
                }
                Ok(None) => break,
                Err(error) => {
                    log::debug!("agent: flow closed by an error: {error}");
                    return;
                }
            },
            changed = phase.changed() => {
                if changed.is_err() || !apply(&mut phase, &flow, &mut h3).await {
                    return;
                }
            }
        }
    }
    // All requests of the flow are complete after its GOAWAY.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, flow.connection.closed()).await;
}

/// Applies a new phase; false when the flow is closed or failed.
async fn apply(phase: &mut watch::Receiver<Phase>, flow: &Flow, h3: &mut H3Connection) -> bool {
    let current = *phase.borrow_and_update();
    match current {
        Phase::Serving => true,
        Phase::Leaving => h3.shutdown(0).await.is_ok(),
        Phase::Evacuated => {
            // The close tells the caller even if the GOAWAY cannot be sent.
            let _ = h3.shutdown(0).await;
            let _ = tokio::time::timeout(EVACUATION_TIMEOUT, flow.wait_for_requests()).await;
            flow.connection.close(
                VarInt::from_u32(DATA_CENTRE_EVACUATED),
                b"data centre is out of service",
            );
            false
        }
    }
}
