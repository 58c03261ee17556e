//! Admission control: the async side of the sans-I/O admission state machine.
//!
//! A request waits until it is started or shed. Its permit reports the end of the work when it is
//! dropped, so that every path releases the slot.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use monsoon_admission::{
    Action, Admission, HealthReport, Load, Outcome, ShedReason, TargetParameters, WorkId,
};
use monsoon_model::{ClassKey, Duration, Instant};
use tokio::sync::{Notify, oneshot};

use crate::clock::Clock;

/// Shortest time until the next tick.
const MIN_TICK: Duration = Duration::from_millis(1);

/// Admission to the local target.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    clock: Clock,
    state: Arc<Mutex<State>>,
    /// Wakes the timer when the time of the next tick may have changed.
    tick_changed: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    waiting: BTreeMap<WorkId, oneshot::Sender<Result<(), ShedReason>>>,
    last_id: u64,
}

impl AdmissionControl {
    /// Admission control by the service parameters of the document.
    pub fn new(clock: Clock, parameters: TargetParameters) -> Self {
        let state = State {
            admission: Admission::new(parameters),
            waiting: BTreeMap::new(),
            last_id: 0,
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
            tick_changed: Arc::default(),
        }
    }

    /// Waits until the work may start.
    ///
    /// # Errors
    /// Returns the reason if the work was shed. It was not started.
    pub async fn admit(
        &self,
        class: ClassKey,
        deadline: Option<Instant>,
    ) -> Result<Permit, ShedReason> {
        let (work, admitted) = {
            let mut state = self.lock();
            state.last_id += 1;
            let work = WorkId(state.last_id);
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(work, sender);
            let now = self.clock.now();
            let actions = state.admission.offer(now, work, class, deadline);
            state.apply(actions);
            (work, receiver)
        };
        self.tick_changed.notify_one();
        // If the caller goes away while it waits, dropping the permit cancels the queued work.
        let mut permit = Permit {
            admission_control: self.clone(),
            work,
            outcome: Outcome::Cancelled,
            is_started: false,
        };
        match admitted.await {
            Ok(Ok(())) => {
                permit.is_started = true;
                Ok(permit)
            }
            Ok(Err(reason)) => {
                permit.forget();
                Err(reason)
            }
            Err(_closed) => Err(ShedReason::Cancelled),
        }
    }

    /// Runs the timer of the admission state machine until the process ends.
    pub async fn run_timer(self) {
        loop {
            let next = self.lock().admission.next_tick();
            // An overdue tick waits too, so that the loop does not starve other tasks.
            let next = next.map(|at| at.max(self.clock.now() + MIN_TICK));
            tokio::select! {
                () = self.clock.sleep_until(next) => self.update(Admission::tick),
                () = self.tick_changed.notified() => {}
            }
        }
    }

    /// Handles a report of the target's health.
    pub fn report(&self, report: HealthReport) {
        self.update(|admission, now| admission.report(now, report));
    }

    /// Applies changed service parameters.
    pub fn reconfigure(&self, parameters: TargetParameters) {
        self.update(|admission, now| admission.reconfigure(now, parameters));
    }

    /// Stops admitting new work.
    pub fn set_leaving(&self) {
        self.update(Admission::set_leaving);
    }

    pub fn load(&self) -> Load {
        self.lock().admission.load()
    }

    fn update(&self, change: impl FnOnce(&mut Admission, Instant) -> Vec<Action>) {
        {
            let mut state = self.lock();
            let actions = change(&mut state.admission, self.clock.now());
            state.apply(actions);
        }
        self.tick_changed.notify_one();
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
                // If the receiver is closed, dropping the permit reports the end.
                let _ = waiting.send(result);
            }
        }
    }
}

/// Permit of admitted work. Dropping it reports the end of the work.
#[derive(Debug)]
pub struct Permit {
    admission_control: AdmissionControl,
    work: WorkId,
    outcome: Outcome,
    is_started: bool,
}

impl Permit {
    /// Sets how the work ended. By default it counts as cancelled.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Drops the permit of work that was shed, without a report.
    fn forget(mut self) {
        self.work = WorkId(0);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (work, outcome) = (self.work, self.outcome);
        if work == WorkId(0) {
            return;
        }
        // Work that no longer waits was started, even if its task did not receive the result.
        let is_queued = self
            .admission_control
            .lock()
            .waiting
            .remove(&work)
            .is_some();
        if is_queued && !self.is_started {
            self.admission_control
                .update(|admission, now| admission.cancel(now, work));
        } else {
            self.admission_control
                .update(|admission, now| admission.finish(now, work, outcome));
        }
    }
}
