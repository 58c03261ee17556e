//! Responses to callers.

use bytes::Bytes;
use h3::error::Code;
use h3::server::RequestStream;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};

/// Sending half of a request's stream.
pub type Sender = RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;

/// Header that tells what became of a request that the target did not answer.
const OUTCOME: &str = "x-outcome";

/// Headers that concern one connection and are not passed on.
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header concerns only one connection.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Response of the service itself, without the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request was not run; the caller may send it again.
    NotRun,
    /// The request may have run.
    Unknown,
    /// No class of the service fits.
    NoClass,
    /// A non-idempotent request lacks its key.
    NoKey,
    /// The request cannot be read.
    Malformed,
}

impl Refusal {
    fn status(self) -> StatusCode {
        match self {
            Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
            Self::NoClass => StatusCode::NOT_FOUND,
            Self::NoKey | Self::Malformed => StatusCode::BAD_REQUEST,
        }
    }

    fn outcome(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::NotRun | Self::NoClass | Self::NoKey | Self::Malformed => "not-run",
        }
    }

    fn text(self) -> &'static str {
        match self {
            Self::NotRun => "not run: no target can take the request now; send it again later\n",
            Self::Unknown => "unknown: the request may have run; check before you send it again\n",
            Self::NoClass => "not run: the service has no such path; check method and path\n",
            Self::NoKey => "not run: add the header idempotency-key to this request\n",
            Self::Malformed => "not run: the request cannot be read; check its headers\n",
        }
    }
}

/// Sends a refusal; a caller that has gone away needs none.
pub async fn refuse(mut sender: Sender, refusal: Refusal) {
    let mut response = Response::new(());
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(refusal.outcome()));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if sender.send_response(response).await.is_err() {
        return;
    }
    if sender.send_data(Bytes::from_static(refusal.text().as_bytes())).await.is_err() {
        return;
    }
    if let Err(error) = sender.finish().await {
        log::debug!("agent: refusal was not delivered: {error}");
    }
}

/// Head of a target's response, without the headers that concern only its connection.
pub fn head(status: StatusCode, headers: &HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    for (name, value) in headers {
        if !is_hop_by_hop(name.as_str()) {
            response.headers_mut().append(name, value.clone());
        }
    }
    response
}

/// Aborts a response whose rest is lost, so that the caller does not take it for whole.
pub fn abort(mut sender: Sender) {
    sender.stop_stream(Code::H3_INTERNAL_ERROR);
}
