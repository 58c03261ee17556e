//! Tasks that the daemon cannot run without.

use tokio::task::JoinHandle;

/// Exit code after an essential task panicked, that of a Rust program whose main thread panics.
const EXIT_PANIC: i32 = 101;

/// Starts a task whose panic ends the process with a reason. Its state is lost with it, and other
/// tasks may wait for it for ever, so that only a new process can continue.
pub fn spawn_essential(
    name: &'static str,
    task: impl Future<Output = ()> + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        // Without a panic, the task has returned or the runtime is shutting down.
        if let Err(error) = tokio::spawn(task).await
            && error.is_panic()
        {
            log::error!("process: ends because task {name} failed: {error}");
            log::logger().flush();
            std::process::exit(EXIT_PANIC);
        }
    })
}

#[cfg(test)]
mod tests;
