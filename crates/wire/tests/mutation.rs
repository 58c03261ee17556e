//! Mutated valid datagrams.

mod common;

use common::{Rng, keys};
use monsoon_wire::quic::{Packet, classify};
use monsoon_wire::{ConnectionId, Envelope, control};

/// Rounds; each round mutates one datagram of every format.
const ROUNDS: usize = 30_000;

/// Guards against panics on malformed input, and against mutated signed bytes that verify.
#[test]
fn parsers_survive_mutated_datagrams() {
    let keys = keys(5, true);
    let mut rng = Rng(7);
    let (mut long, mut opened) = (0, 0);
    for _ in 0..ROUNDS {
        let cid = rng.cid().seal(&keys);
        let changed = rng.mutate(&cid);
        assert_eq!(
            ConnectionId::open(&changed, &keys).is_some(),
            changed[..] == cid
        );

        let length = rng.below(64);
        let payload = rng.bytes(length);
        let sealed = rng.envelope().seal(&keys, &payload);
        let header = sealed.len() - payload.len();
        let changed = rng.mutate(&sealed);
        let intact = changed.starts_with(&sealed[..header]);
        assert_eq!(Envelope::open(&keys, &changed).is_ok(), intact);
        opened += usize::from(intact);

        let sealed = control::seal(&keys, &vec![rng.next(); rng.below(9)]).expect("fits");
        let changed = rng.mutate(&sealed);
        assert_eq!(
            control::open::<Vec<u64>>(&keys, &changed).is_ok(),
            changed == sealed
        );

        let mut packet = vec![0xc0 | rng.next() as u8, 0, 0, 0, 1, 17];
        packet.extend(cid);
        packet.extend([8, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0x44]);
        let changed = rng.mutate(&packet);
        let look = classify(&changed);
        assert!(look.dcid().is_none_or(|dcid| dcid.len() < changed.len()));
        long += usize::from(matches!(look, Packet::Long { .. }));
    }
    // Both counts show that the mutations also reach the code behind the first checks.
    assert!(long > ROUNDS / 4, "{long}");
    assert!(opened > ROUNDS / 10, "{opened}");
}

/// Guards against panics on authenticated messages of another type, as a faulty release sends them.
#[test]
fn authenticated_messages_of_another_type_are_rejected() {
    let keys = keys(5, false);
    let mut rng = Rng(8);
    for _ in 0..ROUNDS {
        let length = rng.below(64);
        let sealed = control::seal(&keys, &rng.bytes(length)).expect("fits");
        if let Ok(text) = control::open::<Vec<(u64, Option<String>)>>(&keys, &sealed) {
            assert!(text.len() <= length);
        }
    }
}
