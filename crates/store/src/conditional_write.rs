//! Performs the store calls that the state machines of `monsoon_lease` decide on.

use std::time::Instant as Clock;

use monsoon_lease::{Call, ConditionalWrite, Event, ObjectState, WriteOutcome, WriteStep};
use monsoon_model::{Duration, Instant, Version};

use crate::client::Client;
use crate::error::PutError;
use crate::object::{Condition, StoredObject};

/// Result of one store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// Event for the state machine.
    pub event: Event,
    /// Object that was read, if the call was a read and the object exists.
    pub object: Option<(Version, StoredObject)>,
    /// Reason of a failure.
    pub reason: Option<String>,
}

/// Outcome of a conditional write, with the last object read and the last failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteResult {
    /// Whether the write took effect.
    pub outcome: WriteOutcome,
    /// Object of the last read, if a read was needed and the object exists.
    pub present: Option<(Version, StoredObject)>,
    /// Reason of the last failure.
    pub reason: Option<String>,
}

/// Makes one call; a write stores `author` and `text` with the call's change ID.
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

/// Writes `stored` if the object has the version `condition` (`None`: if it doesn't exist).
///
/// When a response is lost, the object is read to learn the outcome. Takes at most `patience` plus
/// the time of one call.
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
    let (mut last_read, mut reason) = (None, None);
    let mut event = Event::Tick;
    loop {
        event = match write.handle(now(), event) {
            WriteStep::Done(outcome) => {
                return WriteResult {
                    outcome,
                    present: last_read,
                    reason,
                };
            }
            WriteStep::Wait(wake) => {
                tokio::time::sleep(wake.since(now()).into()).await;
                Event::Tick
            }
            WriteStep::Call(call) => {
                let is_read = call == Call::Read;
                let result = perform(client, name, call, &stored.author, &stored.text).await;
                reason = result.reason.or(reason);
                last_read = if is_read { result.object } else { last_read };
                result.event
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

/// Reason of a failure. The remedy for an unknown outcome is left out, because
/// [`write_conditionally`] applies it.
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
