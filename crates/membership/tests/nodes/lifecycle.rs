//! Tests of joins, crashes and announced departures.

use crate::common::{BOUND, absent, cluster, converged, id};
use monsoon_membership::simulation::Loss;
use monsoon_model::Duration;

/// A crashed member must leave every table within [`BOUND`], also those of another data centre when
/// the crashed one was a speaker.
#[test]
fn crashed_members_leave_every_table_in_time() {
    for seed in [11, 101, 104, 122, 124, 147] {
        let mut net = cluster(seed, 2, 6, 12);
        for node in [2, 9] {
            net.crash(node);
            let gone = id(&net, node);
            let taken = net.run_until(BOUND, |net| absent(net, gone));
            assert!(
                taken.is_some(),
                "seed {seed}: node {node} is still listed after {BOUND:?}"
            );
        }
    }
}

/// A member that announces its end must not get work until it would be suspected.
#[test]
fn departed_members_leave_within_a_second() {
    let mut net = cluster(12, 2, 6, 12);
    for node in [3, 10] {
        net.leave(node);
        let gone = id(&net, node);
        let taken = net.run_until(Duration::from_secs(1), |net| absent(net, gone));
        assert!(
            taken.is_some(),
            "node {node} is still listed after one second"
        );
    }
    assert!(
        net.deaths.is_empty(),
        "a member that left was declared dead"
    );
}

/// A new member must be known to all others soon.
#[test]
fn joined_members_are_known_within_two_seconds() {
    let mut net = cluster(13, 2, 6, 12);
    net.add_agent(1, 1);
    net.add_balancer(2);
    let taken = net.run_until(Duration::from_secs(2), converged);
    assert!(
        taken.is_some(),
        "the new members are not known everywhere after 2 s"
    );
}

/// When watchers are lost together with their member, too few are left to vote. The balancers that
/// replace them must declare the member dead in time.
#[test]
fn members_lost_together_leave_every_table_in_time() {
    for seed in 14..24 {
        let mut net = cluster(seed, 1, 8, 24);
        let lost = [0, 1, 2, 8, 9, 10, 11, 12];
        for node in lost {
            net.crash(node);
        }
        let gone = lost.map(|node| id(&net, node));
        let taken = net.run_until(BOUND, |net| gone.iter().all(|&id| absent(net, id)));
        assert!(
            taken.is_some(),
            "seed {seed}: a lost member is still listed after {BOUND:?}"
        );
    }
}

/// The last balancer of a data centre must not wait forever for votes of dead watchers.
#[test]
fn one_balancer_that_remains_of_three_removes_the_others() {
    let mut net = cluster(24, 1, 3, 6);
    let lost = [0, 1, 4];
    for node in lost {
        net.crash(node);
    }
    let gone = lost.map(|node| id(&net, node));
    let taken = net.run_until(BOUND, |net| gone.iter().all(|&id| absent(net, id)));
    assert!(
        taken.is_some(),
        "a lost member is still listed after {BOUND:?}"
    );
}

/// Under heavy loss two watchers often suspect a member at the same time. It must not be declared
/// dead, because it answers a probe.
#[test]
fn live_members_are_not_declared_dead_under_heavy_loss() {
    let mut net = cluster(25, 1, 6, 24);
    net.links.loss = Loss::Independent(0.25);
    net.run(Duration::from_secs(300));
    let raised = net
        .balancers(None)
        .map(|(_, node)| node.suspicions())
        .sum::<u64>();
    assert!(raised > 100, "the loss caused {raised} suspicions");
    assert_eq!(net.deaths, Vec::new(), "a live member was declared dead");
}
