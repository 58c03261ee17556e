//! Long streams and the check of their lines.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};
use h3::client::RequestStream;
use h3_quinn::BidiStream;
use http::Request;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use super::exchange::{Failure, classify, note_reset, open};
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
        links.ledger().begin(class);
        let started = Instant::now();
        let (outcome, first) = flow(links, index, &mut stop).await;
        links
            .ledger()
            .finish(class, outcome, first.unwrap_or_else(|| started.elapsed()));
        let refused = matches!(
            outcome,
            Outcome::Refused | Outcome::Failed | Outcome::Unknown
        );
        let next = if refused {
            Instant::now() + REFUSED_PAUSE
        } else {
            started + FLOW_SPACING
        };
        tokio::select! {
            () = sleep_until(next) => {}
            _ = stop.wait_for(|stop| *stop) => {}
        }
    }
}

/// One flow, with its attempts; also the time to its first line.
async fn flow(
    links: &Links,
    index: usize,
    stop: &mut watch::Receiver<bool>,
) -> (Outcome, Option<Duration>) {
    let started = Instant::now();
    let mut first = None;
    let mut delay = RETRY_DELAY;
    let mut retries = 0;
    loop {
        let Ok(link) = links.get(index).await else {
            return (Outcome::Refused, None);
        };
        let failure = match open(&link, head(links)).await {
            Ok(stream) => follow(links, &link, stream, stop, (started, &mut first)).await,
            Err(failure) => Err(failure),
        };
        match failure {
            Ok(Outcome::Refused) | Err(Failure::Rejected) if retries < RETRIES => {
                retries += 1;
                links.ledger().retry(links.settings.classes.stream());
                sleep(delay).await;
                delay *= 2;
            }
            Ok(outcome) => return (outcome, first),
            Err(Failure::NotSent) => {}
            Err(Failure::Rejected) => return (Outcome::Refused, first),
            Err(Failure::GivenUp) => return (Outcome::GivenUp, first),
            Err(Failure::Broken) => {
                note_reset(&mut links.ledger(), &link);
                return (Outcome::Broken, first);
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

async fn follow(
    links: &Links,
    link: &Link,
    mut stream: RequestStream<BidiStream<Bytes>, Bytes>,
    stop: &mut watch::Receiver<bool>,
    (started, first): (Instant, &mut Option<Duration>),
) -> Result<Outcome, Failure> {
    let failed = |error| classify(link, &error);
    stream.finish().await.map_err(failed)?;
    let response = stream.recv_response().await.map_err(failed)?;
    if let Some(outcome) = status_outcome(&response) {
        return Ok(outcome);
    }
    let mut sequence = Lines::default();
    let mut last = Instant::now();
    loop {
        let data = tokio::select! {
            data = stream.recv_data() => data.map_err(failed)?,
            // The drop of the stream cancels it: an explicit stop panics in h3-quinn while a read
            // is pending.
            _ = stop.wait_for(|stop| *stop) => return Ok(Outcome::Answered),
        };
        let Some(mut data) = data else {
            return Ok(end(&sequence));
        };
        first.get_or_insert_with(|| started.elapsed());
        note_gap(links, &mut last);
        let bytes = data.copy_to_bytes(data.remaining());
        if let Err(fault) = sequence.take(&bytes) {
            log::warn!("caller: {fault}");
            return Ok(Outcome::Broken);
        }
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
