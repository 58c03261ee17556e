//! HTTP server of the store and its shared state.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::objects::{MAX_VALUE_BYTES, Objects};
use super::requests;
use crate::error::Error;
use crate::web::{self, Body, Reply, Server};

/// Injected faults; absent fields mean no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether object requests get no reply and have no effect.
    pub down: bool,
    /// Delay before each object request is handled, in milliseconds.
    pub delay_ms: u64,
    /// Number of the next successful writes that get no reply.
    pub lose_answers: u32,
}

/// Counts of object requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads, including watches.
    pub reads: u64,
    /// Writes, including refused ones.
    pub writes: u64,
    /// Watches that are pending now.
    pub watches: u64,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub objects: Objects,
    pub faults: Faults,
    pub calls: Calls,
}

#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    /// Notifies pending watches of a write or a change of the faults.
    pub changed: watch::Sender<()>,
}

impl Shared {
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Running store. Dropping it stops the store and deletes its objects.
#[derive(Debug)]
pub struct Platform {
    server: Server,
}

impl Platform {
    /// Starts an empty store on 127.0.0.1; port 0 takes a free one.
    ///
    /// # Errors
    /// Returns an error when the port is taken.
    pub async fn start(port: u16) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: watch::Sender::new(()),
        });
        let handler = move |request| handle(Arc::clone(&shared), request);
        let server = Server::start(port, handler).await?;
        Ok(Self { server })
    }

    /// Address of the object API.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    if let Some(name) = path.strip_prefix("/objects/") {
        return requests::handle_object(&shared, name, request).await;
    }
    match (request.method(), path.as_str()) {
        (&Method::POST, "/faults") => Ok(set_faults(&shared, request).await),
        (&Method::GET, "/calls") => Ok(web::json(StatusCode::OK, &shared.lock().calls)),
        _ => Ok(web::status(StatusCode::NOT_FOUND)),
    }
}

async fn set_faults(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    match web::read_json::<Faults>(request.into_body(), MAX_VALUE_BYTES).await {
        Ok(faults) => {
            shared.lock().faults = faults;
            shared.changed.send_replace(());
            web::json(StatusCode::OK, &faults)
        }
        Err(reply) => reply,
    }
}
