//! Checks of the fleet's invariants. A check that fails ends the run with a message that names the
//! invariant, the seed and the time.

use std::collections::BTreeMap;

use monsoon_config::Evacuations;
use monsoon_lease::WriteOutcome;
use monsoon_model::{Duration, Instant, Version};

use super::configuration::version;
use super::flow::{End, Forwarded, Stage};
use super::operators::{Operator, WRITE_TIMEOUT};
use super::process::{Condition, DATA_CENTRE_NAMES, Phase};
use super::store::{OBJECTS, Object};
use super::{Fleet, Policy};

/// Time after an evacuation in which packets may still reach the data centre.
const EVACUATION_BOUND: Duration = Duration::from_secs(3);
/// Time after the start of a planned stop in which the agent may still accept flows.
const LEAVING_BOUND: Duration = Duration::from_secs(3);
/// Time in which an accepted configuration has to be in force everywhere.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);
/// Time after the end of a fault of store or links before the bounds apply again. A watch waits up
/// to 5 s between two attempts.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Time in which a resumed process learns what changed while it was suspended. A suspended process,
/// like one that is cut off from everything, cannot know of a change.
const RESUME_GRACE: Duration = Duration::from_secs(2);

/// Time after a cut in which members that were wrongly declared dead refute it, and resets due to
/// these declarations reach the callers.
const CUT_GRACE: Duration = Duration::from_secs(5);

/// Most time between the starts of two operators that race.
const RACE_WINDOW: Duration = Duration::from_secs(2);

/// What the store accepted, which data centres are evacuated and when faults ended.
#[derive(Debug)]
pub struct GroundTruth {
    accepted: [Vec<(Version, Instant)>; 2],
    /// Data centres that are evacuated, and since when.
    pub evacuated_at: BTreeMap<u8, Instant>,
    /// When each data centre was last restored.
    restored_at: BTreeMap<u8, Instant>,
    /// Number of faults of store and links in progress.
    pub active_faults: u32,
    /// End of the last such fault.
    pub healthy_since: Instant,
    /// When the last cut of a link between data centres ended.
    pub cut_at: Option<Instant>,
    /// When the store last lost a value.
    pub lost_at: Option<Instant>,
    versions: BTreeMap<usize, monsoon_model::Versions>,
}

impl GroundTruth {
    pub fn new(now: Instant) -> Self {
        Self {
            accepted: [Vec::new(), Vec::new()],
            evacuated_at: BTreeMap::new(),
            restored_at: BTreeMap::new(),
            active_faults: 0,
            healthy_since: now,
            cut_at: None,
            lost_at: None,
            versions: BTreeMap::new(),
        }
    }

    /// Whether the newest value of an object was accepted more than `bound` ago, with store and
    /// links up.
    pub fn is_known(&self, now: Instant, object: Object, bound: Duration) -> bool {
        let last = self.accepted[object as usize].last();
        last.is_none_or(|(_, at)| self.is_due(now, *at, bound))
    }

    /// Whether `bound` has passed since a change at `since`, with store and links up.
    fn is_due(&self, now: Instant, since: Instant, bound: Duration) -> bool {
        let start = if self.healthy_since > since {
            self.healthy_since + RECOVERY_TIME
        } else {
            since
        };
        self.active_faults == 0 && now > start + bound
    }
}

impl Fleet {
    /// Ends the run with the broken invariant, the seed and the time since the start of the run.
    fn fail(&self, invariant: &str, what: &str) -> ! {
        let at = self.now.since(Instant::from_secs(1_000)).as_secs_f64();
        panic!(
            "invariant {invariant}: {what}; seed {} at {at:.3} s",
            self.setup.seed
        );
    }

    /// Records a write that the store accepted.
    pub(super) fn record_accepted(&mut self, object: Object, version: Version) {
        self.totals.accepted_writes += 1;
        self.truth.accepted[object as usize].push((version, self.now));
        if object == Object::Document {
            return;
        }
        let text = &self.store.get(object).text;
        let evacuations = Evacuations::parse(text).expect("a text of the simulation is valid");
        for number in 1..=3 {
            let is_evacuated = evacuations
                .data_centres
                .contains(DATA_CENTRE_NAMES[usize::from(number)]);
            if is_evacuated {
                self.truth.evacuated_at.entry(number).or_insert(self.now);
            } else if self.truth.evacuated_at.remove(&number).is_some() {
                self.truth.restored_at.insert(number, self.now);
            }
        }
    }

    /// Invariant 4: no packet of a caller reaches a data centre more than 3 s after its evacuation.
    /// Packets through a balancer that resumed lately are excepted.
    pub(super) fn check_evacuation(&mut self, index: usize, forwarded: &Forwarded) {
        let process = &self.processes[index];
        let Some(since) = self.truth.evacuated_at.get(&process.data_centre).copied() else {
            return;
        };
        self.measured.last_packet = Some(self.now);
        let process = &self.processes[index];
        let resumed_at = forwarded
            .balancer
            .map(|balancer| self.processes[balancer].resumed_at);
        let is_excepted = resumed_at.is_some_and(|at| {
            at > Instant::ZERO && self.now.since(at) < RESUME_GRACE + EVACUATION_BOUND
        });
        if self.truth.is_due(self.now, since, EVACUATION_BOUND) && !is_excepted && self.is_strict {
            let elapsed = self.now.since(since).as_secs_f64();
            let what = format!(
                "{:?} reached data centre {} {elapsed:.3} s after its evacuation, hop {} from balancer {:?}",
                forwarded.packet, process.data_centre, forwarded.hop, forwarded.balancer
            );
            self.fail("4", &what);
        }
    }

    /// Invariant 2: a packet reaches only agents of its own service.
    pub(super) fn check_service(&self, index: usize, forwarded: &Forwarded) {
        let process = &self.processes[index];
        let flow = &self.flows[forwarded.flow];
        if process.service != Some(flow.service) {
            let what = format!(
                "{:?} of service {} reached an agent of {:?}",
                forwarded.packet, flow.service, process.service
            );
            self.fail("2", &what);
        }
    }

    /// Invariant 8: a leaving agent accepts no new flow after 3 s. Also counts handshakes that more
    /// than one agent accepts.
    pub(super) fn check_leaving(&mut self, index: usize, flow: usize) {
        let process = &self.processes[index];
        if process
            .left_at
            .is_some_and(|at| self.now > at + LEAVING_BOUND)
        {
            self.fail(
                "8",
                &format!("flow {flow} started at leaving agent {index}"),
            );
        }
        let flow = &mut self.flows[flow];
        let is_new = !flow.acceptors.contains(&index);
        let in_progress = matches!(flow.stage, Stage::Hello | Stage::Finish);
        if is_new && in_progress {
            flow.acceptors.push(index);
            self.totals.split_handshakes += u64::from(flow.acceptors.len() == 2);
        }
    }

    /// Invariant 1: an established flow breaks only with its agent or its data centre, or by a cut
    /// within a membership group.
    pub(super) fn check_broken(&mut self, index: usize, end: End) {
        let flow = &self.flows[index];
        let is_excused = flow.agent.is_some_and(|agent| {
            let process = &self.processes[agent];
            let is_evacuated = self.truth.evacuated_at.contains_key(&process.data_centre);
            let restored_at = self.truth.restored_at.get(&process.data_centre);
            let was_evacuated = restored_at.is_some_and(|at| *at >= flow.opened_at);
            process.is_harmed || is_evacuated || was_evacuated || self.is_cut_within_group()
        });
        if is_excused {
            self.totals.lost += 1;
            return;
        }
        self.totals.broken += 1;
        if self.is_strict {
            let age = self.now.since(flow.opened_at).as_secs_f64();
            let agent = flow.agent.map(|agent| {
                let process = &self.processes[agent];
                (
                    agent,
                    process.data_centre,
                    process.condition,
                    process.agent.phase,
                )
            });
            let what = format!("flow {index} broke by {end:?} at age {age:.3} s, agent {agent:?}");
            self.fail("1", &what);
        }
    }

    /// Whether a cut separates a membership group or did so lately. Watchers on the far side then
    /// declare live agents dead, and balancers reset the flows of these agents.
    fn is_cut_within_group(&self) -> bool {
        let is_cut = !self.links.cuts.is_empty();
        let cut_recently = self
            .truth
            .cut_at
            .is_some_and(|at| self.now.since(at) < CUT_GRACE);
        self.setup.document.contains("group = ") && (is_cut || cut_recently)
    }

    /// A handshake that two live agents accepted must still complete. Also counts handshakes that
    /// did not end in time.
    pub(super) fn check_handshake(&mut self, index: usize) {
        self.totals.not_opened += 1;
        let flow = &self.flows[index];
        let is_live = |agent: &&usize| {
            let process = &self.processes[**agent];
            !process.is_harmed && process.agent.phase == Phase::Serving
        };
        let live_acceptors = flow.acceptors.iter().filter(is_live).count();
        if self.is_strict
            && self.truth.is_due(self.now, flow.opened_at, Duration::ZERO)
            && live_acceptors >= 2
        {
            let what = format!(
                "the handshake of flow {index} was accepted by agents {:?} but did not complete",
                flow.acceptors
            );
            self.fail("handshake", &what);
        }
    }

    /// Invariant 10: the versions in force at a process never decrease.
    pub(super) fn check_versions(&mut self, index: usize) {
        let versions = self.processes[index].config.versions();
        let before = self.truth.versions.insert(index, versions);
        if let Some(before) = before
            && before.is_ahead_of(versions)
        {
            let what = format!("process {index} went from {before:?} back to {versions:?}");
            self.fail("10", &what);
        }
    }

    /// Least version of an object that has to be in force by now at a process that has run since
    /// `since`.
    fn required(&self, object: Object, since: Instant) -> Version {
        let accepted = self.truth.accepted[object as usize].iter();
        let due_versions = accepted
            .filter(|(_, at)| {
                self.truth
                    .is_due(self.now, (*at).max(since), IN_FORCE_BOUND)
            })
            .map(|(version, _)| *version);
        due_versions.max().unwrap_or_default()
    }

    /// Invariant 10: an accepted configuration is in force at every running process within 5 s.
    pub(super) fn check_configuration(&mut self) {
        for (index, process) in self.processes.iter().enumerate() {
            let is_leaving = process.is_balancer() && process.left_at.is_some();
            if process.condition != Condition::Running || !process.is_started || is_leaving {
                continue;
            }
            let since = process.started_at.max(process.resumed_at);
            for object in OBJECTS {
                let (have, need) = (
                    version(process.config.versions(), object),
                    self.required(object, since),
                );
                if have < need {
                    let what = format!("process {index} has {object:?} {have}, not {need}");
                    self.fail("10", &what);
                }
            }
        }
    }

    /// Invariant 10: a balancer does not serve callers with a configuration that was replaced more
    /// than 5 s ago, not even right after its start.
    pub(super) fn check_forwarding(&self, at: usize) {
        let process = &self.processes[at];
        if self.setup.policy != Policy::Ours || process.resumed_at > Instant::ZERO {
            return;
        }
        for object in OBJECTS {
            let have = version(process.config.versions(), object);
            let need = self.required(object, Instant::ZERO);
            if have < need {
                let age = self.now.since(process.started_at).as_secs_f64();
                let what = format!(
                    "balancer {at} serves callers {age:.3} s after its start with {object:?} {have}, not {need}"
                );
                self.fail("10", &what);
            }
        }
    }

    /// Invariant 10: of two operators that change the same version exactly one succeeds, and the
    /// other learns the change of the first, unless the store was down meanwhile.
    pub(super) fn check_race(&self, index: usize) {
        let one = &self.operators[index];
        let rivals = self.operators.iter().filter(|two| {
            // After the loss of a value later operators see an old version again. They do not race
            // with the earlier ones.
            let concurrent = two
                .started_at
                .max(one.started_at)
                .since(two.started_at.min(one.started_at))
                < RACE_WINDOW;
            let same_base = two.object == one.object && two.condition == one.condition;
            concurrent && same_base && two.change != one.change
        });
        for two in rivals {
            match (&one.outcome, &two.outcome) {
                (Some(WriteOutcome::Written(_)), Some(WriteOutcome::Written(_))) => {
                    self.fail("10", "two racing operators both succeeded");
                }
                (Some(WriteOutcome::Written(_)), Some(WriteOutcome::Conflict(Some(present))))
                    if present.change != one.change =>
                {
                    self.fail(
                        "10",
                        "an operator with a conflict did not learn the change that succeeded",
                    );
                }
                (Some(WriteOutcome::Conflict(_)), Some(WriteOutcome::Conflict(_)))
                    if self.truth.active_faults == 0 && !self.is_explained(one) =>
                {
                    self.fail("10", "neither of two racing operators succeeded");
                }
                _ => {}
            }
        }
    }

    /// Whether two conflicts have a reason: a third operator may have succeeded, or the store lost
    /// the value that both changed.
    fn is_explained(&self, one: &Operator) -> bool {
        let is_recent = |at| self.now.since(at) < WRITE_TIMEOUT;
        let same_base =
            |two: &&Operator| two.object == one.object && two.condition == one.condition;
        let has_lost = |two: &Operator| matches!(two.outcome, Some(WriteOutcome::Conflict(_)));
        let third_won = !self.operators.iter().filter(same_base).all(has_lost);
        third_won || self.truth.lost_at.is_some_and(is_recent)
    }

    /// Every handshake ends within 15 s, be it with an open flow or not.
    pub(super) fn check_end(&self) {
        let now = self.now;
        for (index, flow) in self.flows.iter().enumerate() {
            let in_handshake = matches!(flow.stage, Stage::Hello | Stage::Finish);
            if in_handshake && now.since(flow.opened_at) > Duration::from_secs(15) {
                self.fail(
                    "handshake",
                    &format!("the handshake of flow {index} did not end"),
                );
            }
        }
    }
}
