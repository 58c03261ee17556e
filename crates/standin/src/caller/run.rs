//! Flows and requests of one caller over its time.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use ring::digest;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use super::board;
use super::ledger::Ledger;
use super::link::Links;
use super::request::{self, Job};
use super::settings::Settings;
use crate::certs::hex;
use crate::error::Error;

/// Most requests in flight; further ones of the rate are skipped.
pub const MAX_IN_FLIGHT: usize = 512;

/// Most requests of one caller; afterwards it sends no further ones.
pub const MAX_REQUESTS: usize = 200_000;

/// Time that requests in flight get after the end; later ones count as broken.
pub const END_GRACE: Duration = Duration::from_secs(20);

/// Runs a caller for its time, or until `stop` ends, and returns what it saw.
///
/// # Errors
/// Returns an error when a setting is out of range or the CA certificate cannot be used.
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> Result<Ledger, Error> {
    settings.check()?;
    let links = Arc::new(Links::new(settings)?);
    let (ending, stopped) = watch::channel(false);
    let mut tasks = JoinSet::new();
    for index in 0..links.settings.boards {
        let (links, stop) = (Arc::clone(&links), stopped.clone());
        tasks.spawn(async move { board::run(&links, index, stop).await });
    }
    tokio::select! {
        () = send_requests(&links, &mut tasks) => {}
        () = sleep(links.settings.time) => {}
        () = stop => {}
    }
    ending.send_replace(true);
    let finishing = async { while tasks.join_next().await.is_some() {} };
    if timeout(END_GRACE, finishing).await.is_err() {
        log::warn!("caller: {} tasks did not end in time", tasks.len());
        tasks.shutdown().await;
    }
    links.close().await;
    let mut ledger = std::mem::take(&mut *links.ledger());
    ledger.close();
    Ok(ledger)
}

/// Starts holds and uploads at their rates; never returns.
async fn send_requests(links: &Arc<Links>, tasks: &mut JoinSet<()>) {
    let settings = &links.settings;
    let started = Instant::now();
    let mut holds = Every::new(settings.holds_per_second);
    let mut uploads = Every::new(settings.uploads as f64 / settings.time.as_secs_f64());
    let (mut number, mut uploaded) = (0_usize, 0);
    while number < MAX_REQUESTS {
        let job = tokio::select! {
            () = holds.next() => hold(settings, number),
            () = uploads.next(), if uploaded < settings.uploads => {
                uploaded += 1;
                upload(settings, number)
            }
            Some(_) = tasks.join_next(), if !tasks.is_empty() => continue,
        };
        number += 1;
        if tasks.len() >= MAX_IN_FLIGHT + settings.boards {
            log::warn!("caller: {MAX_IN_FLIGHT} requests in flight, skipped one");
            continue;
        }
        let links = Arc::clone(links);
        tasks.spawn(async move { request::run(&links, job).await });
    }
    log::warn!(
        "caller: sent {number} requests in {:?}, sending no more",
        started.elapsed()
    );
    std::future::pending::<()>().await;
}

/// Even rate; zero never comes.
struct Every(Option<tokio::time::Interval>);

impl Every {
    fn new(per_second: f64) -> Self {
        let period = Duration::try_from_secs_f64(1.0 / per_second).ok();
        let period = period.filter(|period| !period.is_zero());
        Self(period.map(|period| {
            let mut interval = interval(period);
            // Keeps the rate when the process was held up.
            interval.set_missed_tick_behavior(MissedTickBehavior::Burst);
            interval
        }))
    }

    async fn next(&mut self) {
        match &mut self.0 {
            Some(interval) => {
                interval.tick().await;
            }
            None => std::future::pending().await,
        }
    }
}

fn key(settings: &Settings, number: usize) -> String {
    let prefix = StdRng::seed_from_u64(settings.seed).next_u64();
    format!("{prefix:016x}-{number}")
}

fn hold(settings: &Settings, number: usize) -> Job {
    let key = key(settings, number);
    Job {
        class: settings.classes.execution(),
        method: Method::POST,
        path: settings.classes.execution_path().to_owned(),
        proof: ("key", key.clone()),
        key,
        body: Bytes::new(),
        index: number,
        resend: settings.resend,
    }
}

fn upload(settings: &Settings, number: usize) -> Job {
    let key = key(settings, number);
    let mut content = vec![0; settings.upload_bytes];
    StdRng::seed_from_u64(settings.seed ^ number as u64).fill_bytes(&mut content);
    let sha256 = hex(digest::digest(&digest::SHA256, &content).as_ref());
    Job {
        class: "upload",
        method: Method::PUT,
        path: format!("{}/{key}", settings.upload_path),
        key,
        body: content.into(),
        proof: ("sha256", sha256),
        index: number,
        resend: false,
    }
}
