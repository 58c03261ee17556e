//! Cost of the formats per packet.

#![allow(
    missing_docs,
    reason = "the benchmark harness generates undocumented items"
)]

use std::net::SocketAddr;

use divan::{Bencher, black_box};
use monsoon_model::{Chain, DataCentreId, Hop, ServiceId};
use monsoon_wire::{ConnectionId, Direction, Envelope, Keyring, RawKeys, control, quic};
use monsoon_wire::{flow_key, stateless_reset};

/// Bytes of a full QUIC packet.
const PAYLOAD: usize = 1_200;

fn main() {
    divan::main();
}

fn keys() -> Keyring {
    let raw = RawKeys {
        phase: 1,
        current: "5a".repeat(32),
        previous: Some("a5".repeat(32)),
        next: None,
    };
    Keyring::try_from(raw).expect("valid keys")
}

fn cid() -> ConnectionId {
    ConnectionId {
        agent: "10.0.0.1:4000".parse().expect("address"),
        service: ServiceId(1),
        data_centre: DataCentreId(1),
        nonce: 7,
    }
}

fn caller() -> SocketAddr {
    "192.0.2.1:50000".parse().expect("address")
}

/// Envelope with a chain of `hops` hops.
fn envelope(hops: usize) -> Envelope {
    let mut chain = Chain::default();
    for _ in 0..hops {
        chain
            .push(Hop {
                agent: cid().agent,
                known_only: false,
            })
            .expect("at most 4 hops");
    }
    Envelope {
        direction: Direction::Forward,
        service: ServiceId(1),
        caller: caller(),
        address: "192.0.2.9:443".parse().expect("address"),
        key: 0,
        chain,
        hop: 0,
    }
}

#[divan::bench]
fn cid_seal(bencher: Bencher<'_, '_>) {
    let (keys, cid) = (keys(), cid());
    bencher.bench(|| black_box(&cid).seal(&keys));
}

#[divan::bench]
fn cid_open(bencher: Bencher<'_, '_>) {
    let keys = keys();
    let bytes = cid().seal(&keys);
    bencher.bench(|| ConnectionId::open(black_box(&bytes), &keys));
}

/// Header with 0 hops (established flow) to 4 (new flow after a change).
#[divan::bench(args = [0, 2, 4])]
fn envelope_seal(bencher: Bencher<'_, '_>, hops: usize) {
    let (keys, envelope) = (keys(), envelope(hops));
    bencher.bench(|| envelope.seal(&keys, black_box(&[0; PAYLOAD])));
}

#[divan::bench(args = [0, 2, 4])]
fn envelope_open(bencher: Bencher<'_, '_>, hops: usize) {
    let keys = keys();
    let datagram = envelope(hops).seal(&keys, &[0; PAYLOAD]);
    bencher.bench(|| {
        Envelope::open(&keys, black_box(&datagram))
            .expect("valid")
            .1
            .len()
    });
}

#[divan::bench]
fn envelope_round_trip(bencher: Bencher<'_, '_>) {
    let (keys, envelope) = (keys(), envelope(0));
    bencher.bench(|| {
        let datagram = envelope.seal(&keys, black_box(&[0; PAYLOAD]));
        Envelope::open(&keys, &datagram).expect("valid").1.len()
    });
}

/// Forged datagram of full size.
#[divan::bench]
fn envelope_reject(bencher: Bencher<'_, '_>) {
    let keys = keys();
    let mut datagram = envelope(4).seal(&keys, &[0; PAYLOAD]);
    datagram[5] ^= 1;
    bencher.bench(|| Envelope::open(&keys, black_box(&datagram)).is_err());
}

#[divan::bench]
fn control_round_trip(bencher: Bencher<'_, '_>) {
    let (keys, message) = (keys(), vec![7u8; 500]);
    bencher.bench(|| {
        let datagram = control::seal(&keys, black_box(&message)).expect("fits");
        control::open::<Vec<u8>>(&keys, &datagram)
            .expect("valid")
            .len()
    });
}

#[divan::bench]
fn classify(bencher: Bencher<'_, '_>) {
    let mut packet = [0; PAYLOAD];
    packet[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
    bencher.bench(|| quic::classify(black_box(&packet)).dcid().map(<[u8]>::len));
}

#[divan::bench]
fn new_flow_key(bencher: Bencher<'_, '_>) {
    let keys = keys();
    bencher.bench(|| flow_key(&keys, black_box(caller()), black_box(&[7; 8])));
}

#[divan::bench]
fn reset(bencher: Bencher<'_, '_>) {
    let keys = keys();
    let cid = cid().seal(&keys);
    bencher.bench(|| stateless_reset(&keys, black_box(&cid), PAYLOAD, 7));
}
