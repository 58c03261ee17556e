//! Simulated target that processes a bounded number of requests at a time.

use std::collections::VecDeque;

use monsoon_flow::FlowKey;
use monsoon_model::Duration;

use super::{DELAY, Event, World, answer};

/// Requests that wait at the target. It turns away those beyond.
const QUEUE_MAX: usize = 8;

/// Requests at one target.
#[derive(Clone, Debug, Default)]
pub struct Work {
    pub slots: u16,
    /// Mean time of a request, in milliseconds. Times are uniform from half to one and a half of it.
    pub mean_ms: u64,
    /// Requests that the target turned away with status 503.
    pub turned_away: u32,
    pub answered: u32,
    running: usize,
    waiting: VecDeque<FlowKey>,
}

impl Work {
    pub fn new(slots: u16, mean_ms: u64) -> Self {
        Self {
            slots,
            mean_ms,
            ..Self::default()
        }
    }
}

impl World {
    /// Starts, queues or turns away a request that reached the target.
    pub(super) fn begin_request(&mut self, number: u8, key: FlowKey) {
        let target = self.targets.get_mut(&number).expect("target exists");
        let work = target.work.as_mut().expect("target has work");
        if work.running < usize::from(work.slots) {
            work.running += 1;
            let mean = work.mean_ms;
            let time = mean.div_ceil(2) + self.random(mean);
            self.push(Duration::from_millis(time), Event::Done(number, key));
        } else if work.waiting.len() < QUEUE_MAX {
            work.waiting.push_back(key);
        } else {
            work.turned_away += 1;
            self.send_answer(number, key);
        }
    }

    pub(super) fn finish_request(&mut self, number: u8, key: FlowKey) {
        let target = self.targets.get_mut(&number).expect("target exists");
        let work = target.work.as_mut().expect("target has work");
        work.running -= 1;
        work.answered += 1;
        let next = work.waiting.pop_front();
        self.send_answer(number, key);
        if let Some(next) = next {
            self.begin_request(number, next);
        }
    }

    fn send_answer(&mut self, number: u8, key: FlowKey) {
        let Some(&offer) = self.targets[&number].flows.get(&key) else {
            return;
        };
        let packet = self.packet(answer(key, offer));
        self.push(DELAY, Event::FromTarget(number, packet));
    }
}
