//! HTTP endpoints of a process.

use std::pin::Pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{Method, StatusCode};
use monsoon_flow::Heartbeat;
use tokio::sync::oneshot;

use crate::explain::EXPLAIN_PATH;
use crate::http::{ReceivedRequest, Reply};
use crate::message::{Message, MessageSender};
use crate::{RejectedEntry, TargetCall, peers};

/// Largest difference between the time of day here and at a target.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_hours(24);

type ReplyFuture = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Answers at any path whether the process takes new flows: 200 or 503.
pub(crate) fn readiness(
    messages: MessageSender,
) -> impl Fn(ReceivedRequest) -> ReplyFuture + Send + Sync + 'static {
    move |_| {
        let messages = messages.clone();
        Box::pin(async move {
            let status = match query(&messages, Message::Readiness).await {
                Some(true) => StatusCode::OK,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            Reply::status(status)
        })
    }
}

/// Serves the configuration to other processes, explanations, and metrics.
pub(crate) fn configuration_and_metrics(
    messages: MessageSender,
) -> impl Fn(ReceivedRequest) -> ReplyFuture + Send + Sync + 'static {
    move |request| {
        let messages = messages.clone();
        Box::pin(async move {
            let resource = match request.path.as_str() {
                peers::CONFIGURATION_PATH => {
                    let known = peers::parse_versions(&request.query);
                    query(&messages, |reply| Message::Configuration(known, reply))
                        .await
                        .map(|body| ("application/octet-stream", body))
                }
                "/metrics" => query(&messages, Message::Metrics)
                    .await
                    .map(|text| ("text/plain; version=0.0.4", Bytes::from(text))),
                EXPLAIN_PATH if request.method != Method::GET => {
                    return Reply::status(StatusCode::METHOD_NOT_ALLOWED);
                }
                EXPLAIN_PATH => {
                    let answer =
                        query(&messages, |reply| Message::Explain(request.query, reply)).await;
                    return answer.unwrap_or(Reply::status(StatusCode::SERVICE_UNAVAILABLE));
                }
                _ => None,
            };
            resource.map_or(
                Reply::status(StatusCode::NOT_FOUND),
                |(content_type, body)| Reply {
                    status: StatusCode::OK,
                    content_type,
                    body,
                },
            )
        })
    }
}

/// Receives heartbeats of the target. A heartbeat is acknowledged once it has taken effect.
pub(crate) fn heartbeats(
    messages: MessageSender,
    parse_call: fn(&Method, &str, &[u8]) -> TargetCall,
) -> impl Fn(ReceivedRequest) -> ReplyFuture + Send + Sync + 'static {
    move |request| {
        let messages = messages.clone();
        Box::pin(async move {
            let applied = match parse_call(&request.method, &request.path, &request.body) {
                TargetCall::Heartbeat(heartbeat) if starts_in_future(&heartbeat) => {
                    let reason = format!("born={} lies in the future", heartbeat.started_ms);
                    return reject_heartbeat(&messages, request.path, reason).await;
                }
                TargetCall::Heartbeat(heartbeat) => {
                    query(&messages, |reply| Message::Heartbeat(heartbeat, reply)).await
                }
                TargetCall::Ended(id) => {
                    query(&messages, |reply| Message::TargetEnded(id, reply)).await
                }
                TargetCall::Malformed(reason) => {
                    return reject_heartbeat(&messages, request.path, reason).await;
                }
                TargetCall::Unknown => return Reply::status(StatusCode::NOT_FOUND),
            };
            Reply::status(match applied {
                Some(()) => StatusCode::OK,
                None => StatusCode::SERVICE_UNAVAILABLE,
            })
        })
    }
}

/// Whether a target claims a start that no difference of clocks explains. Such a heartbeat would
/// count as newer than any later one of the real target.
fn starts_in_future(heartbeat: &Heartbeat) -> bool {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let latest = now.unwrap_or_default() + MAX_CLOCK_DIFFERENCE;
    u128::from(heartbeat.started_ms) > latest.as_millis()
}

async fn reject_heartbeat(messages: &MessageSender, path: String, reason: String) -> Reply {
    let entry = RejectedEntry {
        name: Some(path),
        reason,
    };
    // Sending fails only when the process ends.
    let _ = messages
        .send(Message::Rejected("heartbeats", vec![entry]))
        .await;
    Reply::status(StatusCode::BAD_REQUEST)
}

/// Sends a message to the task that owns the state and waits for its reply; `None` when the process
/// ends.
async fn query<T>(
    messages: &MessageSender,
    message: impl FnOnce(oneshot::Sender<T>) -> Message,
) -> Option<T> {
    let (reply, response) = oneshot::channel();
    messages.send(message(reply)).await.ok()?;
    response.await.ok()
}
