//! Fake store: an object API on loopback with injected faults.

#![allow(dead_code, reason = "each test binary uses another part of this file")]

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;

/// Time that a watch waits for a newer version; short to keep the tests fast.
const WATCH_WAIT: Duration = Duration::from_millis(200);

/// Fault of one write; faults apply to writes in the order in which they were injected.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The write takes effect, then the connection breaks.
    LoseResponse,
    /// The connection breaks, and the write doesn't take effect.
    LoseRequest,
    /// Another writer stores this text first.
    WriteBefore(String),
    /// The write takes effect, the connection breaks, and another writer stores this text.
    WriteAfter(String),
    /// The store answers with this status, and the write doesn't take effect.
    Status(u16),
}

#[derive(Debug, Default)]
pub struct State {
    pub objects: BTreeMap<String, (u64, Bytes)>,
    pub faults: VecDeque<Fault>,
    /// Number of writes that took effect.
    pub writes: u64,
    /// Text that another writer stores right after the next read.
    pub after_read: Option<String>,
    /// Watches whose answers are lost while their connections stay open.
    pub lost_watches: u32,
    /// Text served at `/histograms`.
    pub histograms: String,
}

#[derive(Clone, Debug)]
pub struct FakeStore {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
}

impl FakeStore {
    /// Serves on a free port until the test process ends.
    pub fn start() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback is usable");
        listener
            .set_nonblocking(true)
            .expect("socket can be made non-blocking");
        let address = listener.local_addr().expect("socket is bound");
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            runtime
                .expect("runtime starts")
                .block_on(serve(listener, shared));
        });
        Self { address, state }
    }

    /// Stores a text as another operator or process does.
    pub fn set(&self, name: &str, text: &str) {
        store(
            &mut self.state.lock().expect("state is usable"),
            name,
            other_value(text),
        );
    }

    /// Stores a text under a version.
    pub fn set_version(&self, name: &str, version: u64, text: &str) {
        let mut state = self.state.lock().expect("state is usable");
        state
            .objects
            .insert(name.to_owned(), (version, other_value(text)));
    }

    /// Stores a body that another writer left, with any content.
    pub fn set_body(&self, name: &str, body: impl Into<Bytes>) {
        let mut state = self.state.lock().expect("state is usable");
        let version = state.objects.get(name).map_or(0, |(version, _)| *version);
        state
            .objects
            .insert(name.to_owned(), (version + 1, body.into()));
    }

    /// Text of an object; `None` when it doesn't exist.
    pub fn text(&self, name: &str) -> Option<String> {
        let state = self.state.lock().expect("state is usable");
        let (_, body) = state.objects.get(name)?;
        let value: serde_json::Value = serde_json::from_slice(body).expect("object is JSON");
        value["text"].as_str().map(str::to_owned)
    }

    pub fn inject(&self, fault: Fault) {
        self.state
            .lock()
            .expect("state is usable")
            .faults
            .push_back(fault);
    }

    /// Loses the answers to the next watches while their connections stay open.
    pub fn lose_watches(&self, watches: u32) {
        self.state.lock().expect("state is usable").lost_watches = watches;
    }

    pub fn writes(&self) -> u64 {
        self.state.lock().expect("state is usable").writes
    }
}

fn other_value(text: &str) -> Bytes {
    let value = serde_json::json!({"change": "other-1", "author": "eva", "text": text});
    Bytes::from(value.to_string())
}

fn store(state: &mut State, name: &str, body: Bytes) -> u64 {
    state.writes += 1;
    let version = state.writes;
    state.objects.insert(name.to_owned(), (version, body));
    version
}

async fn serve(listener: std::net::TcpListener, state: Arc<Mutex<State>>) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("socket joins the runtime");
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let service = service_fn(|request| handle(Arc::clone(&state), request));
            let connection = hyper::server::conn::http1::Builder::new();
            // An error is a connection that a test breaks on purpose.
            drop(
                connection
                    .serve_connection(TokioIo::new(stream), service)
                    .await,
            );
        });
    }
}

type HandlerResult = Result<Response<Full<Bytes>>, std::io::Error>;

async fn handle(state: Arc<Mutex<State>>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    if path == "/histograms" {
        let text = state.lock().expect("state is usable").histograms.clone();
        return Ok(Response::new(Full::new(text.into())));
    }
    let name = path
        .strip_prefix("/objects/")
        .unwrap_or_default()
        .to_owned();
    if request.method() == Method::PUT {
        return put(&state, &name, request).await;
    }
    let watched = request
        .uri()
        .query()
        .and_then(|query| query.strip_prefix("watch="));
    if let Some(after) = watched.and_then(|after| after.parse::<u64>().ok()) {
        let is_newer = || {
            state
                .lock()
                .expect("state is usable")
                .objects
                .get(&name)
                .map(|o| o.0 > after)
        };
        let is_lost = {
            let mut state = state.lock().expect("state is usable");
            let is_lost = state.lost_watches > 0;
            state.lost_watches = state.lost_watches.saturating_sub(1);
            is_lost
        };
        if is_lost {
            return std::future::pending().await;
        }
        let end = tokio::time::Instant::now() + WATCH_WAIT;
        while is_newer() == Some(false) && tokio::time::Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if is_newer() == Some(false) {
            return Ok(response(304, None, Bytes::new()));
        }
    }
    let mut state = state.lock().expect("state is usable");
    let found = state.objects.get(&name).cloned();
    if let Some(text) = state.after_read.take() {
        store(&mut state, &name, other_value(&text));
    }
    Ok(found.map_or_else(
        || response(404, None, Bytes::new()),
        |(version, body)| response(200, Some(version), body),
    ))
}

async fn put(state: &Mutex<State>, name: &str, request: Request<Incoming>) -> HandlerResult {
    let header = |name| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let (at, absent) = (
        header(IF_MATCH).map(str::to_owned),
        header(IF_NONE_MATCH).is_some(),
    );
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    let mut state = state.lock().expect("state is usable");
    let fault = state.faults.pop_front();
    match &fault {
        Some(Fault::LoseRequest) => return Err(std::io::Error::other("request lost")),
        Some(Fault::Status(status)) => return Ok(response(*status, None, Bytes::new())),
        Some(Fault::WriteBefore(text)) => {
            store(&mut state, name, other_value(text));
        }
        _ => {}
    }
    let present = state.objects.get(name).map(|object| object.0);
    let matches = present.map(|version| format!("\"{version}\"")) == at;
    if !matches || (absent && present.is_some()) || (!absent && at.is_none()) {
        return Ok(response(412, present, Bytes::new()));
    }
    let version = store(&mut state, name, body);
    if let Some(Fault::WriteAfter(text)) = &fault {
        store(&mut state, name, other_value(text));
    }
    if matches!(fault, Some(Fault::LoseResponse | Fault::WriteAfter(_))) {
        return Err(std::io::Error::other("answer lost"));
    }
    Ok(response(200, Some(version), Bytes::new()))
}

fn response(status: u16, version: Option<u64>, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = StatusCode::from_u16(status).expect("status is valid");
    if let Some(version) = version {
        let tag = format!("\"{version}\"")
            .parse()
            .expect("digits make a header");
        response.headers_mut().insert(ETAG, tag);
    }
    response
}
