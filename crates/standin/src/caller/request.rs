//! Holds, checks and uploads: attempts and the check of the response.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::exchange::{Failure, exchange};
use super::ledger::{Entry, Outcome};
use super::link::Links;

/// Repetitions of a request that was refused as not run.
pub const RETRIES: u32 = 3;

/// Delay before the first repetition; doubles with each further one.
pub const RETRY_DELAY: Duration = Duration::from_millis(50);

/// One request with a key.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub class: &'static str,
    pub method: Method,
    pub path: String,
    pub key: String,
    pub body: Bytes,
    /// Field of the response and the value that shows that it belongs to this request.
    pub proof: (&'static str, String),
    /// Position of the connection.
    pub index: usize,
    /// Whether the request is sent again when it broke.
    pub resend: bool,
}

/// Runs a request to its end and records it.
pub(super) async fn run(links: &Links, job: Job) {
    let started = Instant::now();
    links.ledger().begin(job.class);
    let outcome = attempts(links, &job).await;
    let mut ledger = links.ledger();
    ledger.finish(job.class, outcome, started.elapsed());
    ledger.requests.push(Entry {
        class: job.class.to_owned(),
        key: job.key,
        outcome,
    });
}

async fn attempts(links: &Links, job: &Job) -> Outcome {
    let mut delay = RETRY_DELAY;
    let mut retries = 0;
    let mut resent = false;
    let mut uncertain = None;
    loop {
        let outcome = attempt(links, job).await;
        match outcome {
            Outcome::Refused if retries < RETRIES => {
                retries += 1;
                links.ledger().retry(job.class);
                sleep(delay).await;
                delay *= 2;
            }
            Outcome::Broken if job.resend && !resent => {
                resent = true;
                uncertain = Some(outcome);
            }
            // A refusal says nothing about an earlier attempt whose end is not known.
            Outcome::Refused => return uncertain.unwrap_or(outcome),
            _ => return outcome,
        }
    }
}

async fn attempt(links: &Links, job: &Job) -> Outcome {
    loop {
        let Ok(link) = links.get(job.index).await else {
            return Outcome::Refused;
        };
        let head = head(links, job);
        return match exchange(links, &link, head, job.body.clone()).await {
            Ok(response) => judge(job, &response),
            Err(Failure::NotSent) => continue,
            Err(Failure::Rejected) => Outcome::Refused,
            Err(Failure::GivenUp) => Outcome::GivenUp,
            Err(Failure::Broken) => Outcome::Broken,
        };
    }
}

fn head(links: &Links, job: &Job) -> Request<()> {
    let authority = &links.settings.server_name;
    Request::builder()
        .method(job.method.clone())
        .uri(format!("https://{authority}{}", job.path))
        .header("idempotency-key", &job.key)
        .header("content-length", job.body.len())
        .body(())
        .expect("method, path and key are valid")
}

fn judge(job: &Job, response: &Response<Bytes>) -> Outcome {
    match status_outcome(response) {
        Some(outcome) => outcome,
        None if is_own(job, response.body()) => Outcome::Answered,
        None => {
            log::warn!("caller: key {} got another response", job.key);
            Outcome::Broken
        }
    }
}

/// Outcome that the status gives; none for success.
pub(super) fn status_outcome<T>(response: &Response<T>) -> Option<Outcome> {
    let says = |text| {
        response
            .headers()
            .get("x-outcome")
            .is_some_and(|value| value == text)
    };
    match response.status() {
        status if status.is_success() => None,
        StatusCode::SERVICE_UNAVAILABLE if says("not-run") => Some(Outcome::Refused),
        StatusCode::GATEWAY_TIMEOUT if says("unknown") => Some(Outcome::Unknown),
        _ => Some(Outcome::Failed),
    }
}

fn is_own(job: &Job, body: &[u8]) -> bool {
    let (field, expected) = &job.proof;
    serde_json::from_slice::<Value>(body)
        .is_ok_and(|value| value[*field].as_str() == Some(expected))
}
