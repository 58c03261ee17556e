//! Flows: accepts QUIC connections and hands their requests on.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use quinn::{Connection, Endpoint, Incoming, VarInt};
use tokio::sync::watch;

use super::Agent;
use super::request;

/// QUIC application code of a connection closed because its data centre was taken out. It lies
/// outside the codes that HTTP/3 defines, so callers can tell it from an error.
pub const DATA_CENTRE_EVACUATED: u32 = 0x4d01;
/// Longest wait for the caller to close a connection after its last response, so that the end of
/// the response is delivered before the connection goes away.
const LINGER: Duration = Duration::from_secs(3);

/// Longest time for which requests in progress delay the close of a flow whose data centre was taken
/// out. Balancers forward for longer than this after they learn of it.
const EVACUATION_GRACE: Duration = Duration::from_millis(400);
/// Time between two looks whether the requests in progress are done.
const REQUEST_POLL: Duration = Duration::from_millis(10);

/// What happens to flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// New flows and requests are accepted.
    Serving,
    /// Callers are asked to go elsewhere; requests in progress are completed.
    Leaving,
    /// The data centre is out: flows are closed at once.
    Evacuated,
}

type H3Connection = h3::server::Connection<h3_quinn::Connection, Bytes>;

/// Number of open flows.
#[derive(Debug, Default)]
pub struct FlowCount(AtomicU64);

impl FlowCount {
    /// Open flows now.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A flow and its requests in progress.
#[derive(Clone, Debug)]
pub struct Flow {
    /// QUIC connection.
    pub connection: Connection,
    running: Arc<AtomicU64>,
}

/// A request in progress, until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<AtomicU64>);

impl Flow {
    fn new(connection: Connection) -> Self {
        Self {
            connection,
            running: Arc::default(),
        }
    }

    /// Counts a request that the close of the flow waits for.
    pub fn begin_request(&self) -> RequestGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(&self.running))
    }

    async fn wait_for_requests(&self) {
        while self.running.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(REQUEST_POLL).await;
        }
    }
}

/// Requests and streams that other agents run at the local target.
#[derive(Debug, Default)]
pub struct PeerRequests(Arc<AtomicU64>);

impl PeerRequests {
    /// Running now.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts one until the result is dropped.
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
            log::debug!("agent: handshake failed: {error}");
            return;
        }
    };
    let _open = OpenFlow::new(Arc::clone(&agent));
    agent.counters.count("flow_accepted");
    let built = h3::server::builder()
        .build(h3_quinn::Connection::new(connection.clone()))
        .await;
    match built {
        Ok(h3) => drive(agent, Flow::new(connection), h3).await,
        Err(error) => log::debug!("agent: HTTP/3 set-up failed: {error}"),
    }
}

/// Accepts the requests of one flow and follows the phase.
async fn drive(agent: Arc<Agent>, flow: Flow, mut h3: H3Connection) {
    let mut phase = agent.phase.subscribe();
    // The phase may have changed between the accept decision and now.
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
                    log::debug!("agent: flow ended: {error}");
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
    // Every request of a connection that was told to go away is complete.
    let _ = tokio::time::timeout(LINGER, flow.connection.closed()).await;
}

/// Applies a new phase; false when the flow is over.
async fn apply(phase: &mut watch::Receiver<Phase>, flow: &Flow, h3: &mut H3Connection) -> bool {
    let now = *phase.borrow_and_update();
    match now {
        Phase::Serving => true,
        Phase::Leaving => h3.shutdown(0).await.is_ok(),
        Phase::Evacuated => {
            // Callers learn of it by the close even if the GOAWAY cannot be sent.
            let _ = h3.shutdown(0).await;
            let _ = tokio::time::timeout(EVACUATION_GRACE, flow.wait_for_requests()).await;
            flow.connection.close(
                VarInt::from_u32(DATA_CENTRE_EVACUATED),
                b"data centre is out of service",
            );
            false
        }
    }
}
