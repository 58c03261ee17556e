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

use super::exchange::{Failure, PATIENCE, classify, note_reset, open};
use super::ledger::Outcome;
use super::link::{Link, Links};
use super::request::{RETRIES, RETRY_DELAY, status_outcome};

/// Longest line of a stream.
const MAX_LINE: usize = 256;

/// Pause after a flow that was refused or failed, before the next one.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);

/// Shortest time between the starts of two flows, so that a service that ends each flow at once
/// does not keep the caller busy.
const FLOW_SPACING: Duration = Duration::from_millis(100);

/// Time without a response after which a flow counts when the caller ends it.
const OPEN_TIME: Duration = Duration::from_secs(1);

/// Line that does not follow the ones before it.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("line {line:?} does not follow {ticks} ticks")]
pub(super) struct WrongLine {
    line: String,
    ticks: u64,
}

/// Check of the line sequence.
#[derive(Debug, Default)]
pub(super) struct Lines {
    rest: BytesMut,
    ticks: u64,
    over: bool,
}

impl Lines {
    /// Takes the next bytes of the stream.
    pub fn take(&mut self, data: &[u8]) -> Result<(), WrongLine> {
        self.rest.extend_from_slice(data);
        while let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
            let line = self.rest.split_to(end + 1);
            self.check(&line[..end])?;
        }
        if self.rest.len() > MAX_LINE {
            return Err(self.wrong(&self.rest));
        }
        Ok(())
    }

    fn check(&mut self, line: &[u8]) -> Result<(), WrongLine> {
        if self.over {
            return Err(self.wrong(line));
        }
        if line == format!("tick {}", self.ticks).as_bytes() {
            self.ticks += 1;
            return Ok(());
        }
        self.over = line == format!("end {}", self.ticks).as_bytes();
        if self.over {
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

    /// Whether the stream ended with its end line.
    pub fn is_complete(&self) -> bool {
        self.over && self.rest.is_empty()
    }
}

/// Keeps one flow open until `stop` is set.
pub(super) async fn run(links: &Links, index: usize, mut stop: watch::Receiver<bool>) {
    let class = links.settings.classes.stream();
    while !*stop.borrow() {
        let started = Instant::now();
        let mut progress = Progress::default();
        links.ledger().begin(class);
        // The drop of a flow cancels its stream: an explicit stop panics in h3-quinn while a read
        // is pending.
        let ended = tokio::select! {
            outcome = flow(links, index, &mut progress) => Some(outcome),
            _ = stop.wait_for(|stop| *stop) => None,
        };
        match ended.or_else(|| progress.at_stop(started)) {
            Some(outcome) => {
                let first = progress.first.unwrap_or(started);
                links.ledger().finish(class, outcome, first - started);
            }
            None => links.ledger().withdraw(class),
        }
        let next = match ended {
            Some(Outcome::Refused | Outcome::Failed | Outcome::Unknown) => {
                Instant::now() + REFUSED_PAUSE
            }
            _ => started + FLOW_SPACING,
        };
        tokio::select! {
            () = sleep_until(next) => {}
            _ = stop.wait_for(|stop| *stop) => {}
        }
    }
}

/// How far a flow has come.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Time of the last request.
    opened: Option<Instant>,
    /// Time of the first line.
    first: Option<Instant>,
}

impl Progress {
    /// Outcome of a flow that the caller ends now; none when it has only just begun.
    fn at_stop(self, started: Instant) -> Option<Outcome> {
        let waited = |since: Instant| since.elapsed() > OPEN_TIME;
        match (self.first, self.opened) {
            (Some(_), _) => Some(Outcome::Answered),
            (None, Some(opened)) => waited(opened).then_some(Outcome::Broken),
            (None, None) => waited(started).then_some(Outcome::Refused),
        }
    }
}

/// One flow with its attempts.
async fn flow(links: &Links, index: usize, progress: &mut Progress) -> Outcome {
    let mut delay = RETRY_DELAY;
    let mut retries = 0;
    loop {
        let Ok(link) = links.get(index).await else {
            return Outcome::Refused;
        };
        match follow(links, &link, progress).await {
            Ok(Outcome::Refused) | Err(Failure::Rejected) if retries < RETRIES => {
                retries += 1;
                links.ledger().retry(links.settings.classes.stream());
                sleep(delay).await;
                delay *= 2;
            }
            Ok(outcome) => return outcome,
            Err(Failure::NotSent) => {}
            Err(Failure::Rejected) => return Outcome::Refused,
            Err(Failure::GivenUp) => return Outcome::GivenUp,
            Err(Failure::Broken) => {
                note_reset(&mut links.ledger(), &link);
                return Outcome::Broken;
            }
        }
    }
}

fn head(links: &Links) -> Request<()> {
    let settings = &links.settings;
    let path = settings.classes.stream_path();
    Request::get(format!("https://{}{path}", settings.server_name))
        .body(())
        .expect("name and path are valid")
}

/// Reads one stream to its end.
async fn follow(
    links: &Links,
    link: &Arc<Link>,
    progress: &mut Progress,
) -> Result<Outcome, Failure> {
    progress.opened = Some(Instant::now());
    let opened = timeout(PATIENCE, request(links, link)).await;
    let (response, mut stream) = opened.unwrap_or(Err(Failure::Broken))?;
    if let Some(outcome) = status_outcome(&response) {
        return Ok(outcome);
    }
    let mut sequence = Lines::default();
    let mut last = Instant::now();
    loop {
        let data = stream.recv_data().await;
        let Some(mut data) = data.map_err(|error| classify(link, &error, true))? else {
            return Ok(end(&sequence));
        };
        note_gap(links, &mut last);
        progress.first.get_or_insert(last);
        let bytes = data.copy_to_bytes(data.remaining());
        if let Err(fault) = sequence.take(&bytes) {
            log::warn!("caller: {fault}");
            return Ok(Outcome::Broken);
        }
    }
}

type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

/// Sends the request and receives the head of its response.
async fn request(links: &Links, link: &Arc<Link>) -> Result<(Response<()>, Stream), Failure> {
    let mut stream = open(link, head(links)).await?;
    let exchange = async {
        stream.finish().await?;
        stream.recv_response().await
    };
    match exchange.await {
        Ok(response) => Ok((response, stream)),
        Err(error) => Err(classify(link, &error, false)),
    }
}

fn note_gap(links: &Links, last: &mut Instant) {
    let now = Instant::now();
    let gap = now.saturating_duration_since(*last);
    let mut ledger = links.ledger();
    ledger.longest_gap = ledger.longest_gap.max(gap);
    *last = now;
}

fn end(lines: &Lines) -> Outcome {
    if lines.is_complete() {
        Outcome::Answered
    } else {
        log::warn!(
            "caller: stream ended after {} ticks without its end line",
            lines.ticks
        );
        Outcome::Broken
    }
}
