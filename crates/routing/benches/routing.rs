//! Benchmarks of routing decisions and table updates by number of targets.

#![allow(
    missing_docs,
    reason = "the benchmark harness generates undocumented items"
)]

use std::net::{Ipv4Addr, SocketAddrV4};

use divan::{Bencher, black_box};
use monsoon_model::hash::mix;
use monsoon_model::{AgentId, Chain, DataCentreId, Hop, Instant, ServiceId};
use monsoon_routing::{Candidate, Destination, Handoff, Load, PacketKind, Router, Table};

const SERVICE: ServiceId = ServiceId(1);
const TARGETS: [u64; 4] = [10, 100, 1_000, 3_700];

fn main() {
    divan::main();
}

fn address(id: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + id as u32), 4_000)
}

fn candidates(count: u64) -> Vec<Candidate> {
    let candidate = |id| Candidate {
        id: AgentId(id),
        agent: address(id),
        data_centre: DataCentreId(1 + (id % 7) as u8),
        weight: 9,
        local: true,
    };
    (1..=count).map(candidate).collect()
}

fn router(count: u64) -> Router {
    let mut router = Router::new();
    router.update(Instant::ZERO, SERVICE, candidates(count));
    router
}

/// New flow in a table without recent changes.
#[divan::bench(args = TARGETS, sample_size = 1_000)]
fn route_new(bencher: Bencher<'_, '_>, count: u64) {
    let mut router = router(count);
    let now = Instant::from_secs(60);
    let mut key = 0;
    bencher.bench_local(|| {
        key = mix(key, 1);
        router.route(now, SERVICE, PacketKind::New { key })
    });
}

/// New flow within 10 s after a tenth of the targets left.
#[divan::bench(args = TARGETS, sample_size = 1_000)]
fn route_new_after_change(bencher: Bencher<'_, '_>, count: u64) {
    let mut router = router(count);
    let now = Instant::from_secs(60);
    router.update(
        now,
        SERVICE,
        candidates(count).split_off(count as usize / 10),
    );
    let mut key = 0;
    bencher.bench_local(|| {
        key = mix(key, 1);
        router.route(now, SERVICE, PacketKind::New { key })
    });
}

/// Packet of an established flow.
#[divan::bench(sample_size = 1_000)]
fn route_established(bencher: Bencher<'_, '_>) {
    let mut router = router(10);
    let (agent, data_centre) = (address(1), DataCentreId(1));
    let flow = PacketKind::Established(Destination {
        agent,
        service: SERVICE,
        data_centre,
        epoch: 1,
    });
    bencher.bench_local(|| router.route(Instant::from_secs(60), SERVICE, black_box(flow)));
}

/// Two updates: one target leaves and returns.
#[divan::bench(args = TARGETS)]
fn update_remove_and_add(bencher: Bencher<'_, '_>, count: u64) {
    let mut router = router(count);
    let all = candidates(count);
    let fewer = all[1..].to_vec();
    let mut now = Instant::from_secs(60);
    bencher.bench_local(|| {
        now += monsoon_model::Duration::from_secs(5);
        router.update(now, SERVICE, fewer.iter().copied());
        router.update(now, SERVICE, all.iter().copied());
    });
}

/// Update that changes nothing.
#[divan::bench(args = TARGETS)]
fn update_unchanged(bencher: Bencher<'_, '_>, count: u64) {
    let mut router = router(count);
    let all = candidates(count);
    bencher.bench_local(|| router.update(Instant::from_secs(60), SERVICE, all.iter().copied()));
}

/// Build of a whole table.
#[divan::bench(args = TARGETS, sample_count = 10)]
fn build(bencher: Bencher<'_, '_>, count: u64) {
    bencher
        .with_inputs(|| candidates(count))
        .bench_values(Table::new);
}

/// First packet of a flow at an agent that remembers 10 s of new flows, `rate` per second.
#[divan::bench(args = [100, 1_000, 6_500], sample_size = 1_000)]
fn handoff(bencher: Bencher<'_, '_>, rate: u64) {
    let mut handoff = Handoff::new();
    let mut chain = Chain::default();
    for id in 1..3 {
        chain
            .push(Hop {
                agent: address(id),
                known_only: false,
            })
            .expect("room for two hops");
    }
    let load = Load {
        used: 0,
        limit: 9,
        leaving: false,
    };
    let mut flow_number = 0;
    let mut decide = move || {
        flow_number += 1;
        let now = Instant::from_micros(flow_number * 1_000_000 / rate);
        handoff.decide(now, mix(flow_number, 2), &chain, 0, load)
    };
    for _ in 0..10 * rate {
        decide();
    }
    bencher.bench_local(decide);
}
