//! HTTP endpoints of a process.

use std::pin::Pin;

use bytes::Bytes;
use http::{Method, StatusCode};
use tokio::sync::oneshot;

use crate::http::{Received, Reply};
use crate::inbox::{Message, Outlet};
use crate::{TargetCall, peers};

type Answer = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Whether the process takes new flows, at any path.
pub(crate) fn ready(outlet: Outlet) -> impl Fn(Received) -> Answer + Send + Sync + 'static {
    move |_| {
        let outlet = outlet.clone();
        Box::pin(async move {
            let status = match ask(&outlet, Message::Ready).await {
                Some(true) => StatusCode::OK,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            Reply::status(status)
        })
    }
}

/// Configuration for other processes, and metrics.
pub(crate) fn peer(outlet: Outlet) -> impl Fn(Received) -> Answer + Send + Sync + 'static {
    move |request| {
        let outlet = outlet.clone();
        Box::pin(async move {
            let found = match request.path.as_str() {
                peers::PATH => {
                    let own = peers::versions(&request.query);
                    ask(&outlet, |reply| Message::Configuration(own, reply))
                        .await
                        .map(|body| ("application/octet-stream", body))
                }
                "/metrics" => ask(&outlet, Message::Metrics)
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
    outlet: Outlet,
    call: fn(&Method, &str, &[u8]) -> TargetCall,
) -> impl Fn(Received) -> Answer + Send + Sync + 'static {
    move |request| {
        let outlet = outlet.clone();
        Box::pin(async move {
            let counted = match call(&request.method, &request.path, &request.body) {
                TargetCall::Heartbeat(beat) => ask(&outlet, |done| Message::Beat(beat, done)).await,
                TargetCall::Ended(id) => ask(&outlet, |done| Message::Left(id, done)).await,
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
async fn ask<T>(outlet: &Outlet, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    outlet.send(message(reply)).await.ok()?;
    answer.await.ok()
}
