//! One request on one stream, and the meaning of its errors.

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

/// Application close code of an agent whose data centre was taken out.
pub const DATA_CENTRE_EVACUATED: u32 = 0x4d01;

/// Longest time of one attempt; afterwards the caller cancels it and counts it as broken.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(15);

/// Size of the parts that a body is sent in.
const CHUNK_BYTES: usize = 16_384;

/// Longest response that is not a stream.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Reason why a stream has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// Nothing was sent: the connection takes no new requests.
    NotSent,
    /// The service says that it did not run the request.
    Rejected,
    /// The data centre was taken out.
    Evacuated,
    /// Anything else.
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
    // A peer that permits no further streams holds the request up here.
    let opened = timeout(ATTEMPT_TIMEOUT, open(connection, request)).await;
    let (mut upload, mut download) = opened.unwrap_or(Err(Failure::Broken))?.split();
    let mut response_started = false;
    let exchange = send_and_receive(&mut upload, &mut download, body, &mut response_started);
    let ended = timeout(ATTEMPT_TIMEOUT, exchange).await;
    let failure = match ended {
        Ok(Ok(response)) => {
            // Has no effect when the body was sent as a whole.
            upload.stop_stream(Code::H3_NO_ERROR);
            return Ok(response);
        }
        Ok(Err(error)) => classify(connection, &error, response_started),
        Err(_elapsed) => Failure::Broken,
    };
    // Without the reset a dropped stream looks like the end of a shorter body. The receiving side
    // is stopped by its drop: an explicit stop panics in h3-quinn while a read is pending.
    upload.stop_stream(Code::H3_REQUEST_CANCELLED);
    count_reset(&mut pool.report(), connection);
    Err(failure)
}

type Upload = RequestStream<SendStream<Bytes>, Bytes>;
type Download = RequestStream<RecvStream, Bytes>;

/// Sends and receives at the same time, because a response may come before the end of the body.
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
            // The check of the content fails on a part.
            break;
        }
        body.extend_from_slice(&data.copy_to_bytes(data.remaining()));
    }
    Ok(Response::from_parts(head, body.freeze()))
}

fn is_rejected(error: &StreamError) -> bool {
    matches!(error, StreamError::RemoteTerminate { code, .. } if *code == Code::H3_REQUEST_REJECTED)
}

/// Meaning of a stream error. After the start of the response a rejection is no refusal any more:
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
            log::debug!("caller: broken: {error}");
            Failure::Broken
        }
    }
}

/// Counts a connection that ended by a stateless reset, once.
pub(super) fn count_reset(report: &mut Report, connection: &Connection) {
    if matches!(connection.quic.close_reason(), Some(ConnectionError::Reset))
        && connection.mark_reset_counted()
    {
        report.resets += 1;
    }
}
