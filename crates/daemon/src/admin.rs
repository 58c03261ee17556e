//! Read-only admin listener, which serves JSON pages over HTTP.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Most connections served at the same time; further ones wait in the listener's queue.
const MAX_CONNECTIONS: usize = 16;
/// Time after which a connection is closed, whether or not its response was read.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the pages until the process ends. `page` returns the JSON of a path, `None` for an unknown
/// one.
pub async fn serve(
    listener: TcpListener,
    page: impl Fn(&str) -> Option<Value> + Send + Sync + 'static,
) {
    let page = Arc::new(page);
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let page = Arc::clone(&page);
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = respond(&request, page.as_ref());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), service);
            if let Ok(Err(error)) = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await {
                log::debug!("admin: connection closed by an error: {error}");
            }
            drop(permit);
        });
    }
}

fn respond(
    request: &Request<Incoming>,
    page: &impl Fn(&str) -> Option<Value>,
) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return text_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "the admin listener is read-only; use GET\n",
        );
    }
    let Some(value) = page(request.uri().path()) else {
        return text_response(
            StatusCode::NOT_FOUND,
            "unknown page; the pages are /status, /counters and /histograms\n",
        );
    };
    let mut response = Response::new(Full::from(format!("{value}\n")));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}
