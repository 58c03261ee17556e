//! Settings, shared state and request dispatch of a target.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::header::HeaderValue;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep};

use super::capacity::Capacity;
use super::control::{self, Health};
use super::record::Record;
use super::{requests, stream};
use crate::error::Error;
use crate::web::{self, Reply, Server};

/// Most slots; protects the machine from a mistyped argument.
const MAX_SLOTS: u32 = 1024;

/// Time that open requests and streams have to finish when the process ends.
const FINISH_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings of a target.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Port on 127.0.0.1, 0 for a free one.
    pub port: u16,
    /// Name in the record and in responses.
    pub name: String,
    /// Concurrent requests when warm, at least 1.
    pub slots: u32,
    /// Concurrent streams.
    pub connections: u32,
    /// Factor by which requests are faster than [`SERVICE_TIME`](requests::SERVICE_TIME).
    pub speed: f64,
    /// Time in cold start after the start; zero starts warm.
    pub cold_duration: Duration,
    /// Share of the slots that a cold target carries.
    pub cold_share: f64,
    /// Time between two lines of a stream.
    pub tick_interval: Duration,
    /// Age of the state that the health endpoint reports.
    pub health_lag: Duration,
    /// Time from the start of a drain to the end of the streams.
    pub drain_duration: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            port: 0,
            name: "target".to_owned(),
            slots: 4,
            connections: 2000,
            speed: 1.0,
            cold_duration: Duration::ZERO,
            cold_share: 0.1,
            tick_interval: Duration::from_millis(100),
            health_lag: Duration::ZERO,
            drain_duration: Duration::from_secs(20),
        }
    }
}

impl Settings {
    fn check(&self) -> Result<(), Error> {
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Err(Error::argument(format!("--slots must be 1 to {MAX_SLOTS}")));
        }
        if !(0.001..=1000.0).contains(&self.speed) {
            return Err(Error::argument("--speed must be 0.001 to 1000"));
        }
        if !(0.0..=1.0).contains(&self.cold_share) {
            return Err(Error::argument("--cold-share must be 0 to 1"));
        }
        if self.tick_interval.is_zero() {
            return Err(Error::argument("--tick-ms must be at least 1"));
        }
        Ok(())
    }
}

/// Mutable state of a target.
#[derive(Debug)]
pub(super) struct State {
    pub capacity: Capacity,
    pub record: Record,
    /// Requests that run now.
    pub busy: u32,
    /// Requests that wait for a slot now.
    pub queued: u32,
    /// Open streams.
    pub streams: u32,
    /// Past health with its time, oldest first.
    pub health_history: VecDeque<(Instant, Health)>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub settings: Settings,
    pub slots: Semaphore,
    /// A change fails all requests in flight.
    pub overrun: watch::Sender<()>,
    state: Mutex<State>,
}

impl Shared {
    fn new(settings: Settings) -> Self {
        let cold_slots = settings.cold_share * f64::from(settings.slots);
        let state = State {
            capacity: Capacity::new(Instant::now(), cold_slots, settings.cold_duration),
            record: Record {
                name: settings.name.clone(),
                ..Record::default()
            },
            busy: 0,
            queued: 0,
            streams: 0,
            health_history: VecDeque::new(),
        };
        Self {
            slots: Semaphore::new(settings.slots as usize),
            overrun: watch::Sender::new(()),
            state: Mutex::new(state),
            settings,
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a new request or stream if it arrives after the start of a drain.
    pub fn count_if_draining(&self) {
        let mut state = self.lock();
        if let Some(elapsed) = state.capacity.time_since_drain(Instant::now()) {
            state.record.after_drain.count += 1;
            state.record.after_drain.last_ms = elapsed.as_millis() as u64;
        }
    }
}

/// Running target. Dropping it closes all connections at once, like a crash.
#[derive(Debug)]
pub struct Target {
    server: Server,
    shared: Arc<Shared>,
}

impl Target {
    /// Starts a target on 127.0.0.1.
    ///
    /// # Errors
    /// Returns an error when a setting is out of range or the port is taken.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        settings.check()?;
        let port = settings.port;
        let shared = Arc::new(Shared::new(settings));
        let state = Arc::clone(&shared);
        let handler = move |request| handle(Arc::clone(&state), request);
        let server = Server::start(port, handler).await?;
        Ok(Self { server, shared })
    }

    /// Address of the service and its controls.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Record of what ran so far.
    pub fn record(&self) -> Record {
        self.shared.lock().record.clone()
    }

    /// Ends the streams and waits up to 3 s until all requests and streams have finished.
    pub async fn finish(self) {
        let deadline = Instant::now() + FINISH_TIMEOUT;
        self.shared
            .lock()
            .capacity
            .drain(Instant::now(), Duration::ZERO);
        while Instant::now() < deadline && self.has_work() {
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn has_work(&self) -> bool {
        let state = self.shared.lock();
        state.busy + state.queued + state.streams > 0
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Reply {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let mut reply = match (&method, path.as_str()) {
        (&Method::GET, "/board" | "/catalogue") => stream::open(&shared),
        (&Method::POST, "/holds" | "/checks") => requests::execute(&shared, request).await?,
        (&Method::GET | &Method::POST, "/health") => control::health(&shared),
        (&Method::GET, "/control/record") => control::record(&shared),
        (&Method::POST, control) if control.starts_with("/control/") => {
            control::change(&shared, control, request).await
        }
        (&Method::PUT | &Method::POST, upload) if requests::is_upload(upload) => {
            requests::upload(&shared, request).await?
        }
        _ => web::status(StatusCode::NOT_FOUND),
    };
    if let Ok(name) = HeaderValue::from_str(&shared.settings.name) {
        reply.headers_mut().insert("x-target", name);
    }
    Ok(reply)
}
