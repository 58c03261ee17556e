//! When the store is read, and why a call in progress is given up.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// The same for a process on duty. Bounds the time for which all processes miss changes after lost
/// answers.
pub(super) const SHORT_WAIT: Duration = Duration::from_secs(1);
/// Time for an answer, after [`SHORT_WAIT`]. It usually takes milliseconds. A later one costs one
/// more call.
pub(super) const SHORT_WAIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Least time between the starts of a failed read and the next one; doubles up to
/// [`MAX_RETRY_DELAY`].
pub(super) const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay from a failed read to the next. Short compared with the time in which a change has
/// to be in force.
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// The same while other processes are heard, which tell of a change. Each refused call is priced,
/// and the store may refuse a part of the processes for long.
pub(super) const SUPPORTED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Signals that decide when the store is read.
#[derive(Clone, Debug)]
pub(crate) struct ReadPolicy {
    /// Raised when everything has to be read again.
    pub generation: watch::Receiver<u64>,
    /// Set while other processes announce changes, so that the store need not be watched.
    pub peers_suffice: watch::Receiver<bool>,
    /// Set while the configuration is checked and other processes announce changes, so that a
    /// failed read is not urgent.
    pub is_supported: watch::Receiver<bool>,
    /// Set while other processes rely on this one to notice each change soon.
    pub is_on_duty: watch::Receiver<bool>,
    /// Raised when another process has a change that the watches have not delivered.
    pub behind: watch::Receiver<u64>,
    /// Latest era of the store that is known. It is raised by each response and by the
    /// configuration of a peer.
    pub era: watch::Sender<u64>,
    /// Whether the first list may be some seconds old, because other processes announce what is
    /// newer, and nothing is decided by this process alone.
    pub starts_stale: bool,
}

/// Why a call in progress is given up.
pub(super) enum Interruption {
    /// Everything has to be read again.
    ReadAll,
    /// Other processes announce changes.
    PeersSuffice,
    /// A change may have been missed, or must not be missed from now on.
    Poll,
    /// The answer to a short watch is overdue.
    NoAnswer,
}

impl ReadPolicy {
    /// Waits until there is a reason to give up the call in progress. `watch` is the time for which
    /// the call waits for a change, if it does, and `era` the era of the revision from which it
    /// reads changes.
    pub(super) async fn interruption(
        &mut self,
        watch: Option<Duration>,
        era: Option<u64>,
    ) -> Interruption {
        let mut eras = self.era.subscribe();
        let is_short = watch == Some(SHORT_WAIT);
        let interruption = tokio::select! {
            Ok(()) = self.generation.changed() => Some(Interruption::ReadAll),
            Ok(_) = eras.wait_for(|known| era.is_some_and(|era| *known > era)) => {
                Some(Interruption::ReadAll)
            }
            Ok(_) = self.peers_suffice.wait_for(|peers_suffice| *peers_suffice) => {
                Some(Interruption::PeersSuffice)
            }
            Ok(()) = self.behind.changed(), if watch.is_some() => Some(Interruption::Poll),
            Ok(_) = self.is_on_duty.wait_for(|is_on_duty| *is_on_duty),
                if watch.is_some() && !is_short => Some(Interruption::Poll),
            () = sleep(SHORT_WAIT + SHORT_WAIT_TIMEOUT), if is_short => {
                Some(Interruption::NoAnswer)
            }
            // The process ends.
            else => None,
        };
        match interruption {
            Some(interruption) => interruption,
            None => std::future::pending().await,
        }
    }

    /// Waits at most for `delay` until it is known whether a list of `era` has to be watched.
    pub(super) async fn wait_to_watch(&mut self, delay: Duration, era: u64) {
        let mut eras = self.era.subscribe();
        tokio::select! {
            () = sleep(delay) => {}
            Ok(_) = self.peers_suffice.wait_for(|peers_suffice| *peers_suffice) => {}
            // All has to be read again.
            Ok(()) = self.generation.changed() => {}
            Ok(_) = eras.wait_for(|known| *known > era) => {}
        }
    }

    /// Waits until a read may follow one that was called at `called_at` and failed.
    pub(super) async fn wait_to_retry(&mut self, called_at: Instant, delay: Duration) {
        let retry_at = called_at + delay.mul_f64(rand::random_range(0.5..1.0));
        let mut eras = self.era.subscribe();
        tokio::select! {
            () = sleep_until(retry_at) => {}
            // All has to be read again.
            Ok(()) = self.generation.changed() => {}
            Ok(()) = eras.changed() => {}
            // Without support, the delay is too long.
            Ok(_) = self.is_supported.wait_for(|is_supported| !*is_supported),
                if delay > MAX_RETRY_DELAY => {}
        }
    }
}

/// Records an era in the signal that all watches follow.
pub(crate) fn raise_era(signal: &watch::Sender<u64>, era: u64) {
    signal.send_if_modified(|known| {
        let is_later = era > *known;
        *known = era.max(*known);
        is_later
    });
}

/// Delay from one more failed read to the next.
pub(super) fn next_delay(delay: Duration, is_supported: bool) -> Duration {
    let longest = if is_supported {
        SUPPORTED_RETRY_DELAY
    } else {
        MAX_RETRY_DELAY
    };
    (delay * 2).min(longest)
}
