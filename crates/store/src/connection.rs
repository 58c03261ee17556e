//! Exchange of one request and response over a new connection.
//!
//! Each call opens its own connection. Calls are rare (a watch lasts 30 s), and with a new
//! connection it is certain whether a request was sent. With a pooled connection that breaks it
//! isn't.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Timeout of connecting; the store is near and answers in milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest response body in bytes: a page of 1 MiB whose last object has another MiB, with room for
/// the JSON around them and for escapes.
pub const MAX_BODY: usize = 4 << 20;

/// Idle time after which TCP keepalive probes start. A watch receives nothing for a long time, and
/// only probes show that its link has failed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Complete response.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// Whole body, at most [`MAX_BODY`] bytes.
    pub body: Bytes,
}

/// Failure of an exchange.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection was not established, so nothing was sent.
    #[display("{address}: {reason}")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The body of the response exceeds the limit. The request was handled.
    #[display("{address}: the response has more than {limit} bytes")]
    TooLarge {
        /// Address of the server.
        address: SocketAddr,
        /// Largest body in bytes.
        limit: usize,
    },
    /// The exchange failed after the request may have been sent.
    #[display("{address}: {reason}")]
    Broken {
        /// Address of the server.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
}

/// Sends a request and reads the complete response. Connecting may take [`CONNECT_TIMEOUT`], and
/// the exchange after it `limit`.
///
/// # Errors
/// The error tells whether the request was certainly not sent or the outcome is unknown.
pub async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response, ExchangeError> {
    let stream = match timeout(CONNECT_TIMEOUT.min(limit), TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(connect_error(address, &error)),
        Err(_) => return Err(connect_error(address, &"connecting timed out")),
    };
    if let Err(error) = enable_keepalive(&stream) {
        return Err(connect_error(address, &error));
    }
    match timeout(limit, send(stream, request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(SendError::TooLarge)) => Err(ExchangeError::TooLarge {
            address,
            limit: MAX_BODY,
        }),
        Ok(Err(SendError::Broken(reason))) => Err(ExchangeError::Broken { address, reason }),
        Err(_) => Err(ExchangeError::Broken {
            address,
            reason: "no answer in time".to_owned(),
        }),
    }
}

fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

fn connect_error(address: SocketAddr, reason: &impl ToString) -> ExchangeError {
    ExchangeError::Connect {
        address,
        reason: reason.to_string(),
    }
}

/// Failure after the connection was established.
enum SendError {
    TooLarge,
    Broken(String),
}

impl SendError {
    fn broken(error: &impl ToString) -> Self {
        Self::Broken(error.to_string())
    }
}

async fn send(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<Response, SendError> {
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| SendError::broken(&error))?;
    // Dropping the set when the call is dropped ends the connection task.
    let mut tasks = JoinSet::new();
    tasks.spawn(connection);
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| SendError::broken(&error))?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_BODY).collect().await;
    let body = body.map_err(|error| {
        if error.is::<LengthLimitError>() {
            SendError::TooLarge
        } else {
            SendError::broken(&error)
        }
    })?;
    Ok(Response {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}
