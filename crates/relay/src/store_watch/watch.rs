//! Watch of one object: the calls one after the other, and what follows from each response.

use std::time::Duration;

use monsoon_model::Number;
use tokio::time::{Instant, sleep};

use super::policy::{
    Interruption, MAX_RETRY_DELAY, MIN_RETRY_DELAY, ReadPolicy, SHORT_WAIT, next_delay, raise_era,
};
use super::rejected_entries;
use crate::message::{Message, MessageSender, Position, StoreObject};
use crate::{ReadFrom, StoreError, StoreFuture, StoreRead};

/// Time for which the store holds a watch open while other processes tell of changes. The store
/// allows 30 s.
const LONG_WAIT: Duration = Duration::from_secs(25);
/// Delay after a change, so that changes in quick succession cost one call together. Short compared
/// with the time in which a change has to be in force.
const CHANGE_DELAY: Duration = Duration::from_millis(600);
/// Longest delay from a whole list to the first watch of a process that usually relies on others.
/// It relies on them again once both objects were read, so that the watch is a call for nothing.
const FIRST_WATCH_DELAY: Duration = Duration::from_millis(100);

/// Time for which a process with a stale list waits for the configuration of a peer before it reads
/// the whole list. Peers usually answer within two announcements at the start.
const PEER_WAIT: Duration = Duration::from_millis(500);

/// State of a watch.
struct Watch {
    object: StoreObject,
    policy: ReadPolicy,
    messages: MessageSender,
    /// Revision up to which the object was read; `None` when the whole list is to be read.
    revision: Option<Number>,
    /// Era of the last read.
    era: u64,
    /// How the whole list is read.
    list: ReadFrom,
    /// Generation of the last call.
    generation: u64,
    retry_delay: Duration,
    is_failing: bool,
    /// After a watch without an answer, the next call does not wait: a change may have been missed.
    must_poll: bool,
}

/// What a response contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Extent {
    /// The whole list, as it is now or was some seconds ago.
    StaleList,
    /// The whole list as it is now.
    List,
    /// The changes since the last read.
    Changes,
}

/// The process ends.
struct Ended;

pub(super) async fn watch_object<T>(
    object: StoreObject,
    read: impl Fn(ReadFrom) -> StoreFuture<StoreRead<T>>,
    mut apply: impl FnMut(StoreRead<T>, u64, Extent) -> Option<Message>,
    policy: ReadPolicy,
    messages: MessageSender,
) {
    let list = if policy.starts_stale {
        ReadFrom::StaleList
    } else {
        ReadFrom::List
    };
    let generation = *policy.generation.borrow();
    let mut watch = Watch {
        object,
        policy,
        messages,
        revision: None,
        era: 0,
        list,
        generation,
        retry_delay: MIN_RETRY_DELAY,
        is_failing: false,
        must_poll: false,
    };
    while watch.step(&read, &mut apply).await.is_ok() {}
}

impl Watch {
    /// The whole list is read next.
    fn read_all(&mut self) {
        self.revision = None;
        self.list = ReadFrom::List;
    }

    /// Makes one call and handles its outcome.
    async fn step<T>(
        &mut self,
        read: impl Fn(ReadFrom) -> StoreFuture<StoreRead<T>>,
        apply: impl FnMut(StoreRead<T>, u64, Extent) -> Option<Message>,
    ) -> Result<(), Ended> {
        let called_at = Instant::now();
        let policy = &mut self.policy;
        let generation = *policy.generation.borrow_and_update();
        let peers_suffice = *policy.peers_suffice.borrow_and_update();
        let is_on_duty = *policy.is_on_duty.borrow_and_update();
        policy.behind.mark_unchanged();
        if peers_suffice {
            tokio::select! {
                Ok(()) = policy.peers_suffice.changed() => {}
                Ok(()) = policy.generation.changed() => {}
                else => return Err(Ended),
            }
            self.read_all();
            return Ok(());
        }
        let is_outdated = generation != self.generation || self.era < *policy.era.borrow();
        self.generation = generation;
        if is_outdated && self.revision.is_some() {
            self.read_all();
        }
        let wait = match (self.must_poll, is_on_duty) {
            (true, _) => Duration::ZERO,
            (false, true) => SHORT_WAIT,
            (false, false) => LONG_WAIT,
        };
        let changes = |after| ReadFrom::Changes { after, wait };
        let from = self.revision.map_or(self.list, changes);
        let watch = (self.revision.is_some() && !self.must_poll).then_some(wait);
        let era = self.revision.map(|_| self.era);
        let known = *self.policy.era.borrow();
        let result = tokio::select! {
            result = read(from) => result,
            interruption = self.policy.interruption(watch, era) => match interruption {
                Interruption::ReadAll => {
                    self.read_all();
                    return Ok(());
                }
                Interruption::PeersSuffice => return Ok(()),
                Interruption::Poll => {
                    self.must_poll = true;
                    return Ok(());
                }
                Interruption::NoAnswer => Err(StoreError::Unavailable {
                    reason: "a watch was not answered in time".to_owned(),
                }),
            },
        };
        let was_poll = std::mem::take(&mut self.must_poll);
        match result.and_then(|response| self.check_era(response, known)) {
            Ok((response, era)) if self.revision.is_some() && era > self.era => {
                log::info!(
                    "store: new era={era} object={:?} revision={}; reading all again",
                    self.object,
                    response.revision
                );
                raise_era(&self.policy.era, era);
                self.read_all();
            }
            Ok((response, era)) => {
                // A store that does not hold a watch open must not be called without a pause.
                let was_held = was_poll || called_at.elapsed() >= MAX_RETRY_DELAY;
                self.deliver(response, era, was_held, apply).await?;
            }
            Err(StoreError::Gone) => {
                log::info!(
                    "store: history gone object={:?} after={:?}",
                    self.object,
                    self.revision
                );
                self.revision = None;
                sleep(MIN_RETRY_DELAY.mul_f64(rand::random_range(0.0..1.0))).await;
            }
            Err(error) => self.handle_failure(called_at, &error).await?,
        }
        Ok(())
    }

    /// Rejects a late response of a former era. Returns the era of the others; a response without
    /// the header belongs to the era that was `known` at the call, because the store may have been
    /// restored since.
    fn check_era<T>(
        &mut self,
        response: StoreRead<T>,
        known: u64,
    ) -> Result<(StoreRead<T>, u64), StoreError> {
        let era = response.era.unwrap_or(known);
        if era < *self.policy.era.borrow() {
            self.read_all();
            return Err(StoreError::Unavailable {
                reason: format!("the response is of the former era {era}"),
            });
        }
        Ok((response, era))
    }

    async fn send(&self, message: Message) -> Result<(), Ended> {
        if self.messages.send(message).await.is_err() {
            return Err(Ended);
        }
        Ok(())
    }

    /// Hands on what was read.
    async fn deliver<T>(
        &mut self,
        response: StoreRead<T>,
        era: u64,
        was_held: bool,
        mut apply: impl FnMut(StoreRead<T>, u64, Extent) -> Option<Message>,
    ) -> Result<(), Ended> {
        let (object, revision) = (self.object, response.revision);
        self.era = era;
        raise_era(&self.policy.era, era);
        if self.is_failing {
            log::info!("store: regained object={object:?} revision={revision}");
        }
        self.is_failing = false;
        self.retry_delay = MIN_RETRY_DELAY;
        let extent = match (self.revision, self.list) {
            (Some(_), _) => Extent::Changes,
            (None, ReadFrom::StaleList) => Extent::StaleList,
            (None, _) => Extent::List,
        };
        self.list = ReadFrom::List;
        let has_entries = !(response.items.is_empty() && response.rejected.is_empty());
        let rejected = rejected_entries(&response, object.kind());
        let message = apply(response, era, extent);
        for message in rejected.into_iter().chain(message) {
            self.send(message).await?;
        }
        if extent == Extent::StaleList {
            // Only a list that is up to date counts as read.
            self.policy.wait_to_watch(PEER_WAIT, era).await;
            return Ok(());
        }
        self.revision = Some(revision);
        let position = Position { era, revision };
        let read = Message::ObjectRead(object, self.generation, position);
        self.send(read).await?;
        if extent == Extent::List && self.policy.starts_stale {
            self.policy.wait_to_watch(FIRST_WATCH_DELAY, era).await;
        }
        if extent == Extent::Changes && (has_entries || !was_held) {
            let mut eras = self.policy.era.subscribe();
            tokio::select! {
                () = sleep(CHANGE_DELAY) => {}
                Ok(_) = eras.wait_for(|known| *known > era) => {}
            }
        }
        Ok(())
    }

    async fn handle_failure(
        &mut self,
        called_at: Instant,
        error: &StoreError,
    ) -> Result<(), Ended> {
        let object = self.object;
        if !self.is_failing {
            log::warn!("store: lost object={object:?} error=\"{error}\"");
        }
        self.is_failing = true;
        self.must_poll = true;
        let failed = Message::ReadFailed(object);
        self.send(failed).await?;
        let delay = self.retry_delay;
        self.policy.wait_to_retry(called_at, delay).await;
        self.retry_delay = next_delay(delay, *self.policy.is_supported.borrow());
        Ok(())
    }
}
