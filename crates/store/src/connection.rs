//! One exchange over a fresh connection.
//!
//! Each call opens its own connection. Calls are rare (watches last 30 s), and a fresh connection
//! makes it certain whether a request was sent, which a pooled one that breaks does not.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Time to establish a connection; the store is near and answers in milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest response body, in bytes: an object of 1 MB and room for its envelope.
pub const MAX_BODY: usize = 1_100_000;

/// Idle time after which a connection is probed. A watch is silent for long, and only probes show
/// that a link went silent for good.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);
/// Interval of probes.
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is given up.
const KEEPALIVE_PROBES: u32 = 2;

/// Complete response.
#[derive(Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Failure of an exchange.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ExchangeError {
    /// Connection was not established, so nothing was sent.
    #[display("{address}: {reason}")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// Failure after the request may have been sent.
    #[display("{address}: {reason}")]
    Broken {
        /// Address of the server.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
}

/// Sends a request and reads the complete response within `limit`, connecting included.
///
/// # Errors
/// Returns whether the request was surely not sent or the outcome is unknown.
pub async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response, ExchangeError> {
    let stream = match timeout(CONNECT_TIMEOUT.min(limit), TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(connect(address, &error)),
        Err(_) => return Err(connect(address, &"connecting timed out")),
    };
    if let Err(error) = keep_alive(&stream) {
        return Err(connect(address, &error));
    }
    match timeout(limit, talk(stream, request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(reason)) => Err(ExchangeError::Broken { address, reason }),
        Err(_) => Err(ExchangeError::Broken {
            address,
            reason: "no answer in time".to_owned(),
        }),
    }
}

fn keep_alive(stream: &TcpStream) -> std::io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_EVERY)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

fn connect(address: SocketAddr, reason: &impl ToString) -> ExchangeError {
    ExchangeError::Connect {
        address,
        reason: reason.to_string(),
    }
}

async fn talk(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<Response, String> {
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
    // The set ends the connection task when the call is dropped.
    let mut tasks = JoinSet::new();
    tasks.spawn(connection);
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| error.to_string())?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_BODY)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    Ok(Response {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}
