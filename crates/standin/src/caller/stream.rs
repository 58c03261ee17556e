//! Long streams and the check of their lines.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};
use h3::client::RequestStream;
use h3_quinn::BidiStream;
use http::{Request, Response};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::exchange::{ATTEMPT_TIMEOUT, Failure, classify, count_reset, open};
use super::pool::{Connection, Pool};
use super::report::Outcome;
use super::request::{MAX_RETRIES, RETRY_DELAY, status_outcome};

/// Longest line of a stream.
const MAX_LINE_BYTES: usize = 256;

/// Delay before the next flow after one that was refused or failed.
const RETRY_FLOW_DELAY: Duration = Duration::from_secs(1);

/// Shortest time between the starts of two flows. It limits the rate when a service ends each flow
/// at once.
const MIN_FLOW_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a response after which a flow is counted as refused or broken when the caller ends
/// it. A younger flow is not counted.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Line that does not continue the sequence of lines.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("line {line:?} does not follow {ticks} ticks")]
pub(super) struct WrongLine {
    line: String,
    ticks: u64,
}

/// Checks that the lines of a stream are complete and in order.
#[derive(Debug, Default)]
pub(super) struct LineChecker {
    partial: BytesMut,
    ticks: u64,
    has_ended: bool,
}

impl LineChecker {
    /// Checks the next bytes of the stream.
    pub fn push(&mut self, data: &[u8]) -> Result<(), WrongLine> {
        self.partial.extend_from_slice(data);
        while let Some(end) = self.partial.iter().position(|byte| *byte == b'\n') {
            let line = self.partial.split_to(end + 1);
            self.check(&line[..end])?;
        }
        if self.partial.len() > MAX_LINE_BYTES {
            return Err(self.wrong(&self.partial));
        }
        Ok(())
    }

    fn check(&mut self, line: &[u8]) -> Result<(), WrongLine> {
        if self.has_ended {
            return Err(self.wrong(line));
        }
        if line == format!("tick {}", self.ticks).as_bytes() {
            self.ticks += 1;
            return Ok(());
        }
        self.has_ended = line == format!("end {}", self.ticks).as_bytes();
        if self.has_ended {
            Ok(())
        } else {
            Err(self.wrong(line))
        }
    }

    fn wrong(&self, line: &[u8]) -> WrongLine {
        WrongLine {
            line: String::from_utf8_lossy(line).into_owned(),
            ticks: self.ticks,
        }
    }

    /// Whether the `end` line is the last that was received.
    pub fn is_complete(&self) -> bool {
        self.has_ended && self.partial.is_empty()
    }
}

/// Keeps one flow open until `stop` is true; a flow that ends is followed by a new one.
pub(super) async fn run(pool: &Pool, index: usize, mut stop: watch::Receiver<bool>) {
    let class = pool.settings.classes.stream();
    while !*stop.borrow() {
        let started_at = Instant::now();
        let mut progress = Progress::default();
        pool.report().record_start(class);
        // Dropping the flow cancels its stream. An explicit stop panics in h3-quinn while a read
        // is pending.
        let outcome = tokio::select! {
            outcome = run_flow(pool, index, &mut progress) => Some(outcome),
            _ = stop.wait_for(|stop| *stop) => None,
        };
        match outcome.or_else(|| progress.outcome_at_stop(started_at)) {
            Some(outcome) => {
                let first = progress.answered_at.unwrap_or(started_at);
                pool.report()
                    .record_outcome(class, outcome, first - started_at);
            }
            None => pool.report().discard_start(class),
        }
        let next_start = match outcome {
            Some(Outcome::Refused | Outcome::Failed | Outcome::Unknown) => {
                Instant::now() + RETRY_FLOW_DELAY
            }
            _ => started_at + MIN_FLOW_INTERVAL,
        };
        tokio::select! {
            () = sleep_until(next_start) => {}
            _ = stop.wait_for(|stop| *stop) => {}
        }
    }
}

/// Progress of a flow.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Start of the latest attempt.
    requested_at: Option<Instant>,
    /// Arrival of the first data.
    answered_at: Option<Instant>,
}

impl Progress {
    /// Outcome of a flow that the caller ends now; none if it has waited for a response for less
    /// than [`OPEN_TIMEOUT`].
    fn outcome_at_stop(self, started_at: Instant) -> Option<Outcome> {
        let waited = |since: Instant| since.elapsed() > OPEN_TIMEOUT;
        match (self.answered_at, self.requested_at) {
            (Some(_), _) => Some(Outcome::Answered),
            (None, Some(requested_at)) => waited(requested_at).then_some(Outcome::Broken),
            (None, None) => waited(started_at).then_some(Outcome::Refused),
        }
    }
}

/// Runs one flow with its retries.
async fn run_flow(pool: &Pool, index: usize, progress: &mut Progress) -> Outcome {
    let mut delay = RETRY_DELAY;
    let mut retries = 0;
    loop {
        let Ok(connection) = pool.get(index).await else {
            return Outcome::Refused;
        };
        match read_stream(pool, &connection, progress).await {
            Ok(Outcome::Refused) | Err(Failure::Rejected) if retries < MAX_RETRIES => {
                retries += 1;
                pool.report().record_retry(pool.settings.classes.stream());
                sleep(delay).await;
                delay *= 2;
            }
            Ok(outcome) => return outcome,
            Err(Failure::NotSent) => {}
            Err(Failure::Rejected) => return Outcome::Refused,
            Err(Failure::Evacuated) => return Outcome::GivenUp,
            Err(Failure::Broken) => {
                count_reset(&mut pool.report(), &connection);
                return Outcome::Broken;
            }
        }
    }
}

fn head(pool: &Pool) -> Request<()> {
    let settings = &pool.settings;
    let path = settings.classes.stream_path();
    Request::get(format!("https://{}{path}", settings.server_name))
        .body(())
        .expect("name and path are valid")
}

/// Reads one stream to its end.
async fn read_stream(
    pool: &Pool,
    connection: &Arc<Connection>,
    progress: &mut Progress,
) -> Result<Outcome, Failure> {
    progress.requested_at = Some(Instant::now());
    let opened = timeout(ATTEMPT_TIMEOUT, send_request(pool, connection)).await;
    let (response, mut stream) = opened.unwrap_or(Err(Failure::Broken))?;
    if let Some(outcome) = status_outcome(&response) {
        return Ok(outcome);
    }
    let mut checker = LineChecker::default();
    let mut last_data_at = Instant::now();
    loop {
        let data = stream.recv_data().await;
        let Some(mut data) = data.map_err(|error| classify(connection, &error, true))? else {
            return Ok(final_outcome(&checker));
        };
        record_gap(pool, &mut last_data_at);
        progress.answered_at.get_or_insert(last_data_at);
        let bytes = data.copy_to_bytes(data.remaining());
        if let Err(fault) = checker.push(&bytes) {
            log::warn!("caller: stream is broken: {fault}");
            return Ok(Outcome::Broken);
        }
    }
}

type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

/// Sends the request and receives the head of its response.
async fn send_request(
    pool: &Pool,
    connection: &Arc<Connection>,
) -> Result<(Response<()>, Stream), Failure> {
    let mut stream = open(connection, head(pool)).await?;
    let exchange = async {
        stream.finish().await?;
        stream.recv_response().await
    };
    match exchange.await {
        Ok(response) => Ok((response, stream)),
        Err(error) => Err(classify(connection, &error, false)),
    }
}

fn record_gap(pool: &Pool, last_data_at: &mut Instant) {
    let now = Instant::now();
    let gap = now.saturating_duration_since(*last_data_at);
    let mut report = pool.report();
    report.longest_gap = report.longest_gap.max(gap);
    *last_data_at = now;
}

fn final_outcome(checker: &LineChecker) -> Outcome {
    if checker.is_complete() {
        Outcome::Answered
    } else {
        log::warn!(
            "caller: stream ended after {} ticks without its end line",
            checker.ticks
        );
        Outcome::Broken
    }
}
