//! Tests of lists, samples, message sizes, configuration versions and rankings.

use monsoon_membership::simulation::{Loss, Network, Node, Traffic};
use monsoon_membership::{Action, Body, Event, Header, LocalState, Message, Role, State, bounds};
use monsoon_model::{Duration, Number, Version, Versions};

use crate::common::{cluster, converged};

/// Lists and tables too large for a datagram must arrive as pages. The simulated network asserts
/// the size limit of each message.
#[test]
fn large_lists_are_paged() {
    let mut net = Network::new(51);
    for _ in 0..60 {
        net.add_balancer(1);
    }
    for _ in 0..200 {
        net.add_agent(1, 1);
    }
    net.links.loss = Loss::Independent(0.02);
    let taken = net.run_until(Duration::from_secs(30), converged);
    assert!(taken.is_some(), "paged lists are not complete after 30 s");
    let largest = net
        .hosts
        .iter()
        .map(|host| host.traffic.largest_message)
        .max();
    assert!(largest.is_some_and(|bytes| (900..=bounds::MAX_MESSAGE).contains(&bytes)));
    assert!(
        response_pages(&mut net, 20) <= bounds::RESPONSE_PAGES_PER_SECOND,
        "more pages than the limit were sent in a second"
    );
}

/// Number of pages that one balancer sends in response to digests of empty tables.
fn response_pages(net: &mut Network, digests: usize) -> usize {
    let (from, now) = (net.hosts[1].member, net.now);
    let Node::Balancer(node) = &mut net.hosts[0].node else {
        return 0;
    };
    let header = Header {
        id: from.id,
        peer: from.peer,
        versions: from.versions.into(),
    };
    let body = Body::Digest {
        is_response: false,
        scope: None,
        followed_s: 0,
        buckets: vec![0; bounds::BUCKETS],
    };
    let event = || Event::Message {
        from: from.control,
        message: Message {
            header,
            body: body.clone(),
        },
    };
    let actions = (0..digests).flat_map(|_| node.handle(now, event()));
    let page = |action: &Action| match action {
        Action::Send { message, .. } => matches!(message.body, Body::Entries { .. }),
        _ => false,
    };
    actions.filter(page).count()
}

/// The load of each target must reach the agents of the other targets of its service.
#[test]
fn agents_sample_loads_of_their_service() {
    let mut net = cluster(52, 1, 6, 24);
    for node in 6..30 {
        net.set_local_state(node, State::Ready, node as u16);
    }
    net.run(Duration::from_secs(10));
    for (_, agent) in net.agents() {
        let peers = agent.sampled_targets(net.now);
        assert_eq!(
            peers.len(),
            5,
            "not all other targets of the service were sampled"
        );
        for peer in peers {
            let node = net.hosts.iter().position(|host| host.member.id == peer.id);
            let load = node.map(|node| node as u16).unwrap_or_default();
            assert!(
                peer.load.abs_diff(load) < bounds::LOAD_STEP,
                "a sampled load is wrong"
            );
        }
    }
}

/// A target that turns cold gets too much work until all balancers know its state.
#[test]
fn a_target_that_turns_cold_is_known_everywhere_within_a_second() {
    let mut net = cluster(53, 2, 6, 8);
    net.set_local_state(7, State::Cold, 0);
    let id = net.hosts[7].member.id;
    let known = |net: &Network| {
        let cold = |m: &&monsoon_membership::Member| m.id == id && m.state == State::Cold;
        net.balancers(None)
            .all(|(_, node)| node.agents().any(|m| cold(&m)))
    };
    let taken = net.run_until(Duration::from_secs(1), known);
    assert!(
        taken.is_some(),
        "a balancer still lists the target as ready"
    );
}

/// A new configuration at one process must reach all processes, also under loss.
#[test]
fn a_new_configuration_spreads_to_all_within_two_seconds() {
    let mut net = cluster(54, 3, 5, 8);
    net.links.loss = Loss::Independent(0.05);
    let newest = Versions {
        document: Version::of(7),
        evacuations: Version::of(3),
    };
    net.set_versions(2, newest);
    let everywhere = |net: &Network| net.hosts.iter().all(|host| host.versions == newest);
    let taken = net.run_until(Duration::from_secs(2), everywhere);
    assert!(
        taken.is_some(),
        "a process has an older configuration after 2 s"
    );
}

/// Guards against a new era of the store that does not spread because its numbers are lower.
#[test]
fn a_new_era_spreads_to_all_within_two_seconds() {
    let mut net = cluster(56, 3, 5, 8);
    let versions = |era, document, evacuations| Versions {
        document: Version::new(era, Number::of(document)),
        evacuations: Version::new(era, Number::of(evacuations)),
    };
    net.set_versions(2, versions(0, 7, 90));
    net.run(Duration::from_secs(2));
    let newest = versions(1, 7, 41);
    net.set_versions(5, newest);
    let everywhere = |net: &Network| net.hosts.iter().all(|host| host.versions == newest);
    let taken = net.run_until(Duration::from_secs(2), everywhere);
    assert!(taken.is_some(), "a process has a former era after 2 s");
}

/// The announced versions must not decrease when a process reports older ones.
#[test]
fn versions_never_decrease() {
    let mut net = cluster(55, 1, 3, 3);
    let versions = |n| Versions {
        document: Version::of(n),
        evacuations: Version::of(n),
    };
    net.set_versions(0, versions(5));
    net.run(Duration::from_secs(2));
    for node in 0..net.hosts.len() {
        let old = LocalState {
            state: State::Ready,
            load: 0,
            slots: 4,
            versions: versions(2),
        };
        net.event(node, Event::Local(old));
    }
    net.run(Duration::from_secs(2));
    for (_, node) in net.balancers(None) {
        assert_eq!(
            node.member().versions,
            versions(5).into(),
            "the versions of a balancer decreased"
        );
    }
    for (_, node) in net.agents() {
        assert_eq!(
            node.member().versions,
            versions(5).into(),
            "the versions of an agent decreased"
        );
    }
}

/// Balancers must agree on the ranking, because those of the first ranks watch the store.
#[test]
fn each_rank_belongs_to_one_balancer() {
    let net = cluster(56, 1, 7, 0);
    for salt in 0..5 {
        let mut ranks = net
            .balancers(None)
            .map(|(_, n)| n.own_rank(salt))
            .collect::<Vec<_>>();
        ranks.sort_unstable();
        assert_eq!(
            ranks,
            (0..7).collect::<Vec<_>>(),
            "two balancers have the same rank"
        );
    }
}

/// A node must not act after it announced its end.
#[test]
fn a_node_that_left_does_not_act() {
    let mut net = cluster(57, 1, 4, 4);
    net.event(0, Event::Leave);
    net.event(5, Event::Leave);
    let now = net.now + Duration::from_secs(1);
    let is_empty = |actions: Vec<Action>| actions.is_empty();
    for node in [0, 5] {
        let actions = match &mut net.hosts[node].node {
            Node::Balancer(n) => n.handle(now, Event::Tick),
            Node::Agent(n) => n.handle(now, Event::Tick),
        };
        assert!(is_empty(actions), "node {node} acted after its end");
    }
}

/// The snapshot shows every change of the control traffic. A node may use 29 KB/s at most.
#[test]
fn control_traffic_is_bounded() {
    let mut net = cluster(58, 3, 8, 48);
    for host in &mut net.hosts {
        host.traffic = Traffic::default();
    }
    net.run(Duration::from_secs(20));
    let mut lines = Vec::new();
    for role in [Role::Balancer, Role::Agent] {
        let hosts = net.hosts.iter().filter(|host| host.member.role == role);
        let bytes = hosts
            .map(|host| host.traffic.bytes / 20)
            .collect::<Vec<_>>();
        let most = bytes.iter().max().copied().unwrap_or_default();
        assert!(most <= 29_000, "a node uses {most} B/s");
        let mean = bytes.iter().sum::<u64>() / bytes.len() as u64;
        lines.push(format!("{role:?}: mean {mean} B/s, largest {most} B/s"));
    }
    insta::assert_snapshot!(lines.join("\n"));
}
