//! HTTP/1.1 client for the local target.
//!
//! The error type says whether the target may have received the request, because only a request
//! that was certainly not sent may run elsewhere.
//!
//! Each connection carries one request. HTTP/1.1 does not tell to which request a response belongs,
//! so a target that repeats a response late would answer the next request of a reused connection
//! with it. Closing the connection early cancels the request at the target.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Longest wait for a TCP connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Body of a request to the target.
pub type RequestBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Reason why a request got no response from the target.
#[derive(Debug, Display, Error)]
pub enum TargetError {
    /// The target did not receive the request.
    #[display(
        "target {address} is unreachable and the request was not run: {reason}; check that the target runs"
    )]
    NotRun {
        /// Address of the target.
        address: SocketAddr,
        /// Error of the connection attempt.
        reason: String,
    },
    /// The request was sent and its outcome is unknown.
    #[display(
        "connection to target {address} broke before the response, so the outcome of the request is unknown: {reason}; check the log of the target"
    )]
    Unknown {
        /// Address of the target.
        address: SocketAddr,
        /// Error of the connection.
        reason: String,
    },
}

/// Client of the local target.
#[derive(Clone, Debug)]
pub struct Target {
    address: SocketAddr,
}

impl Target {
    /// Client of the target at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Opens a connection for one request.
    ///
    /// # Errors
    /// Returns [`TargetError::NotRun`] when no connection can be made.
    pub async fn connect(&self) -> Result<Exchange, TargetError> {
        let not_run = |reason: String| TargetError::NotRun {
            address: self.address,
            reason,
        };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_elapsed| not_run("the connection attempt timed out".into()))?
            .map_err(|error| not_run(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| not_run(error.to_string()))?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_run(error.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("target: connection closed by an error: {error}");
            }
        });
        Ok(Exchange {
            address: self.address,
            sender,
            driver: task.abort_handle(),
        })
    }
}

/// One request and its response on a connection of their own; dropping it before the response was
/// read cancels the request.
#[derive(Debug)]
pub struct Exchange {
    address: SocketAddr,
    sender: SendRequest<RequestBody>,
    driver: AbortHandle,
}

impl Exchange {
    /// Sends the request and waits for the head of the response.
    ///
    /// # Errors
    /// Returns [`TargetError::NotRun`] when the connection had closed before the request was
    /// written, [`TargetError::Unknown`] otherwise.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, TargetError> {
        let address = self.address;
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                let reason = error.error().to_string();
                // The error contains the request only if no byte of it was written.
                if error.take_message().is_some() {
                    TargetError::NotRun { address, reason }
                } else {
                    TargetError::Unknown { address, reason }
                }
            })
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[cfg(test)]
mod tests;
