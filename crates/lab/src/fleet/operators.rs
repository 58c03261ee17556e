//! Operators: conditional writes of the two configuration objects by one operator or by several at
//! once.

use monsoon_lease::{Call, ConditionalWrite, Event, WriteOutcome, WriteStep};
use monsoon_model::{Duration, Instant, Version};

use super::store::Object;
use super::{Fleet, FleetEvent};

/// Time for which an operator retries a write.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an operator takes the answer of the store for lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Change of an object by one operator.
#[derive(Debug)]
pub struct Operator {
    write: ConditionalWrite,
    text: String,
    pub object: Object,
    /// Version that the change replaces.
    pub condition: Version,
    pub started_at: Instant,
    pub change: String,
    pub outcome: Option<WriteOutcome>,
}

impl Fleet {
    /// Starts a change of the present value of an object, unless the store is down.
    pub(super) fn start_change(&mut self, object: Object, text: String) -> Option<usize> {
        if self.store.is_down(self.now) {
            return None;
        }
        let index = self.operators.len();
        let condition = self.store.get(object).version;
        let change = format!("change-{index}");
        let write = ConditionalWrite::new(self.now, change.clone(), Some(condition), WRITE_TIMEOUT);
        self.operators.push(Operator {
            write,
            text,
            object,
            condition,
            started_at: self.now,
            change,
            outcome: None,
        });
        let delay = Duration::from_micros(self.rng.below(3_000));
        self.schedule(delay, FleetEvent::Operator(index, Event::Tick));
        Some(index)
    }

    /// Passes an event to an operator's write and performs what it returns.
    pub(super) fn advance_operator(&mut self, index: usize, event: Event) {
        let now = self.now;
        let operator = &mut self.operators[index];
        let object = operator.object;
        match operator.write.handle(now, event) {
            WriteStep::Call(Call::Put { condition, change }) => {
                let delay = self.store.delay(now, &mut self.rng);
                self.schedule(
                    delay,
                    FleetEvent::StorePut(index, object, condition, change),
                );
            }
            WriteStep::Call(Call::Read) => {
                let delay = self.store.delay(now, &mut self.rng);
                self.schedule(delay, FleetEvent::StoreRead(index, object));
            }
            WriteStep::Wait(at) => {
                self.schedule(at.since(now), FleetEvent::Operator(index, Event::Tick));
            }
            WriteStep::Done(outcome) => {
                operator.outcome = Some(outcome);
                self.check_race(index);
            }
        }
    }

    /// Writes to the store. When an answer is lost, the request or the answer was lost, and the
    /// operator does not know whether the write took effect.
    pub(super) fn put_object(
        &mut self,
        index: usize,
        object: Object,
        condition: Option<Version>,
        change: String,
    ) {
        let now = self.now;
        if self.store.is_down(now) {
            let fleet_event = FleetEvent::Operator(index, Event::NotSent);
            return self.schedule(Duration::from_millis(5), fleet_event);
        }
        let (call_lost, request_lost) = (
            self.rng.below(1_000) < self.store.lost_permille,
            self.rng.below(2) == 0,
        );
        if call_lost && request_lost {
            return self.schedule(
                ANSWER_TIMEOUT,
                FleetEvent::Operator(index, Event::AnswerLost),
            );
        }
        let text = self.operators[index].text.clone();
        let event = match self.store.put(object, condition, change, text) {
            Some(version) => {
                self.record_accepted(object, version);
                self.wake_watches(Some(object));
                Event::Written(version)
            }
            None => Event::ConditionFailed,
        };
        if call_lost {
            return self.schedule(
                ANSWER_TIMEOUT,
                FleetEvent::Operator(index, Event::AnswerLost),
            );
        }
        self.schedule(Duration::from_millis(1), FleetEvent::Operator(index, event));
    }

    pub(super) fn read_object(&mut self, index: usize, object: Object) {
        let event = if self.store.is_down(self.now) {
            Event::ReadFailed
        } else {
            Event::Read(Some(self.store.get(object).object_state()))
        };
        self.schedule(Duration::from_millis(1), FleetEvent::Operator(index, event));
    }
}
