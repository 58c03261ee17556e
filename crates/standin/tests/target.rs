//! Slots, cold start, drain and record of the simulated target.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{get_json, post, send, wait_for};
use monsoon_standin::target::{Capacity, Phase, Settings, Target};
use tokio::time::Instant;

async fn hold(address: SocketAddr, key: &str) -> (u16, Option<String>) {
    let reply = send(address, "POST", "/holds", &[("idempotency-key", key)], "")
        .await
        .unwrap();
    let outcome = reply
        .headers()
        .get("x-outcome")
        .map(|text| text.to_str().unwrap().to_owned());
    (reply.status().as_u16(), outcome)
}

fn not_run(code: u16) -> (u16, Option<String>) {
    (code, Some("not-run".to_owned()))
}

/// Guards against a cold target that accepts more than its share, which would hide a balancer that
/// sends too much, and against one that refuses requests at the rate of its share.
#[test]
fn cold_target_carries_its_share_on_average() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    let mut paced = Capacity::new(start, 0.4, ms(60_000));
    for n in 0..50 {
        assert!(
            paced.accept(start + ms(50 * n), ms(20)),
            "request {n} at the share"
        );
    }
    assert!(
        !paced.accept(start + ms(50 * 49 + 20), ms(20)),
        "one request back to back"
    );
    let mut wide = Capacity::new(start, 2.0, ms(60_000));
    assert!(
        wide.accept(start, ms(20)) && wide.accept(start, ms(20)),
        "two whole slots"
    );
    assert!(!wide.accept(start, ms(20)), "a third request at once");
}

/// Guards against an overrun that does not restart the cold start, and against a cold start that
/// does not end.
#[test]
fn overrun_restarts_the_cold_start() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let cost = Duration::from_millis(20);
    let mut capacity = Capacity::new(start, 0.4, Duration::from_secs(1));
    assert!(capacity.accept(at(900), cost));
    assert!(!capacity.accept(at(905), cost));
    assert_eq!(capacity.phase(at(1900)), Phase::Cold);
    assert_eq!(capacity.phase(at(1905)), Phase::Ready);
    assert!(capacity.accept(at(1905), cost) && capacity.accept(at(1905), cost));
}

/// Guards against requests in flight that are answered in spite of an overrun, and against a record
/// that leaves them out or contains the request that caused the overrun.
#[tokio::test]
async fn overrun_fails_the_requests_in_flight() {
    let settings = Settings {
        cold_duration: Duration::from_mins(5),
        speed: 0.01,
        ..Settings::default()
    };
    let target = Target::start(settings).await.unwrap();
    let address = target.address();
    let key = [("idempotency-key", "first")];
    let first = tokio::spawn(async move { send(address, "POST", "/holds", &key, "").await });
    wait_for(address, "/health", |health| health["busy"] == 1).await;
    assert_eq!(hold(address, "excess").await, not_run(503));
    assert!(
        first.await.unwrap().is_err(),
        "the connection closes without a reply"
    );
    assert_eq!(get_json(address, "/health").await["state"], "cold");
    let record = target.record();
    assert_eq!((record.overruns, record.failed, record.served), (1, 1, 0));
    assert_eq!(record.executions.get("first"), Some(&1));
    assert_eq!(record.executions.get("excess"), None);
}

/// Guards against a cancelled request that keeps its slot or is missing from the record.
#[tokio::test]
async fn closed_connection_cancels_the_request() {
    let settings = Settings {
        speed: 0.001,
        ..Settings::default()
    };
    let target = Target::start(settings).await.unwrap();
    let address = target.address();
    let running = tokio::spawn(async move { hold(address, "gone").await });
    wait_for(address, "/health", |health| health["busy"] == 1).await;
    running.abort();
    wait_for(address, "/health", |health| health["busy"] == 0).await;
    let record = target.record();
    assert_eq!((record.cancelled, record.served), (1, 0));
    assert_eq!(record.executions.get("gone"), Some(&1));
}

/// Guards against a request that runs after its deadline, without a key or with a full queue, and
/// against one that is refused as not run although it ran.
#[tokio::test]
async fn refused_request_does_not_run() {
    let settings = Settings {
        slots: 1,
        speed: 0.001,
        ..Settings::default()
    };
    let target = Target::start(settings).await.unwrap();
    let address = target.address();
    let late = [("idempotency-key", "late"), ("x-deadline-ms", "0")];
    let reply = send(address, "POST", "/checks", &late, "").await.unwrap();
    assert_eq!(
        (reply.status().as_u16(), &reply.headers()["x-outcome"]),
        (504, &"not-run".parse().unwrap())
    );
    assert_eq!(
        send(address, "POST", "/holds", &[], "")
            .await
            .unwrap()
            .status(),
        400
    );

    let running = tokio::spawn(async move { hold(address, "running").await });
    wait_for(address, "/health", |health| health["busy"] == 1).await;
    let short = [("idempotency-key", "queued"), ("x-deadline-ms", "30")];
    let reply = send(address, "POST", "/holds", &short, "").await.unwrap();
    assert_eq!(reply.status(), 504);
    let others: Vec<_> = (0..3)
        .map(|n| tokio::spawn(async move { hold(address, &format!("q{n}")).await }))
        .collect();
    wait_for(address, "/control/record", |record| record["shed"] == 1).await;
    let record = target.record();
    assert_eq!(record.executions.keys().collect::<Vec<_>>(), ["running"]);
    assert_eq!((record.shed, record.late), (1, 2));
    running.abort();
    others.iter().for_each(tokio::task::JoinHandle::abort);
}

/// Guards against a digest over only a part of the body.
#[tokio::test]
async fn digest_covers_the_whole_upload() {
    let target = Target::start(Settings::default()).await.unwrap();
    let body = "abc".repeat(100_000);
    let reply = send(target.address(), "PUT", "/photos/7", &[], &body)
        .await
        .unwrap();
    let reply: serde_json::Value = serde_json::from_slice(reply.body()).unwrap();
    let result = serde_json::to_string_pretty(&(reply, target.record())).unwrap();
    insta::assert_snapshot!(result);
}

/// Guards against a drain that ends streams without their `end` line or skips a tick, and against a
/// record without the requests that arrive after its start.
#[tokio::test]
async fn drain_ends_streams_with_their_end_line() {
    let settings = Settings {
        tick_interval: Duration::from_millis(5),
        drain_duration: Duration::from_millis(100),
        ..Settings::default()
    };
    let target = Target::start(settings).await.unwrap();
    let address = target.address();
    let stream = tokio::spawn(async move { send(address, "GET", "/board", &[], "").await });
    wait_for(address, "/control/record", |record| record["streams"] == 1).await;
    post(address, "/control/drain", "").await;
    assert_eq!(hold(address, "late").await.0, 200);
    let reply = stream.await.unwrap().unwrap();
    let text = std::str::from_utf8(reply.body()).unwrap();
    let mut lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.pop(), Some(format!("end {}", lines.len()).as_str()));
    for (n, line) in lines.iter().enumerate() {
        assert_eq!(*line, format!("tick {n}"));
    }
    let record = target.record();
    assert_eq!(
        (record.ended, record.dropped, record.after_drain.count),
        (1, 0, 1)
    );
}

/// Guards against a health endpoint that reports the current state in spite of its lag.
#[tokio::test]
async fn health_reports_the_state_before_the_lag() {
    let settings = Settings {
        health_lag: Duration::from_mins(1),
        ..Settings::default()
    };
    let target = Target::start(settings).await.unwrap();
    let address = target.address();
    assert_eq!(get_json(address, "/health").await["state"], "ready");
    post(address, "/control/cold", r#"{"seconds":30}"#).await;
    assert_eq!(get_json(address, "/health").await["state"], "ready");
}
