//! Tests of the watch on paused time, with a store that fails, refuses entries or does not wait.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use monsoon_model::{Number, Version};
use tokio::sync::{mpsc, watch};

use super::{ReadPolicy, watch_catalogue, watch_evacuations};
use crate::message::{Message, Update};
use crate::{
    AgentRegistry, EvacuationEntry, ReadFrom, RejectedEntry, StoreClient, StoreError, StoreRead,
};

pub(crate) const STORE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

fn unavailable<T>() -> Result<T, StoreError> {
    Err(StoreError::Unavailable {
        reason: "429".to_owned(),
    })
}

/// Store that refuses every call.
pub(crate) const REFUSING: StoreClient = StoreClient {
    read_catalogue: |_, _| Box::pin(async { unavailable() }),
    read_evacuations: |_, _| Box::pin(async { unavailable() }),
    list_balancers: |_| Box::pin(async { unavailable() }),
    read_agents: |_| Box::pin(async { unavailable() }),
    write_agents: |_, _: AgentRegistry| Box::pin(async { unavailable() }),
    register_balancer: |_, _, _| Box::pin(async { unavailable() }),
};

pub(super) fn policy(is_supported: bool) -> ReadPolicy {
    // The senders are gone, as at the end of a process; the values stay.
    ReadPolicy {
        generation: watch::Sender::new(0).subscribe(),
        peers_suffice: watch::Sender::new(false).subscribe(),
        is_supported: watch::Sender::new(is_supported).subscribe(),
        is_on_duty: watch::Sender::new(false).subscribe(),
        behind: watch::Sender::new(0).subscribe(),
        era: watch::Sender::new(0),
        starts_stale: false,
    }
}

/// Policy of a process that others rely on.
fn on_duty() -> ReadPolicy {
    ReadPolicy {
        is_on_duty: watch::Sender::new(true).subscribe(),
        ..policy(false)
    }
}

/// Store that loses the answer to every watch, while its connection stays open. Calls that do not
/// wait are answered.
const SILENT: StoreClient = StoreClient {
    read_catalogue: |_, from| match from {
        ReadFrom::Changes { wait, .. } if wait > Duration::ZERO => Box::pin(async move {
            tokio::time::sleep(wait + Duration::from_millis(1_500)).await;
            unavailable()
        }),
        ReadFrom::Changes { after, .. } => {
            let revision = Number::of(after.saturating_u64() + 1);
            Box::pin(async move { Ok(StoreRead::new(None, revision)) })
        }
        ReadFrom::List | ReadFrom::StaleList => {
            Box::pin(async { Ok(StoreRead::new(None, Number::of(1))) })
        }
    },
    ..REFUSING
};

/// Time from the first read of the catalogue to the next one that succeeds.
async fn next_read(client: StoreClient, policy: ReadPolicy) -> Duration {
    let (sender, mut messages) = mpsc::channel(8);
    let watch = tokio::spawn(watch_catalogue(client, STORE, policy, sender));
    let mut reads = Vec::new();
    while reads.len() < 2 {
        if let Message::ObjectRead(..) = messages.recv().await.expect("the watch continues") {
            reads.push(tokio::time::Instant::now());
        }
    }
    watch.abort();
    reads[1] - reads[0]
}

/// Guards against a change that no process notices before the end of a long watch, because the
/// answers to the watches of all were lost while their connections stayed open.
#[tokio::test(start_paused = true)]
async fn a_process_on_duty_notices_a_lost_answer_soon() {
    let delay = next_read(SILENT, on_duty()).await;
    assert!(delay <= Duration::from_secs(2), "{delay:?}");
}

/// Guards against a process that keeps waiting for an answer that was lost although another process
/// has told it of the change.
#[tokio::test(start_paused = true)]
async fn a_process_that_is_behind_polls_the_store() {
    let behind = watch::Sender::new(0);
    let policy = ReadPolicy {
        behind: behind.subscribe(),
        ..policy(true)
    };
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(1)).await;
        behind.send_modify(|behind| *behind += 1);
        std::future::pending::<()>().await;
    });
    let delay = next_read(SILENT, policy).await;
    assert_eq!(delay, Duration::from_secs(1));
}

/// Guards against a process that takes over the duty and still waits for an answer that was lost.
#[tokio::test(start_paused = true)]
async fn a_process_that_takes_over_the_duty_polls_the_store() {
    let is_on_duty = watch::Sender::new(false);
    let policy = ReadPolicy {
        is_on_duty: is_on_duty.subscribe(),
        ..policy(true)
    };
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(1)).await;
        is_on_duty.send_replace(true);
        std::future::pending::<()>().await;
    });
    let delay = next_read(SILENT, policy).await;
    assert_eq!(delay, Duration::from_secs(1));
}

/// Guards against short watches of every process, whose calls would grow with the deployment.
#[tokio::test(start_paused = true)]
async fn only_a_process_on_duty_calls_an_unchanged_store_often() {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let client = StoreClient {
        read_catalogue: |_, from| {
            CALLS.fetch_add(1, Ordering::Relaxed);
            Box::pin(async move {
                if let ReadFrom::Changes { wait, .. } = from {
                    tokio::time::sleep(wait).await;
                }
                Ok(StoreRead::new(None, Number::of(1)))
            })
        },
        ..REFUSING
    };
    watch_for_a_minute(client, policy(true)).await;
    let supported = CALLS.swap(0, Ordering::Relaxed);
    assert!(supported <= 4, "{supported} calls");
    watch_for_a_minute(client, on_duty()).await;
    let on_duty = CALLS.swap(0, Ordering::Relaxed);
    assert!((55..=62).contains(&on_duty), "{on_duty} calls");
}

/// Runs a watch on the catalogue for a minute and discards its messages.
async fn watch_for_a_minute(client: StoreClient, policy: ReadPolicy) {
    let (sender, mut messages) = mpsc::channel(8);
    tokio::spawn(async move { while messages.recv().await.is_some() {} });
    let watch = watch_catalogue(client, STORE, policy, sender);
    let _ = tokio::time::timeout(Duration::from_mins(1), watch).await;
}

/// Guards against an agent that watches the store after each list, although it relies on others once
/// both objects were read. After a restore every agent reads the lists.
#[tokio::test(start_paused = true)]
async fn an_agent_does_not_watch_when_peers_suffice_after_a_list() {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let client = StoreClient {
        read_catalogue: |_, from| {
            CALLS.fetch_add(1, Ordering::Relaxed);
            Box::pin(async move {
                match from {
                    ReadFrom::Changes { .. } => std::future::pending().await,
                    _ => Ok(StoreRead::new(None, Number::of(1))),
                }
            })
        },
        ..REFUSING
    };
    let peers_suffice = watch::Sender::new(false);
    let policy = ReadPolicy {
        peers_suffice: peers_suffice.subscribe(),
        starts_stale: true,
        ..policy(true)
    };
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        peers_suffice.send_replace(true);
        std::future::pending::<()>().await;
    });
    watch_for_a_minute(client, policy).await;
    assert_eq!(CALLS.load(Ordering::Relaxed), 1);
}

/// Load pattern: the store refuses a third of the processes for long. Guards against each of them
/// calling it more than once a second although others tell it of changes, and against a process on
/// its own that notices the return of the store late.
#[tokio::test(start_paused = true)]
async fn a_refused_process_that_others_support_calls_rarely() {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let client = StoreClient {
        read_catalogue: |_, _| {
            CALLS.fetch_add(1, Ordering::Relaxed);
            Box::pin(async { unavailable() })
        },
        ..REFUSING
    };
    watch_for_a_minute(client, policy(true)).await;
    let supported = CALLS.swap(0, Ordering::Relaxed);
    assert!((30..=60).contains(&supported), "{supported} calls");
    watch_for_a_minute(client, policy(false)).await;
    let alone = CALLS.swap(0, Ordering::Relaxed);
    assert!((75..=160).contains(&alone), "{alone} calls");
}

/// Guards against a process that calls the store without a pause when it answers watches at once.
#[tokio::test(start_paused = true)]
async fn a_store_that_does_not_wait_is_called_rarely() {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let client = StoreClient {
        read_catalogue: |_, _| {
            // Without a pause between the calls, the paused time would never advance.
            let calls = CALLS.fetch_add(1, Ordering::Relaxed);
            assert!(calls < 1_000, "the store is called without a pause");
            Box::pin(async { Ok(StoreRead::new(None, Number::of(7))) })
        },
        ..REFUSING
    };
    watch_for_a_minute(client, policy(true)).await;
    let calls = CALLS.load(Ordering::Relaxed);
    assert!((60..=120).contains(&calls), "{calls} calls");
}

/// Guards against an evacuation that ends because its entry cannot be read any more, and against
/// one of a data centre that does not exist.
#[tokio::test(start_paused = true)]
async fn an_evacuation_ends_only_when_its_entry_is_gone() {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let client = StoreClient {
        read_evacuations: |_, from| {
            let call = CALLS.fetch_add(1, Ordering::Relaxed);
            let entry = |name: &str, is_evacuated, revision| EvacuationEntry {
                data_centre: name.to_owned(),
                is_evacuated,
                revision: Number::of(revision),
            };
            let rejected = |name: Option<&str>| RejectedEntry {
                name: name.map(str::to_owned),
                reason: "number out of range".to_owned(),
            };
            let mut read = StoreRead::new(None, Number::of(10 + call));
            match call {
                0 => {
                    assert_eq!(from, ReadFrom::List);
                    read.push(Ok(entry("brno", true, 1)));
                    read.push(Ok(entry("olomouc", true, 2)));
                    read.push(Ok(entry("nowhere", true, 3)));
                }
                1 => read.push(Err(rejected(Some("brno")))),
                2 => return Box::pin(async { Err(StoreError::Gone) }),
                3 => {
                    read.push(Err(rejected(Some("brno"))));
                    read.push(Err(rejected(None)));
                }
                4 => read.push(Ok(entry("brno", false, 14))),
                _ => return Box::pin(std::future::pending()),
            }
            Box::pin(async { Ok(read) })
        },
        ..REFUSING
    };
    let known = Arc::new(BTreeSet::from(["brno", "olomouc"].map(str::to_owned)));
    let (sender, mut messages) = mpsc::channel(8);
    tokio::spawn(watch_evacuations(
        client,
        STORE,
        known,
        policy(true),
        sender,
    ));
    let mut seen = Vec::new();
    while let Ok(Some(message)) =
        tokio::time::timeout(Duration::from_secs(30), messages.recv()).await
    {
        if let Message::Update(
            Update::ChangedEvacuations(evacuations, _) | Update::ListedEvacuations(evacuations, _),
        ) = message
        {
            let names: Vec<_> = evacuations.data_centres.into_iter().collect();
            seen.push((evacuations.version, names.join(" ")));
        }
    }
    let expected = [
        (Version::of(2), "brno olomouc"),
        (Version::of(0), "brno"),
        (Version::of(14), ""),
    ];
    assert_eq!(
        seen,
        expected.map(|(version, names)| (version, names.to_owned()))
    );
}
