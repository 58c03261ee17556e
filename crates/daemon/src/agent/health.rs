//! Polls the target's own health endpoint.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Empty, Limited};
use monsoon_admission::{HealthReport, ReportedState};
use serde::Deserialize;

use super::admission_control::AdmissionControl;
use super::target::Target;

/// Time between two polls.
const INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for an answer; a later one counts as none.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Largest answer read, in bytes.
const MAX_ANSWER: usize = 4_096;

#[derive(Deserialize)]
struct Answer {
    state: AnswerState,
    busy: Option<f64>,
    slots: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum AnswerState {
    Cold,
    Ready,
    Draining,
}

/// Reports the target's state to admission control until the process ends.
///
/// A target whose endpoint does not answer is reported as cold: after a restart it is.
pub async fn poll(target: Target, admission_control: AdmissionControl) {
    let mut timer = tokio::time::interval(INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let answer = tokio::time::timeout(TIMEOUT, ask(&target))
            .await
            .ok()
            .flatten();
        admission_control.report(report(answer));
    }
}

fn report(answer: Option<Answer>) -> HealthReport {
    let Some(answer) = answer else {
        return HealthReport {
            state: ReportedState::Cold,
            load: None,
        };
    };
    let load = match (answer.busy, answer.slots) {
        (Some(busy), Some(slots)) if slots > 0.0 => Some(busy / slots),
        _ => None,
    };
    let state = match answer.state {
        AnswerState::Cold => ReportedState::Cold,
        AnswerState::Ready => ReportedState::Ready,
        AnswerState::Draining => ReportedState::Draining,
    };
    HealthReport { state, load }
}

async fn ask(target: &Target) -> Option<Answer> {
    let mut exchange = target.connect().await.ok()?;
    let body = Empty::<Bytes>::new()
        .map_err(|never| match never {})
        .boxed_unsync();
    let request = Request::get("/health")
        .header(header::HOST, "target")
        .body(body)
        .ok()?;
    let response = exchange.send(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_ANSWER)
        .collect()
        .await
        .ok()?
        .to_bytes();
    exchange.complete();
    serde_json::from_slice(&body).ok()
}
