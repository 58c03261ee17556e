//! Runs a request at the local target, for a flow of this agent or for another agent.
//!
//! The frames are the same in both cases. The target receives nothing of the request before the
//! first body frame has arrived, and the other side sends that frame only after it received
//! `Admitted`. If the connection breaks before that frame was sent, the request was not run.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use http::{HeaderName, HeaderValue, Method, Request, Response, Uri, header};
use http_body::Frame;
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::Incoming;
use monsoon_admission::Outcome;
use monsoon_model::{ClassKey, Duration, Instant};
use tokio::sync::mpsc;

use super::Agent;
use super::admission_control::Permit;
use super::respond::is_hop_by_hop;
use super::target::{Exchange, RequestBody, TargetError};
use crate::peer::{ExecuteHead, RequestFrame, ResponseFrame, ResponseHead};

/// Header with the time left until the caller's deadline, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Stream of the frames of a request after its head.
pub type BodyFrames = BoxStream<'static, RequestFrame>;
/// Channel for the frames of a response.
pub type ResponseSink = mpsc::Sender<ResponseFrame>;

/// The receiver of the response frames is gone.
struct Disconnected;

/// Runs one request and sends its response to `replies`. The request is cancelled when the receiver
/// is dropped.
pub async fn run(
    agent: Arc<Agent>,
    class: ClassKey,
    head: ExecuteHead,
    body: BodyFrames,
    replies: ResponseSink,
) {
    let closed = replies.clone();
    let started_at = agent.clock.now();
    tokio::select! {
        _ = admit_and_run(&agent, class, head, body, replies) => {}
        () = closed.closed() => {
            agent.counters.count("request_cancelled");
            log::info!(
                "request: cancelled at the target after {} ms, because its sender gave it up",
                agent.clock.now().since(started_at).as_millis()
            );
        }
    }
}

async fn admit_and_run(
    agent: &Agent,
    class: ClassKey,
    head: ExecuteHead,
    mut body: BodyFrames,
    replies: ResponseSink,
) -> Result<(), Disconnected> {
    let deadline = head
        .deadline_ms
        .map(|left| agent.clock.now() + Duration::from_millis(left));
    let mut permit = match agent.admission_control.admit(class, deadline).await {
        Ok(permit) => permit,
        Err(reason) => {
            log::debug!("admission: request rejected: {reason}");
            agent.counters.count("request_shed");
            return send_frame(
                &replies,
                ResponseFrame::NotRun(agent.admission_control.load()),
            )
            .await;
        }
    };
    // Connecting first lets the request still run elsewhere if the target is down.
    let mut exchange = match agent.target.connect().await {
        Ok(exchange) => exchange,
        Err(error) => return report_failure(agent, &mut permit, &replies, &error).await,
    };
    send_frame(
        &replies,
        ResponseFrame::Admitted(agent.admission_control.load()),
    )
    .await?;
    let Some(first) = body.next().await else {
        return Ok(());
    };
    let request = match build_request(head, deadline, agent.clock.now(), first, body) {
        Ok(request) => request,
        Err(reason) => {
            log::warn!("target: request is not run, its head is not valid HTTP: {reason}");
            return send_frame(
                &replies,
                ResponseFrame::NotRun(agent.admission_control.load()),
            )
            .await;
        }
    };
    match exchange.send(request).await {
        Ok(response) => forward_response(&mut permit, &replies, exchange, response).await,
        Err(error) => report_failure(agent, &mut permit, &replies, &error).await,
    }
}

async fn report_failure(
    agent: &Agent,
    permit: &mut Permit,
    replies: &ResponseSink,
    error: &TargetError,
) -> Result<(), Disconnected> {
    log::warn!("target: {error}");
    permit.set_outcome(Outcome::Failed);
    let frame = match error {
        TargetError::NotRun { .. } => ResponseFrame::NotRun(agent.admission_control.load()),
        TargetError::Unknown { .. } => ResponseFrame::Unknown,
    };
    send_frame(replies, frame).await
}

/// Forwards the response. An incomplete body ends without [`ResponseFrame::End`].
async fn forward_response(
    permit: &mut Permit,
    replies: &ResponseSink,
    exchange: Exchange,
    response: Response<Incoming>,
) -> Result<(), Disconnected> {
    let (parts, mut body) = response.into_parts();
    let is_overloaded = parts.status == http::StatusCode::SERVICE_UNAVAILABLE;
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect();
    let head = ResponseHead {
        status: parts.status.as_u16(),
        headers,
    };
    send_frame(replies, ResponseFrame::Head(head)).await?;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    send_frame(replies, ResponseFrame::Data(data)).await?;
                }
            }
            Err(error) => {
                log::warn!("target: response is incomplete: {error}; check the log of the target");
                permit.set_outcome(Outcome::Failed);
                return Ok(());
            }
        }
    }
    // The connection had to stay open until the whole response was read.
    drop(exchange);
    permit.set_outcome(if is_overloaded {
        Outcome::Failed
    } else {
        Outcome::Ok
    });
    send_frame(replies, ResponseFrame::End).await
}

async fn send_frame(replies: &ResponseSink, frame: ResponseFrame) -> Result<(), Disconnected> {
    replies.send(frame).await.map_err(|_closed| Disconnected)
}

fn build_request(
    head: ExecuteHead,
    deadline: Option<Instant>,
    now: Instant,
    first: RequestFrame,
    rest: BodyFrames,
) -> Result<Request<RequestBody>, http::Error> {
    let mut request = Request::builder()
        .method(Method::from_bytes(head.method.as_bytes())?)
        .uri(Uri::try_from(head.path)?)
        .body(request_body(first, rest))?;
    for (name, value) in head.headers {
        let name = HeaderName::from_bytes(name.as_bytes())?;
        let value = HeaderValue::from_bytes(&value)?;
        request.headers_mut().append(name, value);
    }
    if !request.headers().contains_key(header::HOST) {
        request
            .headers_mut()
            .insert(header::HOST, HeaderValue::from_static("target"));
    }
    if let Some(deadline) = deadline {
        let time_left = deadline.since(now).as_millis();
        request
            .headers_mut()
            .insert(DEADLINE_HEADER, HeaderValue::from(time_left));
    }
    Ok(request)
}

fn request_body(first: RequestFrame, rest: BodyFrames) -> RequestBody {
    if matches!(first, RequestFrame::End) {
        return Empty::new()
            .map_err(|never: Infallible| match never {})
            .boxed_unsync();
    }
    let frames = futures::stream::once(std::future::ready(first))
        .chain(rest)
        .boxed();
    let chunks = futures::stream::unfold(Some(frames), |frames| async move {
        let mut frames = frames?;
        match frames.next().await {
            Some(RequestFrame::Data(data)) => Some((Ok(Frame::data(data)), Some(frames))),
            Some(RequestFrame::End) => None,
            // An error, so that the target does not take an incomplete body for a complete one.
            Some(RequestFrame::Head(_)) | None => Some((Err(incomplete_body()), None)),
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(chunks))
}

fn incomplete_body() -> io::Error {
    io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "the request body of the caller is incomplete",
    )
}
