//! First look at callers' datagrams, flow keys and stateless resets.

mod common;

use std::collections::BTreeSet;

use common::{Rng, keys};
use monsoon_wire::quic::{Packet, classify};
use monsoon_wire::{CID_LEN, MIN_RESET_LEN, flow_key, stateless_reset};
use ring::hmac;

fn long(first: u8, version: u32, dcid: &[u8], scid: &[u8]) -> Vec<u8> {
    let mut out = vec![first];
    out.extend(version.to_be_bytes());
    for id in [dcid, scid] {
        out.push(id.len() as u8);
        out.extend(id);
    }
    out
}

/// Guards against packet types of version 1 taken for one another, also with the fixed bit clear.
#[test]
fn packet_types_follow_the_rfc() {
    let dcid = &[7; 8][..];
    for fixed in [0x40, 0] {
        let look = |kind: u8| long(0x80 | fixed | kind << 4, 1, dcid, &[]);
        assert_eq!(classify(&look(0)), Packet::Initial { dcid });
        for kind in 1..4 {
            assert_eq!(classify(&look(kind)), Packet::Long { dcid });
        }
    }
    let (longest, too_long) = ([7; 255], [7; 21]);
    let unknown_version = long(0xe0, 0x0a0a_0a0a, &longest, &longest);
    assert_eq!(
        classify(&unknown_version),
        Packet::Initial { dcid: &longest }
    );
    for (version, dcid, scid) in [(0, dcid, dcid), (1, &too_long, dcid), (1, dcid, &too_long)] {
        assert_eq!(classify(&long(0xc0, version, dcid, scid)), Packet::Unknown);
    }
}

/// Guards against reads past the end of a truncated header.
#[test]
fn truncated_headers_are_unknown() {
    let full = long(0xc0, 1, &[7; 17], &[9; 8]);
    for length in 0..full.len() {
        assert_eq!(classify(&full[..length]), Packet::Unknown, "{length}");
    }
    let short = [0x40; 1 + CID_LEN];
    let dcid = &short[1..];
    assert_eq!(classify(&short), Packet::Short { dcid });
    assert_eq!(classify(&short[..CID_LEN]), Packet::Unknown);
}

/// Guards against flows that share a key, and against a key that depends on the socket type.
#[test]
fn flow_keys_differ_by_caller_and_id() {
    let (one, two) = (keys(0, false), keys(1, true));
    let caller = |text: &str| text.parse().expect("address");
    let mut seen = BTreeSet::new();
    for address in ["10.0.0.1:1", "10.0.0.1:2", "10.0.0.2:1", "[::1]:1"] {
        for dcid in 0..64u8 {
            assert!(seen.insert(flow_key(&one, caller(address), &[dcid; 8])));
            assert!(seen.insert(flow_key(&two, caller(address), &[dcid; 8])));
        }
    }
    let mapped = flow_key(&one, caller("[::ffff:10.0.0.1]:1"), &[0; 8]);
    assert_eq!(mapped, flow_key(&one, caller("10.0.0.1:1"), &[0; 8]));
}

/// Guards against resets that the caller doesn't recognise, that can be told from short-header
/// packets, or that are not shorter than their trigger (reset loops).
#[test]
fn resets_carry_the_token_of_the_endpoint() {
    let (old, new) = (keys(7, false), keys(0, true));
    let mut rng = Rng(6);
    for endpoint in [&old, &new] {
        let cid = rng.cid().seal(endpoint);
        let token = hmac::sign(endpoint.reset_key(), &cid);
        let mut lengths = BTreeSet::new();
        for trigger in 0..1_500 {
            let Some(reset) = stateless_reset(&new, &cid, trigger, rng.next()) else {
                assert!(trigger <= MIN_RESET_LEN, "{trigger}");
                continue;
            };
            assert!(reset.len() < trigger && reset.len() >= MIN_RESET_LEN);
            assert_eq!(reset[0] & 0xc0, 0x40);
            assert_eq!(&reset[reset.len() - 16..], &token.as_ref()[..16]);
            lengths.insert(reset.len());
        }
        assert_eq!(lengths, (MIN_RESET_LEN..=42).collect());
        assert_eq!(stateless_reset(&new, &cid[1..], 1_200, 0), None);
    }
    let newer = rng.cid().seal(&new);
    assert_eq!(stateless_reset(&old, &newer, 1_200, 0), None);
}
