//! Holds, checks and uploads: attempts, retries and the check of the response.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::exchange::{Failure, exchange};
use super::pool::Pool;
use super::report::{Entry, Outcome};

/// Most retries of a flow or request that was refused as not run.
pub const MAX_RETRIES: u32 = 3;

/// Delay before the first retry; doubles with each further one.
pub const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Request with an idempotency key.
#[derive(Clone, Debug)]
pub(super) struct KeyedRequest {
    pub class: &'static str,
    pub method: Method,
    pub path: String,
    pub key: String,
    pub body: Bytes,
    /// JSON field of the response, and its value if the response belongs to this request.
    pub expected: (&'static str, String),
    /// Position of the connection in the pool, modulo the number of connections.
    pub index: usize,
    /// Whether the request is sent once more after a broken attempt.
    pub resend: bool,
}

/// Sends a request, with its retries, and records its outcome.
pub(super) async fn run(pool: &Pool, request: KeyedRequest) {
    let started_at = Instant::now();
    pool.report().record_start(request.class);
    let outcome = run_attempts(pool, &request).await;
    let mut report = pool.report();
    report.record_outcome(request.class, outcome, started_at.elapsed());
    report.requests.push(Entry {
        class: request.class.to_owned(),
        key: request.key,
        outcome,
    });
}

async fn run_attempts(pool: &Pool, request: &KeyedRequest) -> Outcome {
    let mut delay = RETRY_DELAY;
    let mut retries = 0;
    let mut resent = false;
    let mut earlier_outcome = None;
    loop {
        let outcome = attempt(pool, request).await;
        match outcome {
            Outcome::Refused if retries < MAX_RETRIES => {
                retries += 1;
                pool.report().record_retry(request.class);
                sleep(delay).await;
                delay *= 2;
            }
            Outcome::Broken if request.resend && !resent => {
                resent = true;
                earlier_outcome = Some(outcome);
            }
            // A refusal says nothing about an earlier attempt whose outcome is not known.
            Outcome::Refused => return earlier_outcome.unwrap_or(outcome),
            _ => return outcome,
        }
    }
}

async fn attempt(pool: &Pool, request: &KeyedRequest) -> Outcome {
    loop {
        let Ok(connection) = pool.get(request.index).await else {
            return Outcome::Refused;
        };
        let head = request_head(pool, request);
        return match exchange(pool, &connection, head, request.body.clone()).await {
            Ok(response) => check_response(request, &response),
            Err(Failure::NotSent) => continue,
            Err(Failure::Rejected) => Outcome::Refused,
            Err(Failure::Evacuated) => Outcome::GivenUp,
            Err(Failure::Broken) => Outcome::Broken,
        };
    }
}

fn request_head(pool: &Pool, request: &KeyedRequest) -> Request<()> {
    let authority = &pool.settings.server_name;
    Request::builder()
        .method(request.method.clone())
        .uri(format!("https://{authority}{}", request.path))
        .header("idempotency-key", &request.key)
        .header("content-length", request.body.len())
        .body(())
        .expect("method, path and key are valid")
}

fn check_response(request: &KeyedRequest, response: &Response<Bytes>) -> Outcome {
    match status_outcome(response) {
        Some(outcome) => outcome,
        None if is_own_response(request, response.body()) => Outcome::Answered,
        None => {
            log::warn!(
                "caller: response to {} has a wrong key or digest",
                request.key
            );
            Outcome::Broken
        }
    }
}

/// Outcome according to the status; none for success, which needs a check of the body.
pub(super) fn status_outcome<T>(response: &Response<T>) -> Option<Outcome> {
    let has_outcome = |text| {
        response
            .headers()
            .get("x-outcome")
            .is_some_and(|value| value == text)
    };
    match response.status() {
        status if status.is_success() => None,
        StatusCode::SERVICE_UNAVAILABLE if has_outcome("not-run") => Some(Outcome::Refused),
        StatusCode::GATEWAY_TIMEOUT if has_outcome("unknown") => Some(Outcome::Unknown),
        _ => Some(Outcome::Failed),
    }
}

fn is_own_response(request: &KeyedRequest, body: &[u8]) -> bool {
    let (field, expected) = &request.expected;
    serde_json::from_slice::<Value>(body)
        .is_ok_and(|value| value[*field].as_str() == Some(expected))
}
