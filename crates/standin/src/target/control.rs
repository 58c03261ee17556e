//! Health endpoint and the controls that tests use.

use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::capacity::Phase;
use super::service::{Shared, State};
use crate::web::{self, Body};

/// Longest body of a control request, in bytes.
const MAX_CONTROL_BYTES: usize = 4096;

/// Time in cold start when neither the request nor the settings give one.
const COLD_TIME: Duration = Duration::from_secs(10);

/// Most remembered states for the lag of the health endpoint; the oldest are dropped first.
const MAX_HISTORY: usize = 8192;

/// State that the health endpoint shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Health {
    state: Phase,
    busy: u32,
    slots: u32,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Change {
    /// Time in the new state; absent takes the target's setting.
    seconds: Option<f64>,
}

/// Remembers the present health for later reports.
pub(super) fn note_health(shared: &Shared, state: &mut State) {
    if shared.settings.health_lag.is_zero() {
        return;
    }
    let now = Instant::now();
    if state.history.len() >= MAX_HISTORY {
        state.history.pop_front();
    }
    let present = present(shared, state, now);
    state.history.push_back((now, present));
}

fn present(shared: &Shared, state: &State, now: Instant) -> Health {
    Health {
        state: state.capacity.phase(now),
        busy: state.busy,
        slots: shared.settings.slots,
    }
}

/// Health as it was one lag ago.
pub(super) fn health(shared: &Shared) -> Response<Body> {
    let mut state = shared.lock();
    let now = Instant::now();
    if shared.settings.health_lag.is_zero() {
        return web::json(StatusCode::OK, &present(shared, &state, now));
    }
    note_health(shared, &mut state);
    let shown = now.checked_sub(shared.settings.health_lag);
    // The first entry stands for the time before it.
    while state.history.len() > 1 && shown.is_some_and(|shown| state.history[1].0 <= shown) {
        state.history.pop_front();
    }
    web::json(StatusCode::OK, &state.history[0].1)
}

/// Everything that ran.
pub(super) fn record(shared: &Shared) -> Response<Body> {
    web::json(StatusCode::OK, &shared.lock().record)
}

/// Changes the state of the target.
pub(super) async fn change(
    shared: &Shared,
    path: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    let time = match read_time(request).await {
        Ok(time) => time,
        Err(reply) => return reply,
    };
    let now = Instant::now();
    let mut state = shared.lock();
    note_health(shared, &mut state);
    let settings = &shared.settings;
    let cold_time = Some(settings.cold_time)
        .filter(|time| !time.is_zero())
        .unwrap_or(COLD_TIME);
    match path {
        "/control/drain" => state
            .capacity
            .drain(now, time.unwrap_or(settings.drain_time)),
        "/control/cold" => state.capacity.chill(now, time.unwrap_or(cold_time)),
        "/control/ready" => state.capacity.warm(),
        _ => return web::status(StatusCode::NOT_FOUND),
    }
    note_health(shared, &mut state);
    let reached = state.capacity.phase(now);
    log::info!("target: {} is {reached:?}", settings.name);
    web::json(StatusCode::OK, &present(shared, &state, now))
}

async fn read_time(request: Request<Incoming>) -> Result<Option<Duration>, Response<Body>> {
    let text = web::read_body(request.into_body(), MAX_CONTROL_BYTES).await?;
    if text.is_empty() {
        return Ok(None);
    }
    let change: Change =
        serde_json::from_slice(&text).map_err(|_fault| web::status(StatusCode::BAD_REQUEST))?;
    change
        .seconds
        .map(Duration::try_from_secs_f64)
        .transpose()
        .map_err(|_fault| web::status(StatusCode::BAD_REQUEST))
}
