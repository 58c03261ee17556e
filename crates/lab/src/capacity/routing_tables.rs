//! Processor time and memory of a balancer's routing tables.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, DataCentreId, Instant, ServiceId};
use monsoon_routing::{Candidate, Router};

use super::fit::Series;
use super::probe;

/// Number of services that the system is designed for.
pub const SERVICES: usize = 360;
/// Number of targets that the system is designed for.
pub const TARGETS: usize = 3_700;
/// Part whose memory a child process measures: tables by the number of targets.
pub const PART_TARGETS: &str = "tables-by-targets";
/// Part whose memory a child process measures: tables by the number of services.
pub const PART_SERVICES: &str = "tables-by-services";
const TARGET_SIZES: [usize; 5] = [360, 925, 1_850, 2_775, TARGETS];
const SERVICE_SIZES: [usize; 5] = [36, 90, 180, 270, SERVICES];
const COPIES: usize = 3;

/// Time between two changes, long enough that the table history of the first has expired.
const CHANGE_INTERVAL_SECS: u64 = 20;

/// Candidates of each service. The first 3 of 7 data centres are in the balancer's region.
fn candidates(services: usize, targets: usize) -> Vec<Vec<Candidate>> {
    let mut by_service = vec![Vec::new(); services];
    for number in 0..targets {
        let data_centre = (number / services) % 7;
        by_service[number % services].push(Candidate {
            id: AgentId(mix(1, number as u64)),
            agent: SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 + number as u32), 4_433),
            data_centre: DataCentreId(data_centre as u8 + 1),
            weight: 400,
            local: data_centre < 3,
        });
    }
    by_service
}

/// Updates the tables of all services, as a balancer does after each change of the members.
fn update(router: &mut Router, second: u64, candidates: &[Vec<Candidate>]) {
    for (number, targets) in candidates.iter().enumerate() {
        let service = ServiceId(number as u16 + 1);
        router.update(Instant::from_secs(second), service, targets.iter().copied());
    }
}

fn built_router(candidates: &[Vec<Candidate>]) -> Router {
    let mut router = Router::new();
    update(&mut router, 1, candidates);
    router
}

/// Time in microseconds for one change of a target of the first service, which turns cold or warm.
fn change(mut candidates: Vec<Vec<Candidate>>) -> f64 {
    let mut router = built_router(&candidates);
    let mut second = 1;
    probe::least_micros(|| {
        second += CHANGE_INTERVAL_SECS;
        let target = &mut candidates[0][0];
        target.weight = if target.weight == 400 { 40 } else { 400 };
        update(&mut router, second, &candidates);
    })
}

/// Time in microseconds for evacuating and restoring a data centre of the balancer's region.
fn evacuate_and_restore(candidates: &[Vec<Candidate>]) -> f64 {
    let mut router = built_router(candidates);
    let mut second = 1;
    probe::least_micros(|| {
        for evacuations in [BTreeSet::from([DataCentreId(1)]), BTreeSet::new()] {
            second += CHANGE_INTERVAL_SECS;
            router.set_evacuations(Instant::from_secs(second), evacuations);
        }
    })
}

fn first_build(candidates: &[Vec<Candidate>]) -> f64 {
    probe::least_micros(|| built_router(candidates))
}

const OF_TARGETS: &str = "targets of 360 services";
const OF_SERVICES: &str = "services with 3,700 targets in all";

/// Memory of a router with its tables, in bytes.
pub fn bytes(services: usize, targets: usize) -> f64 {
    let candidates = candidates(services, targets);
    probe::growth(COPIES, || built_router(&candidates))
}

pub fn measure() -> Vec<Series> {
    const BUILD: &str = "tables, first build, µs";
    const CHANGE: &str = "tables, one target changes, µs";
    const EVACUATE: &str = "tables, a data centre out and back, µs";
    const MEMORY: &str = "tables held, bytes";
    vec![
        Series::new(BUILD, OF_TARGETS, TARGET_SIZES, |size| {
            first_build(&candidates(SERVICES, size))
        }),
        Series::new(CHANGE, OF_TARGETS, TARGET_SIZES, |size| {
            change(candidates(SERVICES, size))
        }),
        Series::new(EVACUATE, OF_TARGETS, TARGET_SIZES, |size| {
            evacuate_and_restore(&candidates(SERVICES, size))
        }),
        Series::new(MEMORY, OF_TARGETS, TARGET_SIZES, |size| {
            probe::growth_in_child(PART_TARGETS, size)
        }),
        Series::new(BUILD, OF_SERVICES, SERVICE_SIZES, |size| {
            first_build(&candidates(size, TARGETS))
        }),
        Series::new(CHANGE, OF_SERVICES, SERVICE_SIZES, |size| {
            change(candidates(size, TARGETS))
        }),
        Series::new(MEMORY, OF_SERVICES, SERVICE_SIZES, |size| {
            probe::growth_in_child(PART_SERVICES, size)
        }),
    ]
}
