//! Requests of callers: reads the head of a request from its HTTP/3 stream and starts its driver.

use std::sync::Arc;

use bytes::{Buf, Bytes};
use h3::server::{RequestResolver, RequestStream};
use http::Request;
use monsoon_model::ServiceId;
use tokio::sync::mpsc;

use super::driver::{CallerRequest, drive};
use super::flows::Flow;
use super::respond::{self, ErrorReply};
use super::{Agent, claims};
use crate::peer::{ExecuteHead, RequestFrame};

/// Header that identifies a non-idempotent request when its caller sends it again.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Receiving half of a request's stream.
pub type BodyReceiver = RequestStream<h3_quinn::RecvStream, Bytes>;
type Resolver = RequestResolver<h3_quinn::Connection, Bytes>;

/// Serves one request of `flow`.
pub async fn serve(agent: Arc<Agent>, flow: Flow, resolver: Resolver) {
    let (request, stream) = match resolver.resolve_request().await {
        Ok(parts) => parts,
        Err(error) => return log::debug!("agent: the head of a request cannot be read: {error}"),
    };
    let (sender, receiver) = stream.split();
    let Some((class_key, class)) = agent.class_of(request.method().as_str(), request.uri().path())
    else {
        respond::send_error(sender, ErrorReply::NoClass).await;
        return;
    };
    let _guard = (!class.stream).then(|| flow.begin_request());
    let key_hash = request
        .headers()
        .get(IDEMPOTENCY_KEY_HEADER)
        .filter(|_| !class.idempotent)
        .map(|key| claims::key_hash(agent.service, key.as_bytes()));
    if !class.idempotent && key_hash.is_none() {
        respond::send_error(sender, ErrorReply::NoKey).await;
        return;
    }
    let head = head(agent.service, &request);
    drive(CallerRequest {
        agent,
        connection: flow.connection,
        class_key,
        class,
        head,
        key_hash,
        sender,
        receiver,
    })
    .await;
}

fn head(service: ServiceId, request: &Request<()>) -> ExecuteHead {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let headers = request
        .headers()
        .iter()
        .filter(|(name, _)| !respond::is_hop_by_hop(name.as_str()))
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect();
    ExecuteHead {
        service,
        method: request.method().to_string(),
        path: path.to_owned(),
        headers,
        deadline_ms: None,
    }
}

/// Copies the body from the caller's stream. An incomplete body ends without [`RequestFrame::End`].
pub async fn copy_body(mut receiver: BodyReceiver, body: mpsc::Sender<RequestFrame>) {
    loop {
        let frame = match receiver.recv_data().await {
            Ok(Some(mut data)) => RequestFrame::Data(data.copy_to_bytes(data.remaining())),
            Ok(None) => RequestFrame::End,
            Err(error) => {
                log::debug!("agent: the body of a request is incomplete: {error}");
                return;
            }
        };
        let is_last = matches!(frame, RequestFrame::End);
        if body.send(frame).await.is_err() {
            // The request is over. Dropping the receiver asks the caller to stop sending; an
            // explicit stop panics in h3-quinn while a read is pending.
            return;
        }
        if is_last {
            return;
        }
    }
}
