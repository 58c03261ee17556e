//! Performs the calls of the decision crate `lease` against a store.

use std::time::Instant as Clock;

use monsoon_lease::{Call, ConditionalWrite, Event, ObjectState, WriteOutcome, WriteStep};
use monsoon_model::{Duration, Instant, Version};

use crate::client::Client;
use crate::error::PutError;
use crate::object::{Condition, StoredObject};

/// Result of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// Event for the decision code.
    pub event: Event,
    /// Object that was read.
    pub object: Option<(Version, StoredObject)>,
    /// Failure in words.
    pub reason: Option<String>,
}

/// Outcome of a write with what was seen on the way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteResult {
    /// Outcome.
    pub outcome: WriteOutcome,
    /// Object of the last read, if one was needed and it exists.
    pub present: Option<(Version, StoredObject)>,
    /// Last failure in words.
    pub reason: Option<String>,
}

/// Makes one call; a write stores `author` and `text` with the call's change id.
pub async fn perform(
    client: &Client,
    name: &str,
    call: Call,
    author: &str,
    text: &str,
) -> CallResult {
    let result = match call {
        Call::Read => client.get(name).await.map_or_else(
            |error| (Event::ReadFailed, None, Some(error.to_string())),
            |object| (Event::Read(object.as_ref().map(present)), object, None),
        ),
        Call::Put { condition, change } => {
            let stored = StoredObject {
                change,
                author: author.to_owned(),
                text: text.to_owned(),
            };
            client
                .put(name, Condition::of(condition), &stored)
                .await
                .map_or_else(
                    |error| (event_of(&error), None, Some(reason_of(&error))),
                    |version| (Event::Written(version), None, None),
                )
        }
    };
    CallResult {
        event: result.0,
        object: result.1,
        reason: result.2,
    }
}

/// Writes `stored` under the condition that the object has the version `condition` (`None`: does
/// not exist), and settles a lost answer, for at most `patience` plus one call.
pub async fn write_conditionally(
    client: &Client,
    name: &str,
    condition: Option<Version>,
    stored: &StoredObject,
    patience: Duration,
) -> WriteResult {
    let start = Clock::now();
    let now = || Instant::ZERO + Duration::from(start.elapsed());
    let mut write = ConditionalWrite::new(now(), stored.change.clone(), condition, patience);
    let (mut seen, mut reason) = (None, None);
    let mut event = Event::Tick;
    loop {
        event = match write.handle(now(), event) {
            WriteStep::Done(outcome) => {
                return WriteResult {
                    outcome,
                    present: seen,
                    reason,
                };
            }
            WriteStep::Wait(wake) => {
                tokio::time::sleep(wake.since(now()).into()).await;
                Event::Tick
            }
            WriteStep::Call(call) => {
                let reads = call == Call::Read;
                let done = perform(client, name, call, &stored.author, &stored.text).await;
                reason = done.reason.or(reason);
                seen = if reads { done.object } else { seen };
                done.event
            }
        };
    }
}

fn present((version, stored): &(Version, StoredObject)) -> ObjectState {
    ObjectState {
        version: *version,
        change: stored.change.clone(),
    }
}

/// Failure in words; the remedy for a lost answer is what [`write_conditionally`] does.
fn reason_of(error: &PutError) -> String {
    match error {
        PutError::UnknownOutcome { reason } => reason.clone(),
        _ => error.to_string(),
    }
}

fn event_of(error: &PutError) -> Event {
    match error {
        PutError::Conflict { .. } => Event::ConditionFailed,
        PutError::UnknownOutcome { .. } => Event::AnswerLost,
        PutError::NotSent(_) => Event::NotSent,
        PutError::Refused { .. } | PutError::TooLarge { .. } => Event::Refused,
    }
}
