//! Messages between processes of two releases. Former ones hold packed versions only.

use std::net::SocketAddr;

use monsoon_membership::{Body, Header, Member, Message, Role, State};
use monsoon_model::{AgentId, DataCentreId, PackedVersions, ServiceId, Version, Versions};

const CONTROL: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7_000);

fn announcement(document: &str, role: Role) -> Message {
    let versions = Versions {
        document: document.parse().expect("a version"),
        evacuations: Version::of(3),
    };
    let member = Member {
        id: AgentId(1),
        incarnation: 1,
        sequence: 0,
        role,
        group: DataCentreId(1),
        data_centre: DataCentreId(1),
        service: ServiceId(1),
        control: CONTROL,
        data: "127.0.0.1:7001".parse().expect("an address"),
        peer: CONTROL,
        state: State::Leaving,
        slots: 4,
        load: 0,
        versions: PackedVersions::default(),
        reads_exact: role == Role::Agent,
    };
    Message {
        header: Header {
            id: AgentId(1),
            peer: CONTROL,
            versions,
        },
        body: Body::Announce {
            member,
            leaving: false,
        },
    }
}

/// Guards against processes of two releases that do not hear of each other while versions are
/// large. Former releases ignore what follows a message.
#[test]
fn former_releases_read_the_packed_versions() {
    for document in ["7", "1.7", "20261207010203", "1e300"] {
        let message = announcement(document, Role::Agent);
        let datagram = message.encode();
        let former = postcard::from_bytes::<Message>(&datagram).expect("a message");
        let packed = message.header.versions.document.packed();
        assert_eq!(
            former.header.versions.document,
            Version::from_packed(packed),
            "{document}"
        );
        assert_eq!(former.body, message.body, "{document}");
        // A datagram of a former release ends with the message.
        let datagram = postcard::to_stdvec(&message).expect("a message");
        assert_eq!(Message::decode(&datagram), Some(former), "{document}");
    }
}

/// Guards against a change that does not spread because its version is large, and against messages
/// that grow although their versions can be packed.
#[test]
fn this_release_reads_versions_of_any_size() {
    for document in ["7", "3.20261207010203", "0.-7.5", "18446744073709551616"] {
        let message = announcement(document, Role::Agent);
        let datagram = message.encode();
        assert_eq!(
            Message::decode(&datagram),
            Some(message.clone()),
            "{document}"
        );
        let packed = postcard::to_stdvec(&message).expect("a message");
        let is_packed = datagram == packed;
        assert_eq!(
            is_packed,
            message.header.versions.are_packable(),
            "{document}"
        );
        assert_eq!(
            Message::decode(&datagram[..datagram.len() - 1]),
            None,
            "{document}"
        );
    }
}

/// Guards against an agent that a former release takes for a balancer, or a balancer for an agent,
/// because of the flag beside the role.
#[test]
fn the_flag_does_not_change_the_role() {
    let kind = |role| {
        let with = announcement("7", role).encode();
        let mut message = announcement("7", role);
        let Body::Announce { member, .. } = &mut message.body else {
            panic!("an announcement");
        };
        member.reads_exact = false;
        let without = message.encode();
        let at = (0..with.len()).find(|&at| with[at] != without[at]);
        at.map(|at| (with[at], without[at]))
    };
    // The role is above the two bits of the state; former releases take any bit there for an agent.
    assert_eq!(kind(Role::Agent), Some((0b1110, 0b0110)));
    assert_eq!(kind(Role::Balancer), None);
}
