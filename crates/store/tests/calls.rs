//! Tests of the client against a fake store.

mod fake_store;

use std::net::SocketAddr;

use fake_store::{FakeStore, Fault};
use monsoon_lease::WriteOutcome;
use monsoon_model::{Duration, Version};
use monsoon_store::write_conditionally;
use monsoon_store::{
    Client, Condition, MAX_OBJECT, PutError, StoreError, StoredObject, WatchResult, WriteResult,
};

const NAME: &str = "env/trial/document";
const PATIENCE: Duration = Duration::from_secs(5);

fn client(addresses: &[SocketAddr]) -> Client {
    Client::new(addresses.iter().copied()).expect("addresses are given")
}

fn value(text: &str) -> StoredObject {
    StoredObject {
        change: "mine-1".to_owned(),
        author: "jan".to_owned(),
        text: text.to_owned(),
    }
}

/// Address that refuses connections.
fn closed() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback is usable");
    listener.local_addr().expect("socket is bound")
}

async fn write_with_faults(faults: &[Fault]) -> (FakeStore, WriteResult) {
    let store = FakeStore::start();
    store.set(NAME, "start");
    for fault in faults {
        store.inject(fault.clone());
    }
    let client = client(&[store.address]);
    let result = write_conditionally(
        &client,
        NAME,
        Some(Version::of(1)),
        &value("mine"),
        PATIENCE,
    )
    .await;
    (store, result)
}

/// Guards against a condition or version that is lost in a request or response.
#[tokio::test]
async fn objects_are_written_read_and_watched() {
    let store = FakeStore::start();
    let client = client(&[store.address]);
    assert_eq!(client.get(NAME).await, Ok(None));
    assert_eq!(
        client.watch(NAME, Version::of(0)).await,
        Ok(WatchResult::Behind(None))
    );
    assert_eq!(
        client.put(NAME, Condition::Absent, &value("a")).await,
        Ok(Version::of(1))
    );
    let conflict = Err(PutError::Conflict {
        present: Some(Version::of(1)),
    });
    assert_eq!(
        client.put(NAME, Condition::Absent, &value("b")).await,
        conflict
    );
    assert_eq!(
        client
            .put(NAME, Condition::At(Version::of(7)), &value("b"))
            .await,
        conflict
    );
    assert_eq!(
        client
            .put(NAME, Condition::At(Version::of(1)), &value("b"))
            .await,
        Ok(Version::of(2))
    );
    assert_eq!(
        client.get(NAME).await,
        Ok(Some((Version::of(2), value("b"))))
    );
    let newer = WatchResult::Newer(Version::of(2), value("b"));
    assert_eq!(client.watch(NAME, Version::of(1)).await, Ok(newer));
    assert_eq!(
        client.watch(NAME, Version::of(2)).await,
        Ok(WatchResult::Unchanged)
    );
}

/// Guards against a watch or a condition that the store cannot read because the version of the
/// object is large: it was sent as `1.5`.
#[tokio::test]
async fn objects_of_large_versions_are_watched_and_written() {
    for number in [(1 << 44) + 5, u64::MAX] {
        let store = FakeStore::start();
        let client = client(&[store.address]);
        store.set_version(NAME, number, "a");
        let (version, _) = client
            .get(NAME)
            .await
            .expect("an answer")
            .expect("an object");
        assert_eq!(version.packed(), number);
        assert_eq!(
            client.watch(NAME, version).await,
            Ok(WatchResult::Unchanged)
        );
        let written = client.put(NAME, Condition::At(version), &value("b")).await;
        assert!(written.is_ok(), "{written:?}");
    }
}

/// Watches twice, with the answer to the first watch lost and a change in the store.
async fn assert_second_watch_finds_change(client: &Client) {
    assert_eq!(
        client.watch(NAME, Version::of(0)).await,
        Ok(WatchResult::Unchanged)
    );
    let result = client.watch(NAME, Version::of(0)).await;
    assert!(
        matches!(result, Ok(WatchResult::Newer(version, _)) if version == Version::of(1)),
        "{result:?}"
    );
}

/// Guards against balancers that miss every change for as long as a watch lasts, because its answer
/// was lost while its connection stayed open.
#[tokio::test]
async fn a_change_is_found_by_the_watch_after_one_whose_answer_is_lost() {
    let store = FakeStore::start();
    store.lose_watches(1);
    store.set(NAME, "a");
    assert_second_watch_finds_change(&client(&[store.address])).await;
}

/// Guards against a client that waits at an address which accepts calls and never answers.
#[tokio::test]
async fn a_watch_that_is_not_answered_is_followed_by_one_at_another_address() {
    let (silent, store) = (FakeStore::start(), FakeStore::start());
    silent.lose_watches(u32::MAX);
    store.set(NAME, "a");
    assert_second_watch_finds_change(&client(&[silent.address, store.address])).await;
}

/// Guards against a client that stops at the first address that fails.
#[tokio::test]
async fn addresses_are_tried_in_turn() {
    let store = FakeStore::start();
    let both = client(&[closed(), store.address]);
    assert_eq!(
        both.put(NAME, Condition::Absent, &value("a")).await,
        Ok(Version::of(1))
    );
    assert_eq!(both.get(NAME).await, Ok(Some((Version::of(1), value("a")))));
    let none = client(&[closed(), closed()]);
    let error = none.put(NAME, Condition::Absent, &value("a")).await;
    assert!(
        matches!(
            error,
            Err(PutError::NotSent(StoreError::Unreachable { .. }))
        ),
        "{error:?}"
    );
    assert_eq!(Client::new([]).err(), Some(StoreError::NoAddress));
}

/// Guards against reporting an unknown outcome as a definite failure, and the reverse.
#[tokio::test]
async fn definite_and_unknown_failures_are_distinguished() {
    let store = FakeStore::start();
    let client = client(&[store.address]);
    for (fault, is_unknown) in [
        (Fault::LoseResponse, true),
        (Fault::LoseRequest, true),
        (Fault::Status(502), true),
        (Fault::Status(403), false),
    ] {
        store.inject(fault.clone());
        let name = format!("{NAME}/{fault:?}").replace(['(', ')'], "-");
        let result = client.put(&name, Condition::Absent, &value("a")).await;
        assert_eq!(
            matches!(result, Err(PutError::UnknownOutcome { .. })),
            is_unknown,
            "{fault:?}: {result:?}"
        );
    }
    let large = client
        .put(NAME, Condition::Absent, &value(&"a".repeat(MAX_OBJECT)))
        .await;
    assert!(matches!(large, Err(PutError::TooLarge { .. })));
    let bad = client.get("env/../x y").await;
    assert!(matches!(bad, Err(StoreError::InvalidName { .. })));
    store
        .state
        .lock()
        .expect("state is usable")
        .objects
        .insert("odd".into(), (1, "{}".into()));
    let odd = client.get("odd").await;
    assert!(matches!(odd, Err(StoreError::Malformed { .. })));
}

/// Guards against a lost request or response that is reported as a failure, and against a write
/// that takes effect twice. The fake store counts two writes: the initial one and this one.
#[tokio::test]
async fn lost_responses_leave_no_doubt_and_no_second_write() {
    for fault in [Fault::LoseResponse, Fault::LoseRequest, Fault::Status(503)] {
        let (store, result) = write_with_faults(std::slice::from_ref(&fault)).await;
        assert_eq!(
            result.outcome,
            WriteOutcome::Written(Version::of(2)),
            "{fault:?}"
        );
        assert_eq!(store.writes(), 2, "{fault:?}");
    }
}

/// Guards against a conflict that doesn't report what the other writer stored.
#[tokio::test]
async fn conflicts_report_the_other_change() {
    let (_, raced) = write_with_faults(&[Fault::WriteBefore("theirs".into())]).await;
    assert!(
        matches!(raced.outcome, WriteOutcome::Conflict(Some(_))),
        "{raced:?}"
    );
    let (version, other) = raced.present.expect("the other change was read");
    assert_eq!(
        (version, other.author.as_str(), other.text.as_str()),
        (Version::of(2), "eva", "theirs")
    );
    let (_, replaced) = write_with_faults(&[Fault::WriteAfter("theirs".into())]).await;
    assert!(
        matches!(replaced.outcome, WriteOutcome::Replaced(Some(_))),
        "{replaced:?}"
    );
}

/// Guards against an object of another writer that ends the process or hides other objects.
#[tokio::test]
async fn an_invalid_object_is_an_error_of_its_own_name() {
    let store = FakeStore::start();
    store.set("env/trial/data-centres", "good");
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let with_extra =
        |extra: &str| format!("{{\"change\":\"c\",\"author\":\"a\",\"text\":\"t\",\"x\":{extra}}}");
    // Fields that are not used may have any content.
    let bodies = [
        (nested.clone(), false),
        (with_extra(&nested), true),
        (with_extra("1e400"), true),
        (
            "{\"change\":1e400,\"author\":\"a\",\"text\":\"t\"}".to_owned(),
            false,
        ),
        ("{\"change\":\"c\",\"author\":\"a\"}".to_owned(), false),
        ("{\"change\":\"c\",".to_owned(), false),
        (String::new(), false),
    ];
    let client = client(&[store.address]);
    for (body, is_valid) in bodies {
        let start: String = body.chars().take(60).collect();
        store.set_body(NAME, body);
        let read = client.get(NAME).await;
        let is_malformed = matches!(&read, Err(StoreError::Malformed { name, .. }) if name == NAME);
        assert_eq!(
            (read.is_ok(), is_malformed),
            (is_valid, !is_valid),
            "{start}"
        );
        let other = client.get("env/trial/data-centres").await;
        assert!(matches!(other, Ok(Some(_))), "{start} {other:?}");
    }
    store.set(NAME, "good again");
    assert!(matches!(client.get(NAME).await, Ok(Some(_))));
}
