//! Waiting for admission: the async side of the sans-I/O admission state.
//!
//! A request waits here until admission starts or sheds it. The permit reports the end of the work
//! when it is dropped, so that no path can leak a slot.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use monsoon_admission::{
    Action, Admission, HealthReport, Load, Outcome, ShedReason, TargetParameters, WorkId,
};
use monsoon_model::{ClassKey, Duration, Instant};
use tokio::sync::{Notify, oneshot};

use crate::clock::Clock;

/// Shortest time between two ticks.
const MIN_TICK: Duration = Duration::from_millis(1);

/// Admission to the local target.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    clock: Clock,
    state: Arc<Mutex<State>>,
    /// Wakes the timer when the next tick may have moved.
    changed: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    waiting: BTreeMap<WorkId, oneshot::Sender<Result<(), ShedReason>>>,
    last: u64,
}

impl AdmissionControl {
    /// Admission control with the service parameters of the document.
    pub fn new(clock: Clock, parameters: TargetParameters) -> Self {
        let state = State {
            admission: Admission::new(parameters),
            waiting: BTreeMap::new(),
            last: 0,
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
        }
    }

    /// Waits until the target may take the work.
    ///
    /// # Errors
    /// Returns the reason when the work is shed; it was not started.
    pub async fn admit(
        &self,
        class: ClassKey,
        deadline: Option<Instant>,
    ) -> Result<Permit, ShedReason> {
        let (work, admitted) = {
            let mut state = self.lock();
            state.last += 1;
            let work = WorkId(state.last);
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(work, sender);
            let now = self.clock.now();
            let actions = state.admission.offer(now, work, class, deadline);
            state.apply(actions);
            (work, receiver)
        };
        self.changed.notify_one();
        // The guard withdraws queued work when the caller goes away while waiting.
        let mut permit = Permit {
            admission_control: self.clone(),
            work,
            outcome: Outcome::Cancelled,
            started: false,
        };
        match admitted.await {
            Ok(Ok(())) => {
                permit.started = true;
                Ok(permit)
            }
            Ok(Err(reason)) => {
                permit.disarm();
                Err(reason)
            }
            Err(_closed) => Err(ShedReason::Cancelled),
        }
    }

    /// Runs the timer of the admission state until the process ends.
    pub async fn run_timer(self) {
        loop {
            let next = self.lock().admission.next_tick();
            // A tick that is overdue must not keep the loop from other tasks.
            let next = next.map(|at| at.max(self.clock.now() + MIN_TICK));
            tokio::select! {
                () = self.clock.sleep_until(next) => self.with(Admission::tick),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Feeds a report of the target's own endpoint.
    pub fn report(&self, report: HealthReport) {
        self.with(|admission, now| admission.report(now, report));
    }

    /// Takes over changed service parameters.
    pub fn reconfigure(&self, parameters: TargetParameters) {
        self.with(|admission, now| admission.reconfigure(now, parameters));
    }

    /// Stops admitting new work.
    pub fn set_leaving(&self) {
        self.with(Admission::set_leaving);
    }

    /// Present load.
    pub fn load(&self) -> Load {
        self.lock().admission.load()
    }

    fn with(&self, change: impl FnOnce(&mut Admission, Instant) -> Vec<Action>) {
        {
            let mut state = self.lock();
            let actions = change(&mut state.admission, self.clock.now());
            state.apply(actions);
        }
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while the lock is held")
    }
}

impl State {
    fn apply(&mut self, actions: impl IntoIterator<Item = Action>) {
        for action in actions {
            let (work, result) = match action {
                Action::Start(work) => (work, Ok(())),
                Action::Shed(work, reason) => (work, Err(reason)),
            };
            if let Some(waiting) = self.waiting.remove(&work) {
                // A closed receiver means that the permit guard reports the end by itself.
                let _ = waiting.send(result);
            }
        }
    }
}

/// Admitted work; reports its end when dropped.
#[derive(Debug)]
pub struct Permit {
    admission_control: AdmissionControl,
    work: WorkId,
    outcome: Outcome,
    started: bool,
}

impl Permit {
    /// Notes how the work ended; without it the work counts as cancelled.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Forgets work that was shed.
    fn disarm(mut self) {
        self.work = WorkId(0);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (work, outcome) = (self.work, self.outcome);
        if work == WorkId(0) {
            return;
        }
        // Work that is no longer waiting was started, even if nobody received the news.
        let queued = self
            .admission_control
            .lock()
            .waiting
            .remove(&work)
            .is_some();
        if queued && !self.started {
            self.admission_control
                .with(|admission, now| admission.cancel(now, work));
        } else {
            self.admission_control
                .with(|admission, now| admission.finish(now, work, outcome));
        }
    }
}
