//! Requests that need a slot: executions and uploads.

use std::time::Duration;

use http::header::HeaderValue;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ring::digest;
use serde_json::json;
use tokio::sync::{SemaphorePermit, watch};
use tokio::time::{Instant, sleep, timeout_at};

use super::control::record_health;
use super::record::Upload;
use super::service::Shared;
use crate::certs::hex;
use crate::web::{self, Body, NoReply, Reply};

/// Time that a request occupies its slot, at speed 1 and with an empty queue.
pub const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Most queued requests per slot; further ones are refused as not run.
pub const MAX_QUEUED_PER_SLOT: u32 = 2;
/// Largest upload; a larger one gets status 413.
pub const MAX_UPLOAD_BYTES: u64 = 64 << 20;

/// Largest body of an execution. The body is read and ignored.
const MAX_EXECUTION_BYTES: usize = 64 << 10;
/// Relative increase of the service time for each queued request per slot.
const SLOWDOWN_PER_QUEUED: f64 = 0.25;
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Whether `path` takes uploads.
pub(super) fn is_upload(path: &str) -> bool {
    let roots = ["/uploads/", "/photos/", "/reports/", "/sheets/"];
    roots.iter().any(|root| path.starts_with(root))
}

/// Reason why a request got no result.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// The request had no effect.
    NotRun(StatusCode),
    /// An overrun of the cold target aborted the request while it ran.
    Aborted,
}

impl From<Failure> for Reply {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotRun(code) => Ok(not_run(code)),
            Failure::Aborted => Err(NoReply),
        }
    }
}

/// Response to a request that had no effect.
pub(super) fn not_run(code: StatusCode) -> Response<Body> {
    let mut reply = web::status(code);
    let outcome = HeaderValue::from_static("not-run");
    reply.headers_mut().insert("x-outcome", outcome);
    reply
}

/// Runs a hold or a check, and records its execution when it starts.
pub(super) async fn execute(shared: &Shared, request: Request<Incoming>) -> Reply {
    shared.count_if_draining();
    let Some(key) = idempotency_key(request.headers()) else {
        return Ok(not_run(StatusCode::BAD_REQUEST));
    };
    let deadline = deadline(request.headers());
    if let Err(reply) = web::read_body(request.into_body(), MAX_EXECUTION_BYTES).await {
        return Ok(reply);
    }
    let slot = match acquire_slot(shared, deadline).await {
        Ok(slot) => slot,
        Err(failure) => return failure.into(),
    };
    shared.lock().record.record_execution(&key);
    match slot.serve().await {
        Ok(()) => Ok(web::json(
            StatusCode::OK,
            &json!({ "key": key, "target": shared.settings.name }),
        )),
        Err(failure) => failure.into(),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Option<String> {
    let key = headers.get("idempotency-key")?.to_str().ok()?;
    (!key.is_empty() && key.len() <= MAX_KEY_BYTES).then(|| key.to_owned())
}

/// Receives an upload and answers with its length and digest.
pub(super) async fn upload(shared: &Shared, request: Request<Incoming>) -> Reply {
    shared.count_if_draining();
    let path = request.uri().path().to_owned();
    let slot = match acquire_slot(shared, deadline(request.headers())).await {
        Ok(slot) => slot,
        Err(failure) => return failure.into(),
    };
    let (bytes, sha256) = match digest_body(request.into_body()).await {
        Ok(read) => read,
        Err(code) => return Ok(web::status(code)),
    };
    if let Err(failure) = slot.serve().await {
        return failure.into();
    }
    let reply = web::json(StatusCode::OK, &json!({ "sha256": sha256, "bytes": bytes }));
    shared.lock().record.uploads.push(Upload {
        path,
        bytes,
        sha256,
    });
    Ok(reply)
}

async fn digest_body(mut body: Incoming) -> Result<(u64, String), StatusCode> {
    let mut context = digest::Context::new(&digest::SHA256);
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| StatusCode::BAD_REQUEST)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len() as u64;
        if length > MAX_UPLOAD_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        context.update(&data);
    }
    Ok((length, hex(context.finish().as_ref())))
}

/// Deadline according to `x-deadline-ms`, the remaining milliseconds; none without the header.
fn deadline(headers: &HeaderMap) -> Option<Instant> {
    let left_ms: i64 = headers.get("x-deadline-ms")?.to_str().ok()?.parse().ok()?;
    let left = Duration::from_millis(u64::try_from(left_ms).unwrap_or(0));
    Instant::now().checked_add(left)
}

/// One request that waits for a slot or occupies one. A drop before its end counts as a
/// cancellation.
struct Slot<'a> {
    shared: &'a Shared,
    permit: Option<SemaphorePermit<'a>>,
    /// Changes when an overrun fails the request.
    overrun: watch::Receiver<()>,
    is_running: bool,
    is_finished: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if self.is_running {
            state.busy -= 1;
        } else {
            state.queued -= 1;
        }
        if !self.is_finished {
            state.record.cancelled += 1;
        }
        record_health(self.shared, &mut state);
    }
}

async fn acquire_slot(shared: &Shared, deadline: Option<Instant>) -> Result<Slot<'_>, Failure> {
    if deadline.is_some_and(|end| end <= Instant::now()) {
        shared.lock().record.late += 1;
        return Err(Failure::NotRun(StatusCode::GATEWAY_TIMEOUT));
    }
    let mut slot = enqueue(shared)?;
    let permit = match deadline {
        Some(end) => timeout_at(end, shared.slots.acquire()).await.ok(),
        None => Some(shared.slots.acquire().await),
    };
    let Some(permit) = permit else {
        slot.is_finished = true;
        shared.lock().record.late += 1;
        return Err(Failure::NotRun(StatusCode::GATEWAY_TIMEOUT));
    };
    slot.permit = Some(permit.expect("the semaphore is never closed"));
    slot.start()?;
    Ok(slot)
}

fn enqueue(shared: &Shared) -> Result<Slot<'_>, Failure> {
    let mut state = shared.lock();
    let max_requests = shared.settings.slots * (1 + MAX_QUEUED_PER_SLOT);
    if state.busy + state.queued >= max_requests || !state.record.has_room() {
        state.record.shed += 1;
        return Err(Failure::NotRun(StatusCode::SERVICE_UNAVAILABLE));
    }
    state.queued += 1;
    Ok(Slot {
        shared,
        permit: None,
        overrun: shared.overrun.subscribe(),
        is_running: false,
        is_finished: false,
    })
}

impl Slot<'_> {
    /// Moves the request from the queue to its slot. If the cold target cannot carry it, this is an
    /// overrun, and all requests in flight fail.
    fn start(&mut self) -> Result<(), Failure> {
        let mut state = self.shared.lock();
        let cost = SERVICE_TIME.div_f64(self.shared.settings.speed);
        if !state.capacity.accept(Instant::now(), cost) {
            state.record.overruns += 1;
            drop(state);
            self.is_finished = true;
            self.shared.overrun.send_replace(());
            return Err(Failure::NotRun(StatusCode::SERVICE_UNAVAILABLE));
        }
        state.queued -= 1;
        state.busy += 1;
        assert!(
            state.busy <= self.shared.settings.slots,
            "a slot serves one request"
        );
        self.is_running = true;
        self.overrun.mark_unchanged();
        record_health(self.shared, &mut state);
        Ok(())
    }

    /// Waits for the service time; fails if an overrun aborts the request.
    async fn serve(mut self) -> Result<(), Failure> {
        let queued = f64::from(self.shared.lock().queued);
        let queued_per_slot = queued / f64::from(self.shared.settings.slots);
        let time = SERVICE_TIME
            .mul_f64((1.0 + SLOWDOWN_PER_QUEUED * queued_per_slot) / self.shared.settings.speed);
        let aborted = tokio::select! {
            () = sleep(time) => false,
            _ = self.overrun.changed() => true,
        };
        self.is_finished = true;
        let mut state = self.shared.lock();
        if aborted {
            state.record.failed += 1;
            return Err(Failure::Aborted);
        }
        state.record.served += 1;
        Ok(())
    }
}
