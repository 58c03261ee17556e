//! Minimal HTTP/1.1 server with limits on connections, sizes and times.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Concurrent connections of one listener; further ones wait in its backlog.
const MAX_CONNECTIONS: usize = 64;
/// Largest request body. A heartbeat has a few hundred bytes.
const MAX_BODY_BYTES: usize = 16_384;
/// Time to receive the head of a request, including the idle time before it. Longer than the
/// heartbeat interval, so that targets can keep a connection open.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Request whose body is complete.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub body: Bytes,
}

/// Status, content type and body of a response.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub status: StatusCode,
    pub content_type: &'static str,
    pub body: Bytes,
}

impl Reply {
    /// Response with an empty JSON object as body.
    pub(crate) fn status(status: StatusCode) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: Bytes::from_static(b"{}"),
        }
    }
}

/// Serves requests until the process ends.
pub(crate) async fn serve<F>(
    listener: Arc<TcpListener>,
    handler: Arc<impl Fn(ReceivedRequest) -> F + Send + Sync + 'static>,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("http: connection not accepted: {error}");
                // Without free descriptors, the next attempt would fail at once.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(move |request| respond(request, Arc::clone(&handler)));
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("http: connection ended: {error}");
            }
            drop(permit);
        });
    }
}

async fn respond<F>(
    request: Request<Incoming>,
    handler: Arc<impl Fn(ReceivedRequest) -> F>,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    F: Future<Output = Reply>,
{
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect();
    let reply = match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => {
            let received = ReceivedRequest {
                method: parts.method,
                path: parts.uri.path().to_owned(),
                query: parts.uri.query().unwrap_or_default().to_owned(),
                body: body.to_bytes(),
            };
            handler(received).await
        }
        Ok(Err(error)) => {
            log::warn!("http: request body not read: {error}");
            Reply::status(StatusCode::BAD_REQUEST)
        }
        Err(_) => Reply::status(StatusCode::REQUEST_TIMEOUT),
    };
    let mut response = Response::new(Full::from(reply.body));
    *response.status_mut() = reply.status;
    let content_type = http::HeaderValue::from_static(reply.content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    Ok(response)
}
