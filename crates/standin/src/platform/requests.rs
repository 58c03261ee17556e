//! Object requests: reads, watches and conditional writes.

use std::time::Duration;

use http::header::{ETAG, HeaderMap, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, timeout_at};

use super::objects::{Condition, MAX_NAME_BYTES, MAX_VALUE_BYTES, Value, WriteError};
use super::service::Shared;
use crate::web::{self, Body, NoReply, Reply};

/// Time after which a watch ends with 304 if there is no newer version.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Handles a request for the object `name`.
pub(super) async fn handle_object(
    shared: &Shared,
    name: &str,
    request: Request<Incoming>,
) -> Reply {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Ok(web::status(StatusCode::BAD_REQUEST));
    }
    apply_faults(shared).await?;
    match *request.method() {
        Method::GET => match watched_version(request.uri().query()) {
            Ok(None) => Ok(read(shared, name)),
            Ok(Some(after)) => watch_object(shared, name, after).await,
            Err(code) => Ok(web::status(code)),
        },
        Method::PUT => write(shared, name, request).await,
        _ => Ok(web::status(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

async fn apply_faults(shared: &Shared) -> Result<(), NoReply> {
    let faults = shared.lock().faults;
    if faults.delay_ms > 0 {
        sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    // The fault `down` may have been set during the delay.
    if shared.lock().faults.down {
        Err(NoReply)
    } else {
        Ok(())
    }
}

fn watched_version(query: Option<&str>) -> Result<Option<u64>, StatusCode> {
    let Some(query) = query else {
        return Ok(None);
    };
    query
        .strip_prefix("watch=")
        .and_then(|digits| digits.parse().ok())
        .map(Some)
        .ok_or(StatusCode::BAD_REQUEST)
}

fn read(shared: &Shared, name: &str) -> Response<Body> {
    let mut state = shared.lock();
    state.calls.reads += 1;
    match state.objects.get(name) {
        Some((version, value)) => with_version(web::json(StatusCode::OK, value), Some(version)),
        None => web::status(StatusCode::NOT_FOUND),
    }
}

/// Counts a pending watch until it is dropped, also when the client closes the connection.
struct OpenWatch<'a>(&'a Shared);

impl<'a> OpenWatch<'a> {
    fn new(shared: &'a Shared) -> Self {
        let mut state = shared.lock();
        state.calls.reads += 1;
        state.calls.watches += 1;
        drop(state);
        Self(shared)
    }
}

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        self.0.lock().calls.watches -= 1;
    }
}

async fn watch_object(shared: &Shared, name: &str, after: u64) -> Reply {
    let _open = OpenWatch::new(shared);
    let mut changed = shared.changed.subscribe();
    let deadline = Instant::now() + WATCH_TIMEOUT;
    loop {
        if let Some(reply) = newer_version(shared, name, after)? {
            return Ok(reply);
        }
        if timeout_at(deadline, changed.changed()).await.is_err() {
            let current = shared.lock().objects.get(name).map(|(version, _)| version);
            return Ok(with_version(web::status(StatusCode::NOT_MODIFIED), current));
        }
    }
}

fn newer_version(
    shared: &Shared,
    name: &str,
    after: u64,
) -> Result<Option<Response<Body>>, NoReply> {
    let state = shared.lock();
    if state.faults.down {
        return Err(NoReply);
    }
    let object = state
        .objects
        .get(name)
        .filter(|(version, _)| *version > after);
    Ok(
        object
            .map(|(version, value)| with_version(web::json(StatusCode::OK, value), Some(version))),
    )
}

async fn write(shared: &Shared, name: &str, request: Request<Incoming>) -> Reply {
    let condition = match condition(request.headers()) {
        Ok(condition) => condition,
        Err(code) => return Ok(web::status(code)),
    };
    let value: Value = match web::read_json(request.into_body(), MAX_VALUE_BYTES).await {
        Ok(value) => value,
        Err(reply) => return Ok(reply),
    };
    let mut state = shared.lock();
    state.calls.writes += 1;
    let written = state.objects.put(name, condition, value);
    let is_lost = written.is_ok() && state.faults.lose_answers > 0;
    if is_lost {
        state.faults.lose_answers -= 1;
    }
    drop(state);
    if written.is_ok() {
        shared.changed.send_replace(());
    }
    if is_lost {
        Err(NoReply)
    } else {
        Ok(write_reply(condition, written))
    }
}

fn condition(headers: &HeaderMap) -> Result<Condition, StatusCode> {
    match (headers.get(IF_MATCH), headers.get(IF_NONE_MATCH)) {
        (Some(tag), None) => parse_tag(tag)
            .map(Condition::Version)
            .ok_or(StatusCode::BAD_REQUEST),
        (None, Some(star)) if star == "*" => Ok(Condition::Absent),
        (None, None) => Err(StatusCode::PRECONDITION_REQUIRED),
        _ => Err(StatusCode::BAD_REQUEST),
    }
}

fn parse_tag(tag: &HeaderValue) -> Option<u64> {
    let digits = tag.to_str().ok()?.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok()
}

fn write_reply(condition: Condition, written: Result<u64, WriteError>) -> Response<Body> {
    match (condition, written) {
        (Condition::Absent, Ok(version)) => {
            with_version(web::status(StatusCode::CREATED), Some(version))
        }
        (Condition::Version(_), Ok(version)) => {
            with_version(web::status(StatusCode::OK), Some(version))
        }
        (_, Err(WriteError::Conflict { current })) => {
            with_version(web::status(StatusCode::PRECONDITION_FAILED), current)
        }
        (_, Err(WriteError::Full)) => web::status(StatusCode::INSUFFICIENT_STORAGE),
    }
}

fn with_version(mut response: Response<Body>, version: Option<u64>) -> Response<Body> {
    if let Some(version) = version {
        let tag = HeaderValue::from_str(&format!("\"{version}\"")).expect("digits are valid");
        response.headers_mut().insert(ETAG, tag);
    }
    response
}
