//! Tests with processes that are suspended and resumed.

use monsoon_membership::simulation::Network;
use monsoon_model::Duration;

use crate::common::{absent, cluster, converged, id};

/// A resumed balancer must not mistake its own suspension for the silence of other members.
#[test]
fn a_resumed_balancer_declares_nobody_dead() {
    let mut net = cluster(41, 2, 5, 8);
    let suspended = id(&net, 1);
    net.suspend(1);
    net.run(Duration::from_secs(30));
    assert!(
        absent(&net, suspended),
        "the suspended balancer was not declared dead"
    );
    net.resume(1);
    net.run(Duration::from_secs(10));
    let wrong = net
        .deaths
        .iter()
        .filter(|death| death.id != suspended)
        .count();
    assert_eq!(wrong, 0, "others were declared dead after the suspension");
    assert!(converged(&net), "the resumed balancer is not back");
}

/// With two balancers the suspicion of one is enough. A resumed balancer must not declare the other
/// one dead, also when no message was kept for it.
#[test]
fn a_resumed_balancer_of_two_does_not_declare_the_other_dead() {
    let mut net = cluster(44, 1, 2, 4);
    net.suspend(1);
    net.run(Duration::from_secs(30));
    net.resume_with(1, 0);
    net.run(Duration::from_secs(10));
    let wrong = net.deaths.iter().filter(|death| death.observer == 1);
    assert_eq!(
        wrong.count(),
        0,
        "the resumed balancer declared a member dead"
    );
    assert!(converged(&net), "the resumed balancer is not back");
}

/// A resumed balancer still has members in its table that ended meanwhile, and must not spread
/// them.
#[test]
fn a_resumed_balancer_spreads_no_ended_members() {
    let mut net = cluster(42, 2, 5, 8);
    net.suspend(1);
    net.crash(2);
    net.leave(7);
    let gone = [id(&net, 2), id(&net, 7)];
    net.run(Duration::from_secs(60));
    let listed = |net: &Network| {
        let others = net.balancers(None).filter(|(index, _)| *index != 1);
        others
            .flat_map(|(_, n)| n.agents().chain(n.balancers()))
            .any(|m| gone.contains(&m.id))
    };
    assert!(
        !listed(&net),
        "an ended member is listed before the balancer resumes"
    );
    net.resume(1);
    let seen = net.run_until(Duration::from_secs(10), listed);
    assert_eq!(seen, None, "an ended member is listed by another balancer");
    assert!(
        gone.iter().all(|&id| absent(&net, id)),
        "the resumed balancer still lists an ended member"
    );
}

/// A suspended agent must leave the tables, so that it gets no work, and return once it resumes.
#[test]
fn a_suspended_agent_leaves_and_returns() {
    let mut net = cluster(43, 1, 5, 8);
    let suspended = id(&net, 8);
    net.suspend(8);
    let taken = net.run_until(Duration::from_secs(3), |net| absent(net, suspended));
    assert!(
        taken.is_some(),
        "the suspended agent is still listed after 3 s"
    );
    net.run(Duration::from_secs(60));
    net.resume(8);
    let taken = net.run_until(Duration::from_secs(3), converged);
    assert!(taken.is_some(), "the resumed agent is not back within 3 s");
}
