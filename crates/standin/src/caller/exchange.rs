//! One request on one stream, and the classification of its errors.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use h3::client::RequestStream;
use h3::error::{Code, StreamError};
use h3_quinn::{BidiStream, RecvStream, SendStream};
use http::{Request, Response};
use quinn::ConnectionError;
use tokio::time::timeout;

use super::pool::{Connection, Pool};
use super::report::Report;

/// Application close code that an agent sends when its data centre is evacuated.
pub const DATA_CENTRE_EVACUATED: u32 = 0x4d01;

/// Time limit for opening a stream, and again for the exchange on it. The caller then cancels the
/// attempt and counts it as broken.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest part of a request body that is sent at once.
const CHUNK_BYTES: usize = 16_384;

/// Largest response to a request; streams have no such limit.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Reason why an attempt got no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// Nothing was sent, because the connection takes no new requests.
    NotSent,
    /// The service rejected the request without running it.
    Rejected,
    /// The data centre of the agent was evacuated.
    Evacuated,
    /// Any other error or a timeout.
    Broken,
}

/// Opens the stream of a request and sends its head.
pub(super) async fn open(
    connection: &Arc<Connection>,
    request: Request<()>,
) -> Result<RequestStream<BidiStream<Bytes>, Bytes>, Failure> {
    let mut sender = connection.sender.clone();
    match sender.send_request(request).await {
        Ok(stream) => Ok(stream),
        Err(StreamError::RemoteClosing { .. }) => {
            connection.retire();
            Err(Failure::NotSent)
        }
        Err(error) => Err(classify(connection, &error, false)),
    }
}

/// Sends a request with its body and returns the complete response.
pub(super) async fn exchange(
    pool: &Pool,
    connection: &Arc<Connection>,
    request: Request<()>,
    body: Bytes,
) -> Result<Response<Bytes>, Failure> {
    // Opening waits while the peer permits no further streams.
    let opened = timeout(ATTEMPT_TIMEOUT, open(connection, request)).await;
    let (mut upload, mut download) = opened.unwrap_or(Err(Failure::Broken))?.split();
    let mut response_started = false;
    let exchange = send_and_receive(&mut upload, &mut download, body, &mut response_started);
    let ended = timeout(ATTEMPT_TIMEOUT, exchange).await;
    let failure = match ended {
        Ok(Ok(response)) => {
            // Has no effect when the whole body was sent.
            upload.stop_stream(Code::H3_NO_ERROR);
            return Ok(response);
        }
        Ok(Err(error)) => classify(connection, &error, response_started),
        Err(_elapsed) => Failure::Broken,
    };
    // Without a reset the peer takes the dropped stream for the end of a shorter body. The drop
    // also stops the receiving side; an explicit stop panics in h3-quinn while a read is pending.
    upload.stop_stream(Code::H3_REQUEST_CANCELLED);
    count_reset(&mut pool.report(), connection);
    Err(failure)
}

type Upload = RequestStream<SendStream<Bytes>, Bytes>;
type Download = RequestStream<RecvStream, Bytes>;

/// Sends and receives at the same time, because the response may arrive before the body is sent.
async fn send_and_receive(
    upload: &mut Upload,
    download: &mut Download,
    body: Bytes,
    response_started: &mut bool,
) -> Result<Response<Bytes>, StreamError> {
    let sending = send_body(upload, body);
    let receiving = receive(download, response_started);
    tokio::pin!(sending, receiving);
    tokio::select! {
        sent = &mut sending => match sent {
            Err(error) if is_rejected(&error) => Err(error),
            _ => receiving.await,
        },
        received = &mut receiving => received,
    }
}

async fn send_body(upload: &mut Upload, mut body: Bytes) -> Result<(), StreamError> {
    while !body.is_empty() {
        let chunk = body.split_to(body.len().min(CHUNK_BYTES));
        upload.send_data(chunk).await?;
    }
    upload.finish().await
}

/// Receives a whole response; sets `response_started` when its head has arrived.
async fn receive(
    download: &mut Download,
    response_started: &mut bool,
) -> Result<Response<Bytes>, StreamError> {
    let (head, ()) = download.recv_response().await?.into_parts();
    *response_started = true;
    let mut body = BytesMut::new();
    while let Some(mut data) = download.recv_data().await? {
        if body.len() + data.remaining() > MAX_RESPONSE_BYTES {
            // The check of the content detects the truncated body.
            break;
        }
        body.extend_from_slice(&data.copy_to_bytes(data.remaining()));
    }
    Ok(Response::from_parts(head, body.freeze()))
}

fn is_rejected(error: &StreamError) -> bool {
    matches!(error, StreamError::RemoteTerminate { code, .. } if *code == Code::H3_REQUEST_REJECTED)
}

/// Classifies a stream error. A rejection after the start of the response counts as broken, because
/// the request has run at least in part.
pub(super) fn classify(
    connection: &Connection,
    error: &StreamError,
    response_started: bool,
) -> Failure {
    if is_rejected(error) && !response_started {
        return Failure::Rejected;
    }
    match connection.quic.close_reason() {
        Some(ConnectionError::ApplicationClosed(close))
            if close.error_code == quinn::VarInt::from_u32(DATA_CENTRE_EVACUATED) =>
        {
            Failure::Evacuated
        }
        _ => {
            log::debug!("caller: stream failed: {error}");
            Failure::Broken
        }
    }
}

/// Counts a connection that ended by a stateless reset, once per connection.
pub(super) fn count_reset(report: &mut Report, connection: &Connection) {
    if matches!(connection.quic.close_reason(), Some(ConnectionError::Reset))
        && connection.mark_reset_counted()
    {
        report.resets += 1;
    }
}
