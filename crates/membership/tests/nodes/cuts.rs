//! Cut links between data centres and between nodes.

use std::cmp::Reverse;

use monsoon_membership::simulation::{Loss, Network};
use monsoon_model::Duration;
use monsoon_model::hash::mix;

use crate::common::{BOUND, absent, cluster, converged, id};

/// Whether the balancers of `place` list members of exactly the data centres `seen`.
fn sees(net: &Network, place: u8, seen: &[u8]) -> bool {
    net.balancers(Some(place)).all(|(_, node)| {
        let mut places = node.agents().map(|m| m.group.0).collect::<Vec<_>>();
        places.extend(node.balancers().iter().map(|m| m.group.0));
        places.sort_unstable();
        places.dedup();
        places == seen
    })
}

/// Guards against targets behind a cut link that stay in the tables, and against a side that loses
/// its own members.
#[test]
fn each_side_of_a_cut_keeps_its_own_members() {
    let mut net = cluster(31, 3, 4, 8);
    net.links.cut(1, 2, true);
    net.links.cut(1, 3, true);
    let apart = |net: &Network| sees(net, 1, &[1]) && sees(net, 2, &[2, 3]);
    let taken = net.run_until(BOUND, apart);
    assert!(
        taken.is_some(),
        "the other side is still listed after {BOUND:?}"
    );
    net.run(Duration::from_secs(60));
    assert!(apart(&net), "the sides stay apart and whole");
    assert!(net.deaths.is_empty(), "a cut kills nobody");
    net.links.cuts.clear();
    let taken = net.run_until(Duration::from_secs(5), converged);
    assert!(taken.is_some(), "the sides do not merge within 5 s");
}

/// Guards against a starting balancer that takes the last echo before the cut for a new one.
#[test]
fn a_balancer_that_starts_during_a_cut_lists_its_own_side() {
    let mut net = cluster(37, 2, 4, 4);
    net.links.cut(1, 2, true);
    net.run(Duration::from_secs(20));
    net.add_balancer(1);
    let listed = |net: &Network| !sees(net, 1, &[1]);
    net.run(Duration::from_millis(500));
    let seen = net.run_until(Duration::from_secs(10), listed);
    assert_eq!(seen, None, "the other side is listed during the cut");
}

/// Guards against a link that fails in one direction and keeps unreachable targets in the tables.
#[test]
fn a_cut_in_one_direction_separates_both() {
    let mut net = cluster(32, 2, 4, 4);
    net.links.cut_one_way(1, 2, true);
    let taken = net.run_until(BOUND, |net| sees(net, 1, &[1]) && sees(net, 2, &[2]));
    assert!(
        taken.is_some(),
        "a side still lists what it cannot reach or be reached by"
    );
}

/// Guards against members that died, or left, behind a cut and show up again when it heals. The
/// loss makes sure that the returning data centre waits for the comparison of the tables.
#[test]
fn members_that_ended_during_a_cut_do_not_return() {
    let mut net = cluster(33, 2, 5, 8);
    net.links.cut(1, 2, true);
    net.run(Duration::from_secs(10));
    let ended = [1, 6, 7, 8];
    net.crash(ended[0]);
    for node in &ended[1..] {
        net.leave(*node);
    }
    net.run(Duration::from_secs(200));
    net.links.cuts.clear();
    net.links.loss = Loss::Independent(0.3);
    let gone = ended.map(|node| id(&net, node));
    let listed = |net: &Network| gone.iter().any(|&id| !absent(net, id));
    let seen = net.run_until(Duration::from_secs(10), listed);
    assert_eq!(seen, None, "an ended member is listed after the cut");
    net.links.loss = Loss::Independent(0.0);
    let taken = net.run_until(Duration::from_secs(5), converged);
    assert!(taken.is_some(), "the sides do not merge within 5 s");
}

/// Guards against claims that count a member as old although it missed what was claimed elsewhere
/// during a cut: its age has to restart.
#[test]
fn members_behind_a_healed_cut_count_as_new() {
    let mut net = cluster(34, 2, 4, 8);
    net.run(Duration::from_secs(300));
    net.links.cut(1, 2, true);
    net.run(Duration::from_secs(30));
    let (own, other) = (net.hosts[4].member.service, 2);
    let ages = |net: &Network, departed: bool| -> Vec<u64> {
        let (_, agent) = net.agents().next().expect("an agent runs");
        assert_eq!(agent.member().service, own, "the first agent is asked");
        let list = agent.service_members(net.now);
        let far = list.into_iter().filter(|m| m.data_centre.0 == other);
        let far = far.filter(|m| m.state.is_none() == departed);
        far.map(|m| m.age.as_millis() / 1_000).collect()
    };
    assert!(
        ages(&net, true).iter().all(|age| (26..=30).contains(age)),
        "departed with the cut"
    );
    assert_eq!(ages(&net, true).len(), 2, "both are known as departed");
    net.links.cuts.clear();
    net.run(Duration::from_secs(10));
    assert!(
        ages(&net, false).iter().all(|&age| age < 10),
        "the ages restarted"
    );
    assert_eq!(ages(&net, false).len(), 2, "both are back");
}

/// Guards against one watcher's word: a member that one watcher cannot hear is alive.
#[test]
fn a_member_that_one_watcher_cannot_hear_stays() {
    let mut net = cluster(35, 1, 6, 6);
    for watcher in 0..6 {
        net.links.node_cuts.clear();
        net.links
            .node_cuts
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
    assert!(raised > 0, "the cut watchers suspected their members");
}

/// Guards against a member that stays out after two watchers lost it by mistake.
#[test]
fn a_wrongly_dead_member_refutes_with_a_higher_incarnation() {
    let mut net = cluster(36, 1, 6, 6);
    let wrong = id(&net, 7);
    net.links
        .node_cuts
        .extend((0..6).map(|watcher| (7, watcher)));
    net.run(Duration::from_secs(5));
    let listed = |net: &Network| {
        net.balancers(None)
            .any(|(_, n)| n.agents().any(|m| m.id == wrong))
    };
    assert!(!listed(&net), "a silent member is declared dead");
    net.links.node_cuts.clear();
    let taken = net.run_until(Duration::from_secs(2), converged);
    assert!(taken.is_some(), "the member is not back within 2 s");
    let back = net.hosts[7].agent().map(|node| node.member().incarnation);
    assert_eq!(back, Some(1), "the refutation raised the incarnation once");
}

/// Guards against a balancer that hears nothing and takes itself for the only live watcher.
#[test]
fn a_deaf_balancer_declares_nobody_dead() {
    let mut net = cluster(38, 1, 6, 6);
    net.links.node_cuts.extend((1..12).map(|node| (node, 0)));
    net.run(Duration::from_secs(20));
    assert_eq!(net.deaths, Vec::new(), "the deaf balancer declared a death");
}

/// Guards against the word of a watcher that cannot hear a member and whose fellow watchers died:
/// the balancers that replace them have to ask the member.
#[test]
fn a_member_that_its_last_watcher_cannot_hear_stays() {
    for seed in 61..66 {
        let mut net = cluster(seed, 1, 8, 4);
        let agent = id(&net, 8);
        let mut watchers = (0..8).collect::<Vec<_>>();
        watchers.sort_by_key(|&node| Reverse(mix(agent.0, id(&net, node).0)));
        net.links.node_cuts.insert((8, watchers[0]));
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
