//! Tests of the registry of agents across restores of the store, on paused time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use monsoon_model::Number;
use tokio::sync::{mpsc, watch};

use super::{read_registry, write_registry};
use crate::message::Message;
use crate::store_watch::tests::{REFUSING, STORE};
use crate::{AgentRegistry, StoreClient, StoreWrite};

/// Guards against a balancer that reads the registry without a pause while the store answers with
/// a former era, and against a registry of that era which is taken for the present one.
#[tokio::test(start_paused = true)]
async fn a_registry_of_a_former_era_is_read_again_after_a_delay() {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let client = StoreClient {
        read_agents: |_| {
            CALLS.fetch_add(1, Ordering::Relaxed);
            Box::pin(async {
                Ok(AgentRegistry {
                    era: Some(1),
                    ..AgentRegistry::default()
                })
            })
        },
        ..REFUSING
    };
    let (sender, mut messages) = mpsc::channel(8);
    let era = watch::Sender::new(2);
    tokio::spawn(read_registry(client, STORE, era.subscribe(), sender));
    let message = tokio::time::timeout(Duration::from_mins(1), messages.recv()).await;
    assert!(message.is_err(), "{message:?}");
    let calls = CALLS.load(Ordering::Relaxed);
    assert!((10..=20).contains(&calls), "{calls} calls");
}

/// Guards against a conditional write that counts as done in a later era, because the response to
/// the write before it lacked the header.
#[tokio::test]
async fn a_write_without_an_era_keeps_that_of_its_condition() {
    let client = StoreClient {
        write_agents: |_, _| {
            Box::pin(async {
                Ok(StoreWrite {
                    era: None,
                    revision: Number::of(9),
                })
            })
        },
        ..REFUSING
    };
    let (sender, mut messages) = mpsc::channel(8);
    let registry = AgentRegistry {
        era: Some(1),
        revision: Some(Number::of(7)),
        ..AgentRegistry::default()
    };
    write_registry(client, STORE, registry, sender).await;
    let Some(Message::RegistryWritten(Ok(written))) = messages.recv().await else {
        panic!("the write succeeds");
    };
    assert_eq!(
        (written.era, written.revision),
        (Some(1), Some(Number::of(9)))
    );
}
