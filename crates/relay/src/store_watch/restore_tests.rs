//! Tests of the watch across restores of the store, on paused time.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use monsoon_flow::Catalogue;
use monsoon_model::Number;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::tests::{REFUSING, STORE, policy};
use super::{ReadPolicy, watch_catalogue, watch_evacuations};
use crate::message::{Message, Position, StoreObject};
use crate::{ReadFrom, StoreClient, StoreError, StoreRead};

/// Time of the restore after the start of a test.
const RESTORE_AT: Duration = Duration::from_secs(3);

/// Position of the next read, and the time since `start`.
async fn next_read(
    messages: &mut mpsc::Receiver<Message>,
    start: Instant,
) -> (StoreObject, Position, Duration) {
    loop {
        let message = tokio::time::timeout(Duration::from_mins(5), messages.recv()).await;
        match message
            .expect("a read in time")
            .expect("the watch continues")
        {
            Message::ObjectRead(object, _, position) => {
                return (object, position, start.elapsed());
            }
            Message::Update(_) => {}
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against changes that a process misses because its watch from a revision of the former
/// era is answered normally, without what was written before that revision in the new era, and
/// against another watch that goes on waiting for a revision of the former era.
#[tokio::test(start_paused = true)]
async fn a_response_of_a_new_era_starts_new_lists_of_both_objects() {
    static CATALOGUE_CALLS: AtomicU64 = AtomicU64::new(0);
    static EVACUATIONS_CALLS: AtomicU64 = AtomicU64::new(0);
    let client = StoreClient {
        read_catalogue: |_, from| {
            let call = CATALOGUE_CALLS.fetch_add(1, Ordering::Relaxed);
            Box::pin(async move {
                match (call, from) {
                    (0, ReadFrom::List) => Ok(StoreRead::new(Some(1), Number::of(50))),
                    (1, ReadFrom::Changes { after, .. }) if after == Number::of(50) => {
                        tokio::time::sleep(RESTORE_AT).await;
                        Ok(StoreRead::new(Some(2), Number::of(51)))
                    }
                    (2, ReadFrom::List) => Ok(StoreRead::new(Some(2), Number::of(52))),
                    (_, ReadFrom::Changes { after, .. }) if after == Number::of(52) => {
                        std::future::pending().await
                    }
                    other => panic!("{other:?}"),
                }
            })
        },
        read_evacuations: |_, from| {
            let call = EVACUATIONS_CALLS.fetch_add(1, Ordering::Relaxed);
            Box::pin(async move {
                match (call, from) {
                    (0, ReadFrom::List) => Ok(StoreRead::new(Some(1), Number::of(50))),
                    (2, ReadFrom::List) => Ok(StoreRead::new(Some(2), Number::of(52))),
                    (_, ReadFrom::Changes { .. }) => std::future::pending().await,
                    other => panic!("{other:?}"),
                }
            })
        },
        ..REFUSING
    };
    let (sender, mut messages) = mpsc::channel(8);
    let policy = policy(true);
    let known = Arc::new(BTreeSet::new());
    let start = Instant::now();
    tokio::spawn(watch_catalogue(
        client,
        STORE,
        policy.clone(),
        sender.clone(),
    ));
    tokio::spawn(watch_evacuations(client, STORE, known, policy, sender));
    let mut reads = BTreeSet::new();
    for _ in 0..4 {
        let (object, position, at) = next_read(&mut messages, start).await;
        let revision = position.revision.saturating_u64();
        reads.insert((position.era, revision, object as usize, at));
    }
    let expected = [
        (1, 50, 0, Duration::ZERO),
        (1, 50, 1, Duration::ZERO),
        (2, 52, 0, RESTORE_AT),
        (2, 52, 1, RESTORE_AT),
    ];
    assert_eq!(reads, BTreeSet::from(expected));
}

/// Guards against a process that waits for the end of its long watch although a peer has shown a
/// new era, in which the revision of the watch was not reached again.
#[tokio::test(start_paused = true)]
async fn a_peer_with_a_new_era_ends_a_watch() {
    let client = StoreClient {
        read_catalogue: |_, from| {
            Box::pin(async move {
                match from {
                    ReadFrom::Changes { .. } => std::future::pending().await,
                    _ => Ok(StoreRead::new(None, Number::of(50))),
                }
            })
        },
        ..REFUSING
    };
    let (sender, mut messages) = mpsc::channel(8);
    let eras = watch::Sender::new(1);
    let policy = ReadPolicy {
        era: eras.clone(),
        ..policy(true)
    };
    let start = Instant::now();
    tokio::spawn(watch_catalogue(client, STORE, policy, sender));
    let (_, position, _) = next_read(&mut messages, start).await;
    assert_eq!(position.era, 1);
    tokio::time::sleep(RESTORE_AT).await;
    eras.send_replace(2);
    let (_, position, at) = next_read(&mut messages, start).await;
    assert_eq!((position.era, at), (2, RESTORE_AT));
}

/// Guards against a list of the former era that arrives late and is taken for the present one, also
/// when it lacks the header, and against one that is not read again soon.
#[tokio::test(start_paused = true)]
async fn a_late_list_of_a_former_era_is_read_again() {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    static HEADERLESS_CALLS: AtomicU64 = AtomicU64::new(0);
    let stated = StoreClient {
        read_catalogue: |_, from| {
            let call = CALLS.fetch_add(1, Ordering::Relaxed);
            Box::pin(late_list(call, from, Some(1)))
        },
        ..REFUSING
    };
    expect_second_list(stated).await;
    let absent = StoreClient {
        read_catalogue: |_, from| {
            let call = HEADERLESS_CALLS.fetch_add(1, Ordering::Relaxed);
            Box::pin(late_list(call, from, None))
        },
        ..REFUSING
    };
    expect_second_list(absent).await;
}

/// Response to the call of this number: the first one arrives after the restore.
async fn late_list(
    call: u64,
    from: ReadFrom,
    era: Option<u64>,
) -> Result<StoreRead<Catalogue>, StoreError> {
    match call {
        0 => {
            tokio::time::sleep(RESTORE_AT).await;
            Ok(StoreRead::new(era, Number::of(50)))
        }
        1 => {
            assert_eq!(from, ReadFrom::List);
            Ok(StoreRead::new(Some(2), Number::of(40)))
        }
        _ => std::future::pending().await,
    }
}

async fn expect_second_list(client: StoreClient) {
    let (sender, mut messages) = mpsc::channel(8);
    let eras = watch::Sender::new(1);
    let policy = ReadPolicy {
        era: eras.clone(),
        ..policy(false)
    };
    let start = Instant::now();
    tokio::spawn(watch_catalogue(client, STORE, policy, sender));
    tokio::time::sleep(RESTORE_AT / 2).await;
    eras.send_replace(2);
    let failed = messages.recv().await;
    assert!(matches!(failed, Some(Message::ReadFailed(_))), "{failed:?}");
    let (_, position, at) = next_read(&mut messages, start).await;
    assert_eq!((position.era, position.revision), (2, Number::of(40)));
    assert!(at <= RESTORE_AT + Duration::from_millis(100), "{at:?}");
}
