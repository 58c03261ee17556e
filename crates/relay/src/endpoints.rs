//! HTTP endpoints of a process.

use std::pin::Pin;

use bytes::Bytes;
use http::{Method, StatusCode};
use tokio::sync::oneshot;

use crate::http::{Received, Reply};
use crate::message::{Message, MessageSender};
use crate::{TargetCall, peers};

type Answer = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Whether the process takes new flows, at any path.
pub(crate) fn ready(
    messages: MessageSender,
) -> impl Fn(Received) -> Answer + Send + Sync + 'static {
    move |_| {
        let messages = messages.clone();
        Box::pin(async move {
            let status = match ask(&messages, Message::Readiness).await {
                Some(true) => StatusCode::OK,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            Reply::status(status)
        })
    }
}

/// Configuration for other processes, and metrics.
pub(crate) fn peer(messages: MessageSender) -> impl Fn(Received) -> Answer + Send + Sync + 'static {
    move |request| {
        let messages = messages.clone();
        Box::pin(async move {
            let found = match request.path.as_str() {
                peers::PATH => {
                    let own = peers::versions(&request.query);
                    ask(&messages, |reply| Message::Configuration(own, reply))
                        .await
                        .map(|body| ("application/octet-stream", body))
                }
                "/metrics" => ask(&messages, Message::Metrics)
                    .await
                    .map(|text| ("text/plain; version=0.0.4", Bytes::from(text))),
                _ => None,
            };
            found.map_or(Reply::status(StatusCode::NOT_FOUND), |(kind, body)| Reply {
                status: StatusCode::OK,
                kind,
                body,
            })
        })
    }
}

/// Heartbeats of the target. A heartbeat is acknowledged once it counts.
pub(crate) fn heartbeats(
    messages: MessageSender,
    call: fn(&Method, &str, &[u8]) -> TargetCall,
) -> impl Fn(Received) -> Answer + Send + Sync + 'static {
    move |request| {
        let messages = messages.clone();
        Box::pin(async move {
            let counted = match call(&request.method, &request.path, &request.body) {
                TargetCall::Heartbeat(beat) => {
                    ask(&messages, |done| Message::Heartbeat(beat, done)).await
                }
                TargetCall::Ended(id) => {
                    ask(&messages, |done| Message::TargetEnded(id, done)).await
                }
                TargetCall::Malformed(reason) => {
                    log::warn!(
                        "heartbeat: malformed path={} reason=\"{reason}\"",
                        request.path
                    );
                    return Reply::status(StatusCode::BAD_REQUEST);
                }
                TargetCall::Unknown => return Reply::status(StatusCode::NOT_FOUND),
            };
            Reply::status(match counted {
                Some(()) => StatusCode::OK,
                None => StatusCode::SERVICE_UNAVAILABLE,
            })
        })
    }
}

/// Asks the owner of the state; `None` when the process ends.
async fn ask<T>(
    messages: &MessageSender,
    message: impl FnOnce(oneshot::Sender<T>) -> Message,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    messages.send(message(reply)).await.ok()?;
    answer.await.ok()
}
