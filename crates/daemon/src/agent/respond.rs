//! Responses to callers.

use bytes::Bytes;
use h3::error::Code;
use h3::server::RequestStream;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use monsoon_metrics::Outcome;
use tokio::sync::mpsc;

use crate::peer::{ResponseFrame, ResponseHead};

/// Sending half of a request's stream.
pub type ResponseSender = RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;

/// Header that says what happened to a request whose response is not the target's.
const OUTCOME_HEADER: &str = "x-outcome";

/// Headers that apply to one connection and are not forwarded.
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header applies to one connection and is not forwarded.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Error that the agent sends instead of a response of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorReply {
    /// The request was not run; the caller may send it again.
    NotRun,
    /// The request may have run; a caller must check before it sends it again.
    Unknown,
    /// No class of the service matches method and path.
    NoClass,
    /// A non-idempotent request has no idempotency key.
    NoKey,
}

impl ErrorReply {
    fn status(self) -> StatusCode {
        match self {
            Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
            Self::NoClass => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::BAD_REQUEST,
        }
    }

    fn outcome(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::NotRun | Self::NoClass | Self::NoKey => "not-run",
        }
    }

    fn text(self) -> &'static str {
        match self {
            Self::NotRun => "not run: no target can take the request now; send it again later\n",
            Self::Unknown => "unknown: the request may have run; check before you send it again\n",
            Self::NoClass => "not run: the service has no such path; check method and path\n",
            Self::NoKey => "not run: add the header idempotency-key to this request\n",
        }
    }
}

/// Sends an error reply. A caller that has closed its stream is ignored.
pub async fn send_error(sender: ResponseSender, reply: ErrorReply) -> Outcome {
    send_text(sender, reply.status(), reply.outcome(), reply.text()).await;
    match reply {
        ErrorReply::Unknown => Outcome::Unknown,
        _ => Outcome::Refused,
    }
}

/// Answers a request that the caller sent again, with the `status` of its first response and without
/// a body.
pub async fn send_replay(sender: ResponseSender, status: u16) -> Outcome {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    send_text(sender, status, "replayed", "").await;
    Outcome::Answered
}

async fn send_text(
    mut sender: ResponseSender,
    status: StatusCode,
    outcome: &'static str,
    text: &'static str,
) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if sender.send_response(response).await.is_err() {
        return;
    }
    if sender
        .send_data(Bytes::from_static(text.as_bytes()))
        .await
        .is_err()
    {
        return;
    }
    if let Err(error) = sender.finish().await {
        log::debug!("agent: the reply to a caller was not delivered: {error}");
    }
}

/// Forwards the response of a target to the caller.
pub async fn forward_response(
    mut sender: ResponseSender,
    head: &ResponseHead,
    replies: &mut mpsc::Receiver<ResponseFrame>,
) -> Outcome {
    let Ok(response) = response_head(head) else {
        return send_error(sender, ErrorReply::Unknown).await;
    };
    if sender.send_response(response).await.is_err() {
        return Outcome::Cancelled;
    }
    loop {
        match replies.recv().await {
            Some(ResponseFrame::Data(data)) => {
                if sender.send_data(data).await.is_err() {
                    return Outcome::Cancelled;
                }
            }
            Some(ResponseFrame::End) => break,
            _ => {
                // A reset, so that the caller does not take an incomplete response for a complete one.
                sender.stop_stream(Code::H3_INTERNAL_ERROR);
                return Outcome::Unknown;
            }
        }
    }
    match sender.finish().await {
        Ok(()) => Outcome::Answered,
        Err(_) => Outcome::Cancelled,
    }
}

fn response_head(head: &ResponseHead) -> Result<Response<()>, http::Error> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(head.status)?;
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes())?;
        let value = HeaderValue::from_bytes(value)?;
        response.headers_mut().append(name, value);
    }
    Ok(response)
}
