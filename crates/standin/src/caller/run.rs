//! Start and end of the flows and requests of one caller.

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

use super::pool::Pool;
use super::report::Report;
use super::request::{self, KeyedRequest};
use super::settings::Settings;
use super::stream;
use crate::certs::hex;
use crate::error::Error;

/// Most requests in flight; further ones are skipped.
pub const MAX_IN_FLIGHT: usize = 512;

/// Most requests of one caller, skipped ones included; it then sends no more.
pub const MAX_REQUESTS: usize = 200_000;

/// Time that requests in flight have to finish after the end; unfinished ones count as broken.
pub const FINISH_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a caller for its duration, or until `stop` completes, and returns its report.
///
/// # Errors
/// Returns an error when a setting is out of range or the CA certificate cannot be used.
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> Result<Report, Error> {
    settings.check()?;
    let pool = Arc::new(Pool::new(settings)?);
    let (stop_sender, stop_receiver) = watch::channel(false);
    let mut tasks = JoinSet::new();
    for index in 0..pool.settings.boards {
        let (pool, stop) = (Arc::clone(&pool), stop_receiver.clone());
        tasks.spawn(async move { stream::run(&pool, index, stop).await });
    }
    tokio::select! {
        () = send_requests(&pool, &mut tasks) => {}
        () = sleep(pool.settings.duration) => {}
        () = stop => {}
    }
    stop_sender.send_replace(true);
    let all_finished = async { while tasks.join_next().await.is_some() {} };
    if timeout(FINISH_TIMEOUT, all_finished).await.is_err() {
        log::warn!(
            "caller: aborted {} unfinished flows or requests",
            tasks.len()
        );
        tasks.shutdown().await;
    }
    pool.close().await;
    let mut report = std::mem::take(&mut *pool.report());
    report.count_unfinished();
    Ok(report)
}

/// Sends holds and uploads at their rates; never returns.
async fn send_requests(pool: &Arc<Pool>, tasks: &mut JoinSet<()>) {
    let settings = &pool.settings;
    let started_at = Instant::now();
    let mut holds = Rate::new(settings.holds_per_second);
    let mut uploads = Rate::new(settings.uploads as f64 / settings.duration.as_secs_f64());
    let (mut number, mut upload_count) = (0_usize, 0);
    while number < MAX_REQUESTS {
        let request = tokio::select! {
            () = holds.next() => hold(settings, number),
            () = uploads.next(), if upload_count < settings.uploads => {
                upload_count += 1;
                upload(settings, number)
            }
            Some(_) = tasks.join_next(), if !tasks.is_empty() => continue,
        };
        number += 1;
        if tasks.len() >= MAX_IN_FLIGHT + settings.boards {
            log::warn!("caller: skipped a request: {MAX_IN_FLIGHT} are in flight");
            continue;
        }
        let pool = Arc::clone(pool);
        tasks.spawn(async move { request::run(&pool, request).await });
    }
    log::warn!(
        "caller: reached the limit of {number} requests after {:?}; sends no more",
        started_at.elapsed()
    );
    std::future::pending::<()>().await;
}

/// Even rate of requests; a rate of zero never ticks.
struct Rate(Option<tokio::time::Interval>);

impl Rate {
    fn new(per_second: f64) -> Self {
        let period = Duration::try_from_secs_f64(1.0 / per_second).ok();
        let period = period.filter(|period| !period.is_zero());
        Self(period.map(|period| {
            let mut interval = interval(period);
            // Catches up after a delay, so that the average rate is kept.
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

fn hold(settings: &Settings, number: usize) -> KeyedRequest {
    let key = key(settings, number);
    KeyedRequest {
        class: settings.classes.execution(),
        method: Method::POST,
        path: settings.classes.execution_path().to_owned(),
        expected: ("key", key.clone()),
        key,
        body: Bytes::new(),
        index: number,
        resend: settings.resend,
    }
}

fn upload(settings: &Settings, number: usize) -> KeyedRequest {
    let key = key(settings, number);
    let mut content = vec![0; settings.upload_bytes];
    StdRng::seed_from_u64(settings.seed ^ number as u64).fill_bytes(&mut content);
    let sha256 = hex(digest::digest(&digest::SHA256, &content).as_ref());
    KeyedRequest {
        class: "upload",
        method: Method::PUT,
        path: format!("{}/{key}", settings.upload_path),
        key,
        body: content.into(),
        expected: ("sha256", sha256),
        index: number,
        resend: false,
    }
}
