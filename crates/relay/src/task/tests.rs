//! Tests of the restart of tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use super::supervise;

/// Guards against a task that a panic ends for good, while its process runs on without it.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&starts);
    supervise("test", move || {
        let counter = Arc::clone(&counter);
        async move {
            let earlier = counter.fetch_add(1, Ordering::Relaxed);
            assert!(earlier >= 2, "the first two starts fail");
        }
    });
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
}
