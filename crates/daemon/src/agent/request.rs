//! One request of a caller: from its HTTP/3 stream to a target and back.

use std::sync::Arc;

use bytes::{Buf, Bytes};
use futures::StreamExt;
use h3::error::Code;
use h3::server::{RequestResolver, RequestStream};
use http::{Request, StatusCode};
use monsoon_config::Class;
use monsoon_model::{ClassKey, Instant};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::respond::{self, Refusal, Sender};
use super::{Agent, local};
use crate::peer::{ExecuteHead, RequestFrame, ResponseFrame, ResponseHead};

/// Most frames of one request or response that wait between two tasks.
const FRAME_QUEUE: usize = 8;
/// Header that identifies a non-idempotent request across resends.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

type Receiver = RequestStream<h3_quinn::RecvStream, Bytes>;
type Resolver = RequestResolver<h3_quinn::Connection, Bytes>;

/// Serves one request.
pub async fn serve(agent: Arc<Agent>, resolver: Resolver) {
    let (request, stream) = match resolver.resolve_request().await {
        Ok(resolved) => resolved,
        Err(error) => {
            log::debug!("agent: request cannot be read: {error}");
            return;
        }
    };
    let (sender, receiver) = stream.split();
    let class = agent.class_of(request.method().as_str(), request.uri().path());
    let Some((key, class)) = class else {
        return respond::refuse(sender, Refusal::NoClass).await;
    };
    if !class.idempotent && !request.headers().contains_key(IDEMPOTENCY_KEY) {
        return respond::refuse(sender, Refusal::NoKey).await;
    }
    let started = agent.clock.now();
    let deadline = class.deadline.map(|span| started + span);
    let run = Run { agent: agent.clone(), key, class, started, deadline };
    run.drive(request, sender, receiver).await;
}

/// A request on its way.
struct Run {
    agent: Arc<Agent>,
    key: ClassKey,
    class: Class,
    started: Instant,
    deadline: Option<Instant>,
}

/// One try at one target.
struct Attempt {
    body: mpsc::Sender<RequestFrame>,
    replies: mpsc::Receiver<ResponseFrame>,
}

impl Run {
    async fn drive(self, request: Request<()>, sender: Sender, receiver: Receiver) {
        let head = self.head(&request);
        let mut attempt = self.start_local(head);
        match attempt.replies.recv().await {
            Some(ResponseFrame::Admitted) => {}
            _ => return respond::refuse(sender, Refusal::NotRun).await,
        }
        tokio::spawn(pump_body(receiver, attempt.body.clone()));
        drop(attempt.body);
        match attempt.replies.recv().await {
            Some(ResponseFrame::Head(head)) => self.deliver(sender, head, attempt.replies).await,
            Some(ResponseFrame::NotRun) => respond::refuse(sender, Refusal::NotRun).await,
            _ => respond::refuse(sender, Refusal::Unknown).await,
        }
    }

    fn head(&self, request: &Request<()>) -> ExecuteHead {
        let path = request.uri().path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
        let headers = request
            .headers()
            .iter()
            .filter(|(name, _)| !respond::is_hop_by_hop(name.as_str()))
            .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
            .collect();
        let now = self.agent.clock.now();
        ExecuteHead {
            service: self.agent.service,
            method: request.method().to_string(),
            path: path.to_owned(),
            headers,
            deadline_ms: self.deadline.map(|at| at.since(now).as_millis()),
        }
    }

    fn start_local(&self, head: ExecuteHead) -> Attempt {
        let (body, frames) = mpsc::channel(FRAME_QUEUE);
        let (sender, replies) = mpsc::channel(FRAME_QUEUE);
        let frames = ReceiverStream::new(frames).boxed();
        tokio::spawn(local::run(self.agent.clone(), self.key, head, frames, sender));
        Attempt { body, replies }
    }

    async fn deliver(
        &self,
        mut sender: Sender,
        head: ResponseHead,
        mut replies: mpsc::Receiver<ResponseFrame>,
    ) {
        let Ok(response) = response_head(&head) else {
            return respond::refuse(sender, Refusal::Unknown).await;
        };
        if sender.send_response(response).await.is_err() {
            return;
        }
        loop {
            match replies.recv().await {
                Some(ResponseFrame::Data(data)) => {
                    if sender.send_data(data).await.is_err() {
                        return;
                    }
                }
                Some(ResponseFrame::End) => break,
                _ => return respond::abort(sender),
            }
        }
        if sender.finish().await.is_ok() {
            let latency = self.agent.clock.now().since(self.started);
            self.agent.record(&self.class.name, latency);
        }
    }
}

fn response_head(head: &ResponseHead) -> Result<http::Response<()>, http::Error> {
    let mut response = http::Response::new(());
    *response.status_mut() = StatusCode::from_u16(head.status)?;
    for (name, value) in &head.headers {
        let name = http::HeaderName::from_bytes(name.as_bytes())?;
        let value = http::HeaderValue::from_bytes(value)?;
        response.headers_mut().append(name, value);
    }
    Ok(response)
}

/// Copies the caller's body; a body that breaks off ends without [`RequestFrame::End`].
async fn pump_body(mut receiver: Receiver, body: mpsc::Sender<RequestFrame>) {
    loop {
        let frame = match receiver.recv_data().await {
            Ok(Some(mut data)) => RequestFrame::Data(data.copy_to_bytes(data.remaining())),
            Ok(None) => RequestFrame::End,
            Err(error) => {
                log::debug!("agent: request body broke off: {error}");
                return;
            }
        };
        let last = matches!(frame, RequestFrame::End);
        if body.send(frame).await.is_err() {
            // Nobody reads the rest: the request is over.
            receiver.stop_sending(Code::H3_NO_ERROR);
            return;
        }
        if last {
            return;
        }
    }
}
