//! Tests of connection IDs, envelopes, control datagrams and key files.

mod common;

use common::{Rng, hex, keyring, raw_keys};
use monsoon_model::{Chain, Hop};
use monsoon_wire::{ConnectionId, Envelope, Keyring, KeysError, RawKeys, WireError};
use monsoon_wire::{MAX_HEADER, control};

/// Guards against a layout change that running instances would reject.
#[test]
fn encodings_are_stable() {
    let keys = keyring(3, false);
    let mut rng = Rng(1);
    let cid = rng.cid();
    let envelope = rng.envelope();
    let message = control::seal(&keys, &(7u32, "abc")).expect("fits");
    insta::assert_snapshot!(format!(
        "{cid:?}\n{}\n\n{envelope:?}\n{}\n\n{}",
        hex(&cid.seal(&keys)),
        hex(&envelope.seal(&keys, b"packet")),
        hex(&message),
    ));
}

/// Guards against fields lost in encoding and against a keyring that doesn't verify both phases of
/// a rotation.
#[test]
fn values_round_trip_under_both_phases() {
    let mut rng = Rng(2);
    for round in (0..8).cycle().take(2_000) {
        let (old, new) = (keyring(round % 8, false), keyring((round + 1) % 8, true));
        let cid = rng.cid();
        let envelope = rng.envelope();
        let length = rng.below(1_300);
        let payload = rng.bytes(length);
        for signer in [&old, &new] {
            assert_eq!(ConnectionId::open(&cid.seal(signer), &new), Some(cid));
            let datagram = envelope.seal(signer, &payload);
            let opened = Envelope::open(&new, &datagram);
            assert_eq!(opened, Ok((envelope.clone(), &payload[..])));
            let datagram = control::seal(signer, &cid.nonce).expect("fits");
            assert_eq!(control::open(&new, &datagram), Ok(cid.nonce));
        }
        let newer = envelope.seal(&new, &payload);
        let found = new.phase();
        assert_eq!(
            Envelope::open(&old, &newer),
            Err(WireError::Phase { found })
        );
        assert_eq!(ConnectionId::open(&cid.seal(&new), &old), None);
    }
}

/// Guards against a tag or check field that leaves a bit unprotected.
#[test]
fn any_flipped_bit_is_rejected() {
    let keys = keyring(0, true);
    let mut rng = Rng(3);
    for _ in 0..20 {
        let cid = rng.cid().seal(&keys);
        let envelope = rng.envelope().seal(&keys, &[]);
        let message = control::seal(&keys, &rng.next()).expect("fits");
        for bit in 0..8 * envelope.len().max(message.len()) {
            let flip = |bytes: &[u8]| -> Vec<u8> {
                let mut bytes = bytes.to_vec();
                let at = bit / 8 % bytes.len();
                bytes[at] ^= 1 << (bit % 8);
                bytes
            };
            assert_eq!(ConnectionId::open(&flip(&cid), &keys), None, "bit {bit}");
            let (envelope, message) = (flip(&envelope), flip(&message));
            assert!(Envelope::open(&keys, &envelope).is_err(), "bit {bit}");
            assert!(control::open::<u64>(&keys, &message).is_err(), "bit {bit}");
        }
    }
}

/// Guards against a datagram of one format being accepted as another.
#[test]
fn formats_use_separate_keys() {
    let keys = keyring(0, false);
    let envelope = Rng(4).envelope().seal(&keys, &[]);
    // The tag of an envelope covers the same bytes as that of a control message whose body starts
    // with the header length, so only the keys distinguish them.
    let (prefix, tag, header) = (&envelope[..2], &envelope[2..18], &envelope[18..]);
    let control = [&prefix[..1], tag, &prefix[1..], header].concat();
    let opened = control::open::<(u8, u8)>(&keys, &control);
    assert_eq!(opened, Err(WireError::Tag));
}

/// Guards against a header limit that is too small, and against messages that exceed a datagram.
#[test]
fn sizes_are_bounded() {
    let keys = keyring(0, false);
    let mut rng = Rng(5);
    let mut largest = rng.envelope();
    (largest.service.0, largest.key, largest.hop) = (u16::MAX, u64::MAX, 3);
    largest.caller = "[ffff::ffff]:65535".parse().expect("address");
    largest.address = largest.caller;
    let agent = "255.255.255.255:65535".parse().expect("address");
    largest.chain = Chain::default();
    let hop = Hop {
        agent,
        known_only: true,
    };
    while largest.chain.push(hop).is_ok() {}
    assert_eq!(largest.seal(&keys, &[]).len(), 18 + MAX_HEADER);
    let fits = rng.bytes(control::MAX_MESSAGE - 2);
    let datagram = control::seal(&keys, &fits).expect("fits");
    assert_eq!(datagram.len(), control::MAX_DATAGRAM);
    assert_eq!(control::open(&keys, &datagram), Ok(fits));
    let long = control::seal(&keys, &rng.bytes(control::MAX_MESSAGE - 1));
    let limit = control::MAX_MESSAGE;
    assert_eq!(long, Err(WireError::TooLong { limit }));
}

/// Guards against accepting a key file with a typing error.
#[test]
fn faulty_key_files_are_rejected() {
    let (good, other) = ("0f".repeat(32), "F0".repeat(32));
    let load = |phase, current: &str, previous: Option<&str>| {
        Keyring::try_from(raw_keys(phase, current, previous)).map(|_| ())
    };
    assert_eq!(load(7, &good, Some(&other)), Ok(()));
    assert_eq!(load(8, &good, None), Err(KeysError::Phase { found: 8 }));
    let (letter, long, wide) = (good.replace('f', "g"), format!("{good}00"), "é".repeat(32));
    for bad in [&good[1..], &letter, &long, &wide, ""] {
        assert_eq!(load(0, bad, None), Err(KeysError::Current), "{bad}");
        assert_eq!(load(0, &good, Some(bad)), Err(KeysError::Previous), "{bad}");
    }
    let upper = good.to_uppercase();
    assert_eq!(load(0, &good, Some(&upper)), Err(KeysError::Equal));
}

/// Guards against a key rotation that disconnects instances: at each step, an instance before the
/// step and one after it verify each other's control messages.
#[test]
fn rotation_steps_verify_each_other() {
    let (old, new) = ("0a".repeat(32), "0b".repeat(32));
    let step = |phase, current: &str, previous: Option<&str>, next: Option<&str>| {
        let raw = RawKeys {
            next: next.map(str::to_owned),
            ..raw_keys(phase, current, previous)
        };
        Keyring::try_from(raw).expect("valid keys")
    };
    let steps = [
        step(7, &old, None, None),
        step(7, &old, None, Some(&new)),
        step(0, &new, Some(&old), None),
        step(0, &new, None, None),
    ];
    for pair in steps.windows(2) {
        for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            let datagram = control::seal(from, &7_u32).expect("fits");
            assert_eq!(control::open(to, &datagram), Ok(7_u32));
        }
    }
    let datagram = control::seal(&steps[3], &7_u32).expect("fits");
    assert!(control::open::<u32>(&steps[0], &datagram).is_err());
}

/// Guards against secrets in logs.
#[test]
fn debug_output_holds_no_secret() {
    let raw = raw_keys(2, &"ab".repeat(32), None);
    let text = format!("{raw:?} {:?}", Keyring::try_from(raw.clone()));
    insta::assert_snapshot!(text, @"RawKeys { phase: 2, .. } Ok(Keyring { phase: 2, others: [], .. })");
}
