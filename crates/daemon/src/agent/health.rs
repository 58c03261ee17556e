//! Polls the health endpoint of the target.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Empty, Limited};
use monsoon_admission::{HealthReport, ReportedState};
use serde::Deserialize;

use super::admission_control::AdmissionControl;
use super::target::Target;

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a response; a later one is discarded.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest response read, in bytes.
const MAX_RESPONSE_BYTES: usize = 4_096;

#[derive(Deserialize)]
struct HealthResponse {
    state: HealthState,
    busy: Option<f64>,
    slots: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum HealthState {
    Cold,
    Ready,
    Draining,
}

/// Polls the target and reports its state to admission control until the process ends.
///
/// A target that does not respond is reported as cold, because it is cold after a restart.
pub async fn poll(target: Target, admission_control: AdmissionControl) {
    let mut timer = tokio::time::interval(POLL_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let health = tokio::time::timeout(RESPONSE_TIMEOUT, fetch_health(&target))
            .await
            .ok()
            .flatten();
        admission_control.report(report(health));
    }
}

fn report(health: Option<HealthResponse>) -> HealthReport {
    let Some(health) = health else {
        return HealthReport {
            state: ReportedState::Cold,
            load: None,
        };
    };
    let load = match (health.busy, health.slots) {
        (Some(busy), Some(slots)) if slots > 0.0 => Some(busy / slots),
        _ => None,
    };
    let state = match health.state {
        HealthState::Cold => ReportedState::Cold,
        HealthState::Ready => ReportedState::Ready,
        HealthState::Draining => ReportedState::Draining,
    };
    HealthReport { state, load }
}

async fn fetch_health(target: &Target) -> Option<HealthResponse> {
    let mut exchange = target.connect().await.ok()?;
    let body = Empty::<Bytes>::new()
        .map_err(|never| match never {})
        .boxed_unsync();
    let request = Request::get("/health")
        .header(header::HOST, "target")
        .body(body)
        .ok()?;
    let response = exchange.send(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .ok()?
        .to_bytes();
    serde_json::from_slice(&body).ok()
}
