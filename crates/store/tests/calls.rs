//! Calls against the stand-in of the object API.

mod stand_in;

use std::net::SocketAddr;

use monsoon_lease::WriteOutcome;
use monsoon_model::{Duration, Version};
use monsoon_store::settle;
use monsoon_store::{Client, Condition, MAX_OBJECT, PutError, Settled, StoreError, Stored, Watch};
use stand_in::{Fault, StandIn};

const NAME: &str = "env/trial/document";
const PATIENCE: Duration = Duration::from_secs(5);

fn client(addresses: &[SocketAddr]) -> Client {
    Client::new(addresses.iter().copied()).expect("addresses are given")
}

fn value(text: &str) -> Stored {
    Stored {
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

async fn settled(faults: &[Fault]) -> (StandIn, Settled) {
    let store = StandIn::start();
    store.set(NAME, "start");
    for fault in faults {
        store.fail(fault.clone());
    }
    let client = client(&[store.address]);
    let settled = settle(&client, NAME, Some(Version(1)), &value("mine"), PATIENCE).await;
    (store, settled)
}

/// Guards against a condition or version that is not carried in both directions.
#[tokio::test]
async fn objects_are_written_read_and_watched() {
    let store = StandIn::start();
    let client = client(&[store.address]);
    assert_eq!(client.get(NAME).await, Ok(None));
    assert_eq!(
        client.watch(NAME, Version(0)).await,
        Ok(Watch::Behind(None))
    );
    assert_eq!(
        client.put(NAME, Condition::Absent, &value("a")).await,
        Ok(Version(1))
    );
    let conflict = Err(PutError::Conflict {
        present: Some(Version(1)),
    });
    assert_eq!(
        client.put(NAME, Condition::Absent, &value("b")).await,
        conflict
    );
    assert_eq!(
        client
            .put(NAME, Condition::At(Version(7)), &value("b"))
            .await,
        conflict
    );
    assert_eq!(
        client
            .put(NAME, Condition::At(Version(1)), &value("b"))
            .await,
        Ok(Version(2))
    );
    assert_eq!(client.get(NAME).await, Ok(Some((Version(2), value("b")))));
    let newer = Watch::Newer(Version(2), value("b"));
    assert_eq!(client.watch(NAME, Version(1)).await, Ok(newer));
    assert_eq!(client.watch(NAME, Version(2)).await, Ok(Watch::Unchanged));
}

/// Guards against giving up at the first address, and against an error without the reasons.
#[tokio::test]
async fn addresses_are_tried_in_turn() {
    let store = StandIn::start();
    let both = client(&[closed(), store.address]);
    assert_eq!(
        both.put(NAME, Condition::Absent, &value("a")).await,
        Ok(Version(1))
    );
    assert_eq!(both.get(NAME).await, Ok(Some((Version(1), value("a")))));
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

/// Guards against a failure that is taken for a definite answer, and the other way round.
#[tokio::test]
async fn failures_are_told_apart() {
    let store = StandIn::start();
    let client = client(&[store.address]);
    for (fault, lost) in [
        (Fault::LoseAnswer, true),
        (Fault::LoseRequest, true),
        (Fault::Status(502), true),
        (Fault::Status(403), false),
    ] {
        store.fail(fault.clone());
        let name = format!("{NAME}/{fault:?}").replace(['(', ')'], "-");
        let result = client.put(&name, Condition::Absent, &value("a")).await;
        assert_eq!(
            matches!(result, Err(PutError::Lost { .. })),
            lost,
            "{fault:?}: {result:?}"
        );
    }
    let large = client
        .put(NAME, Condition::Absent, &value(&"a".repeat(MAX_OBJECT)))
        .await;
    assert!(matches!(large, Err(PutError::TooLarge { .. })));
    let bad = client.get("env/../x y").await;
    assert!(matches!(bad, Err(StoreError::BadName { .. })));
    store
        .state
        .lock()
        .expect("state is usable")
        .objects
        .insert("odd".into(), (1, "{}".into()));
    let odd = client.get("odd").await;
    assert!(matches!(odd, Err(StoreError::Malformed { .. })));
}

/// Guards against a lost answer that is reported as a failure, or a write that runs twice.
#[tokio::test]
async fn lost_answers_are_settled() {
    for fault in [Fault::LoseAnswer, Fault::LoseRequest, Fault::Status(503)] {
        let (store, settled) = settled(std::slice::from_ref(&fault)).await;
        assert_eq!(
            settled.outcome,
            WriteOutcome::Written(Version(2)),
            "{fault:?}"
        );
        assert_eq!(store.writes(), 2, "{fault:?}");
    }
}

/// Guards against a loser that is not told what the other writer did.
#[tokio::test]
async fn losers_see_the_other_change() {
    let (_, raced) = settled(&[Fault::Before("theirs".into())]).await;
    assert!(
        matches!(raced.outcome, WriteOutcome::Conflict(Some(_))),
        "{raced:?}"
    );
    let (version, other) = raced.present.expect("the other change was read");
    assert_eq!(
        (version, other.author.as_str(), other.text.as_str()),
        (Version(2), "eva", "theirs")
    );
    let (_, replaced) = settled(&[Fault::After("theirs".into())]).await;
    assert!(
        matches!(replaced.outcome, WriteOutcome::Replaced(Some(_))),
        "{replaced:?}"
    );
}
