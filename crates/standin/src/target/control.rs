//! Health endpoint, and the control requests of tests.

use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::capacity::Phase;
use super::service::{Shared, State};
use crate::web::{self, Body};

/// Largest body of a control request.
const MAX_CONTROL_BYTES: usize = 4096;

/// Time in cold start if neither the request nor the settings give one.
const DEFAULT_COLD_DURATION: Duration = Duration::from_secs(10);

/// Most stored states for the delayed health endpoint; the oldest are dropped first.
const MAX_HEALTH_HISTORY: usize = 8192;

/// State that the health endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Health {
    state: Phase,
    busy: u32,
    slots: u32,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Change {
    /// Time in the new state; if absent, the setting of the target applies.
    seconds: Option<f64>,
}

/// Stores the current health, to be reported after the lag.
pub(super) fn record_health(shared: &Shared, state: &mut State) {
    if shared.settings.health_lag.is_zero() {
        return;
    }
    let now = Instant::now();
    if state.health_history.len() >= MAX_HEALTH_HISTORY {
        state.health_history.pop_front();
    }
    let current = current_health(shared, state, now);
    state.health_history.push_back((now, current));
}

fn current_health(shared: &Shared, state: &State, now: Instant) -> Health {
    Health {
        state: state.capacity.phase(now),
        busy: state.busy,
        slots: shared.settings.slots,
    }
}

/// Reports the health as it was one lag ago.
pub(super) fn health(shared: &Shared) -> Response<Body> {
    let mut state = shared.lock();
    let now = Instant::now();
    if shared.settings.health_lag.is_zero() {
        return web::json(StatusCode::OK, &current_health(shared, &state, now));
    }
    record_health(shared, &mut state);
    let reported_at = now.checked_sub(shared.settings.health_lag);
    // The first entry also applies to the time before it.
    while state.health_history.len() > 1
        && reported_at.is_some_and(|reported_at| state.health_history[1].0 <= reported_at)
    {
        state.health_history.pop_front();
    }
    web::json(StatusCode::OK, &state.health_history[0].1)
}

/// Reports everything that ran.
pub(super) fn record(shared: &Shared) -> Response<Body> {
    web::json(StatusCode::OK, &shared.lock().record)
}

/// Changes the state of the target.
pub(super) async fn change(
    shared: &Shared,
    path: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    let duration = match read_duration(request).await {
        Ok(duration) => duration,
        Err(reply) => return reply,
    };
    let now = Instant::now();
    let mut state = shared.lock();
    record_health(shared, &mut state);
    let settings = &shared.settings;
    let cold_duration = Some(settings.cold_duration)
        .filter(|duration| !duration.is_zero())
        .unwrap_or(DEFAULT_COLD_DURATION);
    match path {
        "/control/drain" => state
            .capacity
            .drain(now, duration.unwrap_or(settings.drain_duration)),
        "/control/cold" => state
            .capacity
            .start_cold(now, duration.unwrap_or(cold_duration)),
        "/control/ready" => state.capacity.make_ready(),
        _ => return web::status(StatusCode::NOT_FOUND),
    }
    record_health(shared, &mut state);
    let phase = state.capacity.phase(now);
    log::info!("target: {} is now {phase:?}", settings.name);
    web::json(StatusCode::OK, &current_health(shared, &state, now))
}

async fn read_duration(request: Request<Incoming>) -> Result<Option<Duration>, Response<Body>> {
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
