//! Joins, crashes and departures.

use crate::common::{BOUND, absent, cluster, converged, id};
use monsoon_model::Duration;

/// Guards against crashed members that stay in a table beyond the bound.
#[test]
fn crashed_members_leave_every_table_in_time() {
    let mut net = cluster(11, 2, 6, 12);
    for node in [2, 9] {
        net.crash(node);
        let gone = id(&net, node);
        let taken = net.run_until(BOUND, |net| absent(net, gone));
        assert!(
            taken.is_some(),
            "node {node} is still listed after {BOUND:?}"
        );
    }
}

/// Guards against members that announce their end and still get work until they are suspected.
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
    assert!(net.deaths.is_empty(), "nobody was declared dead");
}

/// Guards against a joined member that others do not see for long.
#[test]
fn joined_members_are_known_within_two_seconds() {
    let mut net = cluster(13, 2, 6, 12);
    net.add_agent(1, 1);
    net.add_balancer(2);
    let taken = net.run_until(Duration::from_secs(2), converged);
    assert!(taken.is_some(), "the new members are not known everywhere");
}
