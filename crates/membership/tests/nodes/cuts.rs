//! Tests of failed links between data centres and between nodes.

use std::cmp::Reverse;

use monsoon_membership::simulation::{Loss, Network};
use monsoon_model::Duration;
use monsoon_model::hash::mix;

use crate::common::{BOUND, absent, cluster, converged, id};

/// Whether the balancers of `data_centre` list members of exactly the data centres `seen`.
fn sees(net: &Network, data_centre: u8, seen: &[u8]) -> bool {
    net.balancers(Some(data_centre)).all(|(_, node)| {
        let mut data_centres = node.agents().map(|m| m.group.0).collect::<Vec<_>>();
        data_centres.extend(node.balancers().iter().map(|m| m.group.0));
        data_centres.sort_unstable();
        data_centres.dedup();
        data_centres == seen
    })
}

/// Members behind a failed link must leave the tables, and each side must keep its own members.
#[test]
fn each_side_of_a_partition_lists_only_its_own_members() {
    let mut net = cluster(31, 3, 4, 8);
    net.links.partition(1, 2, true);
    net.links.partition(1, 3, true);
    let apart = |net: &Network| sees(net, 1, &[1]) && sees(net, 2, &[2, 3]);
    let taken = net.run_until(BOUND, apart);
    assert!(
        taken.is_some(),
        "the other side is still listed after {BOUND:?}"
    );
    net.run(Duration::from_secs(60));
    assert!(
        apart(&net),
        "a side lost its own members or lists the other side again"
    );
    assert!(
        net.deaths.is_empty(),
        "the partition caused a member to be declared dead"
    );
    net.links.partitions.clear();
    let taken = net.run_until(Duration::from_secs(5), converged);
    assert!(taken.is_some(), "the sides do not merge within 5 s");
}

/// A balancer that starts during a partition receives old acknowledgements from its own data
/// centre, and must not take them for new ones.
#[test]
fn a_balancer_that_starts_during_a_partition_lists_only_its_own_side() {
    let mut net = cluster(37, 2, 4, 4);
    net.links.partition(1, 2, true);
    net.run(Duration::from_secs(20));
    net.add_balancer(1);
    let listed = |net: &Network| !sees(net, 1, &[1]);
    net.run(Duration::from_millis(500));
    let seen = net.run_until(Duration::from_secs(10), listed);
    assert_eq!(seen, None, "the other side is listed during the partition");
}

/// A link that fails in one direction only must remove the members on both sides, because they
/// cannot answer each other.
#[test]
fn a_link_failure_in_one_direction_separates_both_sides() {
    let mut net = cluster(32, 2, 4, 4);
    net.links.partition_one_way(1, 2, true);
    let taken = net.run_until(BOUND, |net| sees(net, 1, &[1]) && sees(net, 2, &[2]));
    assert!(
        taken.is_some(),
        "a side still lists members behind the failed link"
    );
}

/// A member that died or left behind a failed link must not reappear when the link is restored. The
/// loss checks that the returning data centre waits for the comparison of the tables.
#[test]
fn members_that_ended_during_a_partition_do_not_return() {
    let mut net = cluster(33, 2, 5, 8);
    net.links.partition(1, 2, true);
    net.run(Duration::from_secs(10));
    let ended = [1, 6, 7, 8];
    net.crash(ended[0]);
    for node in &ended[1..] {
        net.leave(*node);
    }
    net.run(Duration::from_secs(200));
    net.links.partitions.clear();
    net.links.loss = Loss::Independent(0.3);
    let gone = ended.map(|node| id(&net, node));
    let listed = |net: &Network| gone.iter().any(|&id| !absent(net, id));
    let seen = net.run_until(Duration::from_secs(10), listed);
    assert_eq!(seen, None, "an ended member is listed after the partition");
    net.links.loss = Loss::Independent(0.0);
    let taken = net.run_until(Duration::from_secs(5), converged);
    assert!(taken.is_some(), "the sides do not merge within 5 s");
}

/// A member behind a restored link does not know claims made elsewhere during the partition, so its
/// age must restart.
#[test]
fn members_behind_a_restored_link_count_as_new() {
    let mut net = cluster(34, 2, 4, 8);
    net.run(Duration::from_secs(300));
    net.links.partition(1, 2, true);
    net.run(Duration::from_secs(30));
    let (own, other) = (net.hosts[4].member.service, 2);
    let ages = |net: &Network, departed: bool| -> Vec<u64> {
        let (_, agent) = net.agents().next().expect("an agent runs");
        assert_eq!(
            agent.member().service,
            own,
            "the first agent has another service"
        );
        let list = agent.service_members(net.now);
        let far = list.into_iter().filter(|m| m.data_centre.0 == other);
        let far = far.filter(|m| m.state.is_none() == departed);
        far.map(|m| m.age.as_millis() / 1_000).collect()
    };
    assert!(
        ages(&net, true).iter().all(|age| (26..=30).contains(age)),
        "the age does not start at the partition"
    );
    assert_eq!(
        ages(&net, true).len(),
        2,
        "not both members are known as departed"
    );
    net.links.partitions.clear();
    net.run(Duration::from_secs(10));
    assert!(
        ages(&net, false).iter().all(|&age| age < 10),
        "an age did not restart"
    );
    assert_eq!(ages(&net, false).len(), 2, "not both members are back");
}

/// The suspicion of one watcher that does not receive from a member must not be enough.
#[test]
fn a_member_unreachable_for_one_watcher_is_not_declared_dead() {
    let mut net = cluster(35, 1, 6, 6);
    for watcher in 0..6 {
        net.links.host_partitions.clear();
        net.links
            .host_partitions
            .extend((6..12).map(|agent| (agent, watcher)));
        net.run(Duration::from_secs(20));
    }
    assert_eq!(
        net.deaths,
        Vec::new(),
        "a reachable member was declared dead"
    );
    let raised = net
        .balancers(None)
        .map(|(_, node)| node.suspicions())
        .sum::<u64>();
    assert!(raised > 0, "the disconnected watchers suspected no member");
}

/// A live member that its watchers declared dead must return by a higher incarnation.
#[test]
fn a_live_member_declared_dead_returns_with_a_higher_incarnation() {
    let mut net = cluster(36, 1, 6, 6);
    let wrong = id(&net, 7);
    net.links
        .host_partitions
        .extend((0..6).map(|watcher| (7, watcher)));
    net.run(Duration::from_secs(5));
    let listed = |net: &Network| {
        net.balancers(None)
            .any(|(_, n)| n.agents().any(|m| m.id == wrong))
    };
    assert!(
        !listed(&net),
        "the unreachable member was not declared dead"
    );
    net.links.host_partitions.clear();
    let taken = net.run_until(Duration::from_secs(2), converged);
    assert!(taken.is_some(), "the member is not back within 2 s");
    let back = net.hosts[7].agent().map(|node| node.member().incarnation);
    assert_eq!(
        back,
        Some(1),
        "the refutation did not increase the incarnation once"
    );
}

/// A balancer that receives no messages must not assume that it is the only live watcher.
#[test]
fn a_balancer_that_receives_nothing_declares_nobody_dead() {
    let mut net = cluster(38, 1, 6, 6);
    net.links
        .host_partitions
        .extend((1..12).map(|node| (node, 0)));
    net.run(Duration::from_secs(20));
    assert_eq!(
        net.deaths,
        Vec::new(),
        "the disconnected balancer declared a member dead"
    );
}

/// One watcher does not receive from a member, and the other two watchers die. The balancers that
/// replace them must probe the member instead of supporting the suspicion.
#[test]
fn a_member_unreachable_for_its_last_watcher_is_not_declared_dead() {
    for seed in 61..66 {
        let mut net = cluster(seed, 1, 8, 4);
        let agent = id(&net, 8);
        let mut watchers = (0..8).collect::<Vec<_>>();
        watchers.sort_by_key(|&node| Reverse(mix(agent.0, id(&net, node).0)));
        net.links.host_partitions.insert((8, watchers[0]));
        net.crash(watchers[1]);
        net.crash(watchers[2]);
        net.run(Duration::from_secs(10));
        let wrong = net.deaths.iter().find(|death| death.id == agent);
        assert_eq!(
            wrong, None,
            "seed {seed}: a reachable member was declared dead"
        );
    }
}
