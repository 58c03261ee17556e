//! Object API of the simulated platform.

mod common;

use std::net::SocketAddr;

use common::{get_json, post, send, wait_for};
use monsoon_standin::platform::{MAX_VALUE_BYTES, Platform};

const OBJECT_PATH: &str = "/objects/env/trial/document";

async fn put(address: SocketAddr, header: (&str, &str), change: &str) -> (u16, Option<String>) {
    let body = format!(r#"{{"change":"{change}","author":"a","text":"t"}}"#);
    let response = send(address, "PUT", OBJECT_PATH, &[header], &body)
        .await
        .unwrap();
    let tag = response
        .headers()
        .get("etag")
        .map(|tag| tag.to_str().unwrap().to_owned());
    (response.status().as_u16(), tag)
}

/// Guards against a write that takes effect although its condition is not met, and against a
/// version that is used for two objects.
#[tokio::test]
async fn write_needs_the_current_version() {
    let store = Platform::start(0).await.unwrap();
    let address = store.address();
    let tag = |text: &str| Some(text.to_owned());
    assert_eq!(put(address, ("if-match", "\"1\""), "a").await, (412, None));
    assert_eq!(
        put(address, ("if-none-match", "*"), "b").await,
        (201, tag("\"1\""))
    );
    assert_eq!(
        put(address, ("if-none-match", "*"), "c").await,
        (412, tag("\"1\""))
    );
    assert_eq!(
        put(address, ("if-match", "\"1\""), "d").await,
        (200, tag("\"2\""))
    );
    assert_eq!(
        put(address, ("if-match", "\"1\""), "e").await,
        (412, tag("\"2\""))
    );
    assert_eq!(put(address, ("x-none", "1"), "f").await, (428, None));
    assert_eq!(get_json(address, OBJECT_PATH).await["change"], "d");
    let other = send(
        address,
        "PUT",
        "/objects/other",
        &[("if-none-match", "*")],
        r#"{"change":"g","author":"a","text":"t"}"#,
    );
    assert_eq!(other.await.unwrap().headers()["etag"], "\"3\"");
}

/// Guards against a store that accepts values that are too large for the platform.
#[tokio::test]
async fn value_above_the_limit_is_refused() {
    let store = Platform::start(0).await.unwrap();
    let long = "x".repeat(MAX_VALUE_BYTES + 1);
    let reply = send(
        store.address(),
        "PUT",
        OBJECT_PATH,
        &[("if-none-match", "*")],
        &long,
    )
    .await;
    assert_eq!(reply.unwrap().status(), 413);
    assert_eq!(
        send(store.address(), "GET", OBJECT_PATH, &[], "")
            .await
            .unwrap()
            .status(),
        404
    );
}

/// Guards against a watch that misses a write, and against one that reports the old version.
#[tokio::test]
async fn watch_reports_the_next_version() {
    let store = Platform::start(0).await.unwrap();
    let address = store.address();
    put(address, ("if-none-match", "*"), "a").await;
    let path = format!("{OBJECT_PATH}?watch=1");
    let watch = tokio::spawn(async move { send(address, "GET", &path, &[], "").await.unwrap() });
    wait_for(address, "/calls", |calls| calls["watches"] == 1).await;
    put(address, ("if-match", "\"1\""), "b").await;
    let reply = watch.await.unwrap();
    assert_eq!(reply.headers()["etag"], "\"2\"");
    assert!(reply.body().windows(3).any(|part| part == b"\"b\""));
    let at_once = send(address, "GET", &format!("{OBJECT_PATH}?watch=1"), &[], "")
        .await
        .unwrap();
    assert_eq!(at_once.headers()["etag"], "\"2\"");
    let calls = wait_for(address, "/calls", |calls| calls["watches"] == 0).await;
    assert_eq!((&calls["reads"], &calls["writes"]), (&2.into(), &2.into()));
}

/// Guards against a lost reply that also loses the write. Clients look for the `change` of their
/// write to find out whether it took effect.
#[tokio::test]
async fn lost_reply_keeps_the_write() {
    let store = Platform::start(0).await.unwrap();
    let address = store.address();
    post(address, "/faults", r#"{"lose_answers":1}"#).await;
    let body = r#"{"change":"lost","author":"a","text":"t"}"#;
    let reply = send(address, "PUT", OBJECT_PATH, &[("if-none-match", "*")], body).await;
    assert!(
        reply.is_err(),
        "the connection closes without a reply: {reply:?}"
    );
    assert_eq!(get_json(address, OBJECT_PATH).await["change"], "lost");
    assert_eq!(put(address, ("if-match", "\"1\""), "next").await.0, 200);
}

/// Guards against an outage that leaves pending watches open or accepts writes.
#[tokio::test]
async fn outage_ends_watches_and_refuses_writes() {
    let store = Platform::start(0).await.unwrap();
    let address = store.address();
    let path = format!("{OBJECT_PATH}?watch=0");
    let watch = tokio::spawn(async move { send(address, "GET", &path, &[], "").await });
    wait_for(address, "/calls", |calls| calls["watches"] == 1).await;
    post(address, "/faults", r#"{"down":true}"#).await;
    assert!(watch.await.unwrap().is_err());
    let body = r#"{"change":"x","author":"a","text":"t"}"#;
    let write = send(address, "PUT", OBJECT_PATH, &[("if-none-match", "*")], body).await;
    assert!(write.is_err());
    post(address, "/faults", "{}").await;
    assert_eq!(
        send(address, "GET", OBJECT_PATH, &[], "")
            .await
            .unwrap()
            .status(),
        404
    );
}
