//! Experiment: share of inspection checks answered in time while a data centre is evacuated and
//! restored.

use std::fmt::Write as _;

use monsoon_model::{Duration, Instant, ServiceId};

use super::plan::{START, Step};
use super::{Fleet, FleetEvent, Policy, Setup};

/// Number of measured callers, each with one inspection check at a time.
const CALLER_COUNT: usize = 300;
/// Time between the starts of two callers, so that their checks do not coincide.
const START_INTERVAL: Duration = Duration::from_micros(11_667);
/// Deadline of a check, as in the document.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time that a target takes for a check.
const CHECK_TIME: Duration = Duration::from_millis(60);
/// Seconds of the run at which the data centre is evacuated and restored, and at which the run
/// ends.
const TIMES_SECS: [u64; 3] = [30, 50, 80];
/// Data centre that is evacuated. It has three of the seven targets.
const DATA_CENTRE: u8 = 1;

/// Counts of the measured checks, by the second in which the caller made them.
#[derive(Clone, Debug, Default)]
pub struct MeasuredChecks {
    pub started_callers: usize,
    /// Checks that callers made.
    pub requested: Vec<u64>,
    /// Checks that were answered within their deadline.
    pub in_time: Vec<u64>,
    /// When a caller's packet last reached the data centre while it was evacuated.
    pub last_packet: Option<Instant>,
}

impl MeasuredChecks {
    fn count(list: &mut Vec<u64>, second: usize) {
        if list.len() <= second {
            list.resize(second + 1, 0);
        }
        list[second] += 1;
    }
}

impl Fleet {
    /// Schedules the start of the next measured caller.
    fn schedule_measured(&mut self, delay: Duration) {
        self.schedule(delay, FleetEvent::StartMeasured);
    }

    /// Starts the next measured caller and schedules the one after it.
    pub(super) fn start_measured_caller(&mut self) {
        let caller = self.measured.started_callers;
        if caller == CALLER_COUNT {
            return;
        }
        self.measured.started_callers += 1;
        let index = self.open_flow(ServiceId(1), Some(caller));
        self.count_requested(index);
        self.schedule_measured(START_INTERVAL);
    }

    /// Counts a measured check in the second in which its caller makes it.
    pub(super) fn count_requested(&mut self, index: usize) {
        if self.flows[index].measured_caller.is_some() {
            let second = self.flows[index].requested_at.since(START).as_millis() / 1_000;
            MeasuredChecks::count(&mut self.measured.requested, second as usize);
        }
    }

    /// Counts an answered check if it is measured and in time.
    pub(super) fn count_answered(&mut self, index: usize) {
        let flow = &self.flows[index];
        if flow.measured_caller.is_some() && self.now.since(flow.requested_at) <= DEADLINE {
            let second = flow.requested_at.since(START).as_millis() / 1_000;
            MeasuredChecks::count(&mut self.measured.in_time, second as usize);
        }
    }

    /// Opens the next flow of a measured caller at once. A check that was not sent yet moves to the
    /// new flow with its time. A check that was sent has an unknown outcome and is not repeated.
    pub(super) fn reopen(&mut self, ended: usize, caller: usize) {
        if self.now >= self.setup.end {
            return;
        }
        let (requested_at, is_unsent) = (
            self.flows[ended].requested_at,
            self.flows[ended].last_request == 0,
        );
        let next = self.open_flow(ServiceId(1), Some(caller));
        if is_unsent {
            self.flows[next].requested_at = requested_at;
        } else {
            self.count_requested(next);
        }
    }
}

fn simulate(seed: u64, policy: Policy) -> Fleet {
    let mut fleet = Fleet::new(Setup {
        seed,
        policy,
        document: super::report::DIRECTORATE.to_owned(),
        balancers: 3,
        agents: vec![(1, 1), (1, 1), (1, 1), (2, 1), (2, 1), (3, 1), (3, 1)],
        flow_rate: 0,
        request_time: CHECK_TIME,
        end: START + Duration::from_secs(TIMES_SECS[2]),
    });
    fleet.schedule_measured(Duration::from_secs(10));
    fleet.schedule_step(
        Duration::from_secs(TIMES_SECS[0]),
        Step::Evacuate(DATA_CENTRE),
    );
    fleet.schedule_step(Duration::from_secs(TIMES_SECS[1]), Step::Restore);
    fleet.run();
    fleet
}

/// Percentage of the checks answered in time, of those made from second `from` until before `to`.
fn percent_in_time(fleet: &Fleet, from: u64, to: u64) -> f64 {
    let total = |list: &[u64]| -> u64 {
        let seconds = list.iter().skip(from as usize);
        seconds.take((to - from) as usize).sum()
    };
    let requested = total(&fleet.measured.requested);
    100.0 * total(&fleet.measured.in_time) as f64 / requested.max(1) as f64
}

/// Runs all policies and returns the tables.
pub fn run(seed: u64) -> String {
    let policies = [Policy::Ours, Policy::HashOnly, Policy::Random];
    let fleets = policies.map(|policy| simulate(seed, policy));
    let mut text = String::from(
        "| policy | before % | first 3 s out % | rest out % | first 3 s back % | after % | last packet there, s after the write |\n|---|---|---|---|---|---|---|\n",
    );
    let [evacuated, restored, end] = TIMES_SECS;
    for (policy, fleet) in policies.iter().zip(&fleets) {
        let last_packet = fleet.measured.last_packet.map_or_else(
            || "none".to_owned(),
            |at| {
                let elapsed = at.since(START + Duration::from_secs(evacuated));
                format!("{:.3}", elapsed.as_secs_f64())
            },
        );
        writeln!(
            text,
            "| {policy:?} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {last_packet} |",
            percent_in_time(fleet, 15, evacuated),
            percent_in_time(fleet, evacuated, evacuated + 3),
            percent_in_time(fleet, evacuated + 3, restored),
            percent_in_time(fleet, restored, restored + 3),
            percent_in_time(fleet, restored + 3, end - 4),
        )
        .expect("writing to a string");
    }
    text +=
        "\n| second | checks asked | ours % | hash only % | random % |\n|---|---|---|---|---|\n";
    for second in (evacuated - 2..evacuated + 5).chain(restored - 2..restored + 5) {
        let requested = fleets[0].measured.requested.get(second as usize).copied();
        let percents = fleets
            .each_ref()
            .map(|fleet| percent_in_time(fleet, second, second + 1));
        writeln!(
            text,
            "| {second} | {} | {:.1} | {:.1} | {:.1} |",
            requested.unwrap_or(0),
            percents[0],
            percents[1],
            percents[2]
        )
        .expect("writing to a string");
    }
    text
}
