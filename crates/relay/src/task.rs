//! Tasks beside the main loop, which must not end unnoticed.

use std::time::Duration;

use tokio::time::sleep;

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a task until it returns. When it panics, it is started again, so that one unexpected input
/// does not stop it for good.
pub(crate) fn supervise<F>(name: &'static str, start: impl Fn() -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(start()).await {
            log::error!("task: failed name={name} error=\"{error}\"; starting it again");
            sleep(RESTART_DELAY).await;
        }
        log::info!("task: ended name={name}");
    });
}

#[cfg(test)]
mod tests;
