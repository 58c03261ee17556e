//! HTTP/1.1 server and client of the stand-ins and their tests.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use derive_more::{Display, Error as StdError};
use http::header::CONTENT_TYPE;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::error::Error;

/// Most open connections of one server; further ones are closed at once. A target with 2,000
/// connections from its agent, and control requests, stays well below.
pub const MAX_CONNECTIONS: usize = 8192;

/// Body of a response; an error closes the connection before the body is complete.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Result of a handler; `Err` closes the connection without a reply.
pub type Reply = Result<Response<Body>, NoReply>;

/// The connection is closed without a reply.
#[derive(Clone, Copy, Debug, Display, StdError, PartialEq, Eq)]
#[display("connection closed without a reply")]
pub struct NoReply;

/// Running server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `port` of 127.0.0.1, 0 for a free one, and answers each request with `handler`.
    ///
    /// # Errors
    /// Returns an error when the port is taken.
    pub async fn start<H, F>(port: u16, handler: H) -> Result<Self, Error>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))
            .await
            .map_err(Error::socket("listen for HTTP"))?;
        let address = listener
            .local_addr()
            .map_err(Error::socket("read the HTTP address"))?;
        let task = tokio::spawn(accept_connections(listener, handler));
        Ok(Self { address, task })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if connections.len() < MAX_CONNECTIONS => {
                    connections.spawn(serve_connection(stream, handler.clone()));
                }
                Ok(_) => log::warn!("standin: closed a connection: {MAX_CONNECTIONS} are open"),
                Err(error) => log::warn!("standin: accepting a connection failed: {error}"),
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Reply>,
{
    // Nagle's algorithm would delay small replies until the peer's delayed acknowledgement.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("standin: set_nodelay failed: {error}");
    }
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service_fn(handler))
        .await;
    if let Err(error) = served {
        log::debug!("standin: connection failed: {error}");
    }
}

/// Body of known content.
fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Response with a status and no body.
pub fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = code;
    response
}

/// Response with a JSON body.
///
/// # Panics
/// Panics when `value` has no JSON form, such as a map whose keys are not strings.
pub fn json(code: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("reply values have a JSON form");
    Response::builder()
        .status(code)
        .header(CONTENT_TYPE, "application/json")
        .body(full_body(text.into()))
        .expect("status and header are valid")
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// Returns the response to send: 413 for a longer body, 400 for an incomplete one.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Response<Body>> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(status(StatusCode::PAYLOAD_TOO_LARGE)),
        Err(_) => Err(status(StatusCode::BAD_REQUEST)),
    }
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
/// Returns the response to send: 413 for a longer body, 400 for an incomplete one, 400 with the
/// reason for malformed JSON.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    limit: usize,
) -> Result<T, Response<Body>> {
    let text = read_body(body, limit).await?;
    serde_json::from_slice(&text).map_err(|fault| {
        let reply = serde_json::json!({ "error": fault.to_string() });
        json(StatusCode::BAD_REQUEST, &reply)
    })
}

/// Sends one request on a new connection and reads the complete response.
///
/// # Errors
/// Returns an error when the connection fails or is closed before the response is complete.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> io::Result<Response<Bytes>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let exchange = async {
        let (head, body) = sender.send_request(request).await?.into_parts();
        let bytes = body.collect().await?.to_bytes();
        Ok(Response::from_parts(head, bytes))
    };
    tokio::pin!(connection, exchange);
    let done: hyper::Result<_> = tokio::select! {
        biased;
        done = &mut exchange => done,
        _ = &mut connection => exchange.await,
    };
    done.map_err(io::Error::other)
}
