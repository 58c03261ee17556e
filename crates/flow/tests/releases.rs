//! Frames between processes of two releases. Former ones hold packed versions only.

mod world;

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_flow::{Action, Fallback, Frame, Open, ServiceTag, decode, encode};
use monsoon_model::{Duration, Instant, Version, Versions};
use serde::{Deserialize, Serialize};

use world::{agent_at, balancer_at, caller, catalogue, opening, ready_balancer_with, tag, views};

const START: Instant = Instant::from_secs(100);
const PACKET: &[u8] = b"packet of a caller";
/// Position of the variant in [`Frame`].
const OPEN: u8 = 0;

/// Frame of an opening packet as former releases hold it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerOpen {
    balancer: SocketAddrV4,
    service: ServiceTag,
    versions: (u64, u64),
    hops: Vec<SocketAddrV4>,
    fallback: Option<Fallback>,
}

fn open(document: &str, reads_exact: bool) -> Frame {
    Frame::Open(Open {
        balancer: balancer_at(1),
        service: tag(),
        versions: Versions {
            document: document.parse().expect("a version"),
            evacuations: Version::of(3),
        },
        hops: vec![agent_at(2)],
        fallback: None,
        reads_exact,
    })
}

fn versions(frame: &Frame) -> Versions {
    let Frame::Open(open) = frame else {
        panic!("{frame:?}");
    };
    open.versions
}

/// Guards against an agent of a former release that cannot read the frame of an opening packet, or
/// takes a part of it for the packet.
#[test]
fn former_releases_read_the_packed_versions() {
    for (document, packed) in [
        ("7", 7),
        ("1.7", (1 << 44) | 7),
        ("20261207010203", (1 << 44) - 1),
    ] {
        let datagram = encode(&open(document, false), PACKET);
        let read = postcard::take_from_bytes::<(u8, FormerOpen)>(&datagram);
        let ((variant, former), packet) = read.expect("a frame");
        assert_eq!(
            (variant, former.versions),
            (OPEN, (packed, 3)),
            "{document}"
        );
        assert_eq!(packet, PACKET, "{document}");
        let mut datagram = postcard::to_stdvec(&(variant, former)).expect("a frame");
        datagram.extend_from_slice(PACKET);
        let (frame, packet) = decode(&datagram).expect("a frame");
        let expected = Version::from_packed(packed);
        assert_eq!((versions(&frame).document, packet), (expected, PACKET));
    }
}

/// Guards against an agent of this release that takes the version of a balancer for another one,
/// and against frames that grow although their versions can be packed.
#[test]
fn this_release_reads_versions_of_any_size() {
    for document in ["7", "3.20261207010203", "0.-7.5", "18446744073709551616"] {
        let sent = open(document, true);
        let datagram = encode(&sent, PACKET);
        let (frame, packet) = decode(&datagram).expect("a frame");
        assert_eq!((versions(&frame), packet), (versions(&sent), PACKET));
        let is_packed = datagram == encode(&open(document, false), PACKET);
        assert_eq!(is_packed, versions(&sent).are_packable(), "{document}");
    }
}

/// Guards against an opening packet that a balancer sends in a form which one of the candidates
/// cannot read.
#[test]
fn a_frame_is_exact_only_if_all_candidates_read_it() {
    let mut large = catalogue(1);
    large.version = Version::of(20_261_207_010_203);
    for (formers, reads_exact) in [(vec![], true), (vec![1], false), (vec![2], false)] {
        let mut balancer = ready_balancer_with(START, 1, large.clone());
        let mut views = views([1, 2]);
        for agent in formers {
            let view = views.get_mut(&agent_at(agent)).expect("a listed agent");
            view.reads_exact = false;
        }
        balancer.set_targets(START, views);
        let now = START + Duration::from_secs(10);
        let packet = Bytes::from_static(PACKET);
        let actions = balancer.handle_caller_packet(now, packet, &opening(caller(1), 0));
        let sent = actions.iter().find_map(|action| match action {
            Action::Send {
                frame: Frame::Open(open),
                ..
            } => Some((open.reads_exact, open.hops.len())),
            _ => None,
        });
        assert_eq!(sent, Some((reads_exact, 1)), "{actions:?}");
    }
}
