//! Service while a data centre leaves and returns.

use std::fmt::Write as _;

use monsoon_model::{Duration, Instant, ServiceId};

use super::plan::{START, Step};
use super::{Due, Fleet, Policy, Setup};

/// Callers of inspection checks, each with one check at a time.
const CALLERS: usize = 300;
/// Time between the starts of two callers, so that their checks do not coincide.
const SPREAD: Duration = Duration::from_micros(11_667);
/// Longest time of a check, as the document states it.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time that a target needs for a check.
const WORK: Duration = Duration::from_millis(60);
/// Seconds of the run at which the data centre leaves and returns, and at which the run ends.
const TIMES: [u64; 3] = [30, 50, 80];
/// Data centre that leaves; it has three of the seven endpoints.
const PLACE: u8 = 1;

/// Checks by the second in which they were asked.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    pub callers: usize,
    pub asked: Vec<u64>,
    pub in_time: Vec<u64>,
    /// Last packet of a caller to the data centre while it was out.
    pub last_packet: Option<Instant>,
}

impl Measured {
    fn count(list: &mut Vec<u64>, second: usize) {
        if list.len() <= second {
            list.resize(second + 1, 0);
        }
        list[second] += 1;
    }
}

impl Fleet {
    /// Schedules the start of the measured callers.
    fn start_measured(&mut self, delay: Duration) {
        self.after(delay, Due::Measure);
    }

    /// Starts the measured callers one after the other.
    pub(super) fn measure(&mut self) {
        let caller = self.measured.callers;
        if caller == CALLERS {
            return;
        }
        self.measured.callers += 1;
        let index = self.open_flow(ServiceId(1), Some(caller));
        self.asked_check(index);
        self.start_measured(SPREAD);
    }

    /// Counts a measured check in the second in which its caller wants it.
    pub(super) fn asked_check(&mut self, index: usize) {
        if self.flows[index].measured.is_some() {
            let second = self.flows[index].asked.since(START).as_millis() / 1_000;
            Measured::count(&mut self.measured.asked, second as usize);
        }
    }

    /// A measured check was answered.
    pub(super) fn answered(&mut self, index: usize) {
        let flow = &self.flows[index];
        if flow.measured.is_some() && self.now.since(flow.asked) <= DEADLINE {
            let second = flow.asked.since(START).as_millis() / 1_000;
            Measured::count(&mut self.measured.in_time, second as usize);
        }
    }

    /// A measured caller opens its next flow at once. It takes along a check that it could not send
    /// yet. One that it sent has no known outcome and is not asked again.
    pub(super) fn reopen(&mut self, ended: usize, caller: usize) {
        if self.now >= self.setup.end {
            return;
        }
        let (wanted, is_unsent) = (self.flows[ended].asked, self.flows[ended].request == 0);
        let next = self.open_flow(ServiceId(1), Some(caller));
        if is_unsent {
            self.flows[next].asked = wanted;
        } else {
            self.asked_check(next);
        }
    }
}

fn measure(seed: u64, policy: Policy) -> Fleet {
    let mut fleet = Fleet::new(Setup {
        seed,
        policy,
        document: super::report::DIRECTORATE.to_owned(),
        balancers: 3,
        agents: vec![(1, 1), (1, 1), (1, 1), (2, 1), (2, 1), (3, 1), (3, 1)],
        rate: 0,
        work: WORK,
        end: START + Duration::from_secs(TIMES[2]),
    });
    fleet.start_measured(Duration::from_secs(10));
    fleet.plan(Duration::from_secs(TIMES[0]), Step::TakeOutPlace(PLACE));
    fleet.plan(Duration::from_secs(TIMES[1]), Step::BringBack);
    fleet.run();
    fleet
}

fn share(fleet: &Fleet, from: u64, to: u64) -> f64 {
    let sum = |list: &[u64]| -> u64 {
        let seconds = list.iter().skip(from as usize);
        seconds.take((to - from) as usize).sum()
    };
    let asked = sum(&fleet.measured.asked);
    100.0 * sum(&fleet.measured.in_time) as f64 / asked.max(1) as f64
}

/// Runs all policies and returns the tables.
pub fn run(seed: u64) -> String {
    let policies = [Policy::Ours, Policy::HashOnly, Policy::Random];
    let fleets = policies.map(|policy| measure(seed, policy));
    let mut text = String::from(
        "| policy | before % | first 3 s out % | rest out % | first 3 s back % | after % | last packet there, s after the write |\n|---|---|---|---|---|---|---|\n",
    );
    let [out, back, end] = TIMES;
    for (policy, fleet) in policies.iter().zip(&fleets) {
        let last = fleet.measured.last_packet.map_or_else(
            || "none".to_owned(),
            |at| {
                let late = at.since(START + Duration::from_secs(out));
                format!("{:.3}", late.as_secs_f64())
            },
        );
        writeln!(
            text,
            "| {policy:?} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {last} |",
            share(fleet, 15, out),
            share(fleet, out, out + 3),
            share(fleet, out + 3, back),
            share(fleet, back, back + 3),
            share(fleet, back + 3, end - 4),
        )
        .expect("writing to a string");
    }
    text +=
        "\n| second | checks asked | ours % | hash only % | random % |\n|---|---|---|---|---|\n";
    for second in (out - 2..out + 5).chain(back - 2..back + 5) {
        let asked = fleets[0].measured.asked.get(second as usize).copied();
        let shares = fleets
            .each_ref()
            .map(|fleet| share(fleet, second, second + 1));
        writeln!(
            text,
            "| {second} | {} | {:.1} | {:.1} | {:.1} |",
            asked.unwrap_or(0),
            shares[0],
            shares[1],
            shares[2]
        )
        .expect("writing to a string");
    }
    text
}
