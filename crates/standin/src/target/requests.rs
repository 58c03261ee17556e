//! Requests that take a slot: executions and uploads.

use std::time::Duration;

use http::header::HeaderValue;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ring::digest;
use serde_json::json;
use tokio::sync::{SemaphorePermit, watch};
use tokio::time::{Instant, sleep, timeout_at};

use super::control::note_health;
use super::record::Upload;
use super::service::Shared;
use crate::certs::hex;
use crate::web::{self, Body, NoReply, Reply};

/// Service time at speed 1 with an empty queue.
pub const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Requests that wait per slot; further ones are refused as not run.
pub const QUEUE_PER_SLOT: u32 = 2;
/// Largest upload; a larger one is answered with 413.
pub const MAX_UPLOAD_BYTES: u64 = 64 << 20;

/// Largest body of an execution, which is read and ignored.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Growth of the service time for each queued request per slot.
const SLOWDOWN: f64 = 0.25;
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Whether `path` takes uploads.
pub(super) fn is_upload(path: &str) -> bool {
    let roots = ["/uploads/", "/photos/", "/reports/", "/sheets/"];
    roots.iter().any(|root| path.starts_with(root))
}

/// Reason why a request got no result.
#[derive(Clone, Copy, Debug)]
enum Refused {
    /// The request had no effect.
    NotRun(StatusCode),
    /// The target fell over while the request ran.
    Lost,
}

impl From<Refused> for Reply {
    fn from(refused: Refused) -> Self {
        match refused {
            Refused::NotRun(code) => Ok(not_run(code)),
            Refused::Lost => Err(NoReply),
        }
    }
}

/// Response that says truthfully that the request had no effect.
pub(super) fn not_run(code: StatusCode) -> Response<Body> {
    let mut reply = web::status(code);
    let outcome = HeaderValue::from_static("not-run");
    reply.headers_mut().insert("x-outcome", outcome);
    reply
}

/// Runs a hold or a check.
pub(super) async fn execute(shared: &Shared, request: Request<Incoming>) -> Reply {
    shared.note_arrival();
    let Some(key) = idempotency_key(request.headers()) else {
        return Ok(not_run(StatusCode::BAD_REQUEST));
    };
    let deadline = deadline(request.headers());
    if let Err(reply) = web::read_body(request.into_body(), MAX_BODY_BYTES).await {
        return Ok(reply);
    }
    let slot = match take_slot(shared, deadline).await {
        Ok(slot) => slot,
        Err(refused) => return refused.into(),
    };
    shared.lock().record.execute(&key);
    match slot.serve().await {
        Ok(()) => Ok(web::json(
            StatusCode::OK,
            &json!({ "key": key, "target": shared.settings.name }),
        )),
        Err(refused) => refused.into(),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Option<String> {
    let key = headers.get("idempotency-key")?.to_str().ok()?;
    (!key.is_empty() && key.len() <= MAX_KEY_BYTES).then(|| key.to_owned())
}

/// Receives an upload.
pub(super) async fn upload(shared: &Shared, request: Request<Incoming>) -> Reply {
    shared.note_arrival();
    let path = request.uri().path().to_owned();
    let slot = match take_slot(shared, deadline(request.headers())).await {
        Ok(slot) => slot,
        Err(refused) => return refused.into(),
    };
    let (bytes, sha256) = match digest_body(request.into_body()).await {
        Ok(read) => read,
        Err(code) => return Ok(web::status(code)),
    };
    if let Err(refused) = slot.serve().await {
        return refused.into();
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

/// End of the time that `x-deadline-ms` leaves; none without the header.
fn deadline(headers: &HeaderMap) -> Option<Instant> {
    let left: i64 = headers.get("x-deadline-ms")?.to_str().ok()?.parse().ok()?;
    let left = Duration::from_millis(u64::try_from(left).unwrap_or(0));
    Instant::now().checked_add(left)
}

/// One request that waits for a slot or holds one; counts a cancellation when it is dropped.
struct Slot<'a> {
    shared: &'a Shared,
    permit: Option<SemaphorePermit<'a>>,
    /// Changes when an overrun fails the request.
    overrun: watch::Receiver<()>,
    running: bool,
    over: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if self.running {
            state.busy -= 1;
        } else {
            state.queued -= 1;
        }
        if !self.over {
            state.record.cancelled += 1;
        }
        note_health(self.shared, &mut state);
    }
}

async fn take_slot(shared: &Shared, deadline: Option<Instant>) -> Result<Slot<'_>, Refused> {
    if deadline.is_some_and(|end| end <= Instant::now()) {
        shared.lock().record.late += 1;
        return Err(Refused::NotRun(StatusCode::GATEWAY_TIMEOUT));
    }
    let mut slot = enqueue(shared)?;
    let permit = match deadline {
        Some(end) => timeout_at(end, shared.slots.acquire()).await.ok(),
        None => Some(shared.slots.acquire().await),
    };
    let Some(permit) = permit else {
        slot.over = true;
        shared.lock().record.late += 1;
        return Err(Refused::NotRun(StatusCode::GATEWAY_TIMEOUT));
    };
    slot.permit = Some(permit.expect("the semaphore is never closed"));
    slot.start()?;
    Ok(slot)
}

fn enqueue(shared: &Shared) -> Result<Slot<'_>, Refused> {
    let mut state = shared.lock();
    let room = shared.settings.slots * (1 + QUEUE_PER_SLOT);
    if state.busy + state.queued >= room || !state.record.has_room() {
        state.record.shed += 1;
        return Err(Refused::NotRun(StatusCode::SERVICE_UNAVAILABLE));
    }
    state.queued += 1;
    Ok(Slot {
        shared,
        permit: None,
        overrun: shared.overrun.subscribe(),
        running: false,
        over: false,
    })
}

impl Slot<'_> {
    /// Turns the wait into work; fails everything in flight when a cold target cannot carry it.
    fn start(&mut self) -> Result<(), Refused> {
        let mut state = self.shared.lock();
        let cost = SERVICE_TIME.div_f64(self.shared.settings.speed);
        if !state.capacity.accept(Instant::now(), cost) {
            state.record.overruns += 1;
            drop(state);
            self.over = true;
            self.shared.overrun.send_replace(());
            return Err(Refused::NotRun(StatusCode::SERVICE_UNAVAILABLE));
        }
        state.queued -= 1;
        state.busy += 1;
        assert!(
            state.busy <= self.shared.settings.slots,
            "a slot is used once"
        );
        self.running = true;
        self.overrun.mark_unchanged();
        note_health(self.shared, &mut state);
        Ok(())
    }

    /// Spends the service time.
    async fn serve(mut self) -> Result<(), Refused> {
        let queued = f64::from(self.shared.lock().queued);
        let waiting = queued / f64::from(self.shared.settings.slots);
        let time = SERVICE_TIME.mul_f64((1.0 + SLOWDOWN * waiting) / self.shared.settings.speed);
        let failed = tokio::select! {
            () = sleep(time) => false,
            _ = self.overrun.changed() => true,
        };
        self.over = true;
        let mut state = self.shared.lock();
        if failed {
            state.record.failed += 1;
            return Err(Refused::Lost);
        }
        state.record.served += 1;
        Ok(())
    }
}
