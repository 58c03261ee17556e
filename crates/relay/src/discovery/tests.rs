//! Tests of the registry of agents across restores of the store, on paused time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use super::read_registry;
use crate::store_watch::tests::{REFUSING, STORE};
use crate::{AgentRegistry, StoreClient};

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
