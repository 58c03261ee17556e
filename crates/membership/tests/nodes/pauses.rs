//! Frozen and thawed processes.

use monsoon_membership::simulation::Network;
use monsoon_model::Duration;

use crate::common::{absent, cluster, converged, id};

/// Guards against a thawed balancer that takes its own pause for the silence of others.
#[test]
fn a_thawed_balancer_declares_nobody_dead() {
    let mut net = cluster(41, 2, 5, 8);
    let frozen = id(&net, 1);
    net.suspend(1);
    net.run(Duration::from_secs(30));
    assert!(absent(&net, frozen), "a frozen balancer is declared dead");
    net.resume(1);
    net.run(Duration::from_secs(10));
    let wrong = net.deaths.iter().filter(|death| death.id != frozen).count();
    assert_eq!(wrong, 0, "others were declared dead after the pause");
    assert!(converged(&net), "the thawed balancer is back");
}

/// Guards against the same where one suspicion is enough, because only one balancer is left to
/// suspect another, and where no message waited.
#[test]
fn a_thawed_balancer_of_two_keeps_the_other() {
    let mut net = cluster(44, 1, 2, 4);
    net.suspend(1);
    net.run(Duration::from_secs(30));
    net.resume_with(1, 0);
    net.run(Duration::from_secs(10));
    let wrong = net.deaths.iter().filter(|death| death.observer == 1);
    assert_eq!(wrong.count(), 0, "the thawed balancer declared a death");
    assert!(converged(&net), "the thawed balancer is back");
}

/// Guards against old news: what a thawed balancer remembers must not reach the others.
#[test]
fn a_thawed_balancer_brings_no_old_news() {
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
    assert!(!listed(&net), "both are gone before the thaw");
    net.resume(1);
    let seen = net.run_until(Duration::from_secs(10), listed);
    assert_eq!(seen, None, "an ended member is listed by another balancer");
    assert!(
        gone.iter().all(|&id| absent(&net, id)),
        "the thawed balancer learned of both"
    );
}

/// Guards against a frozen agent that keeps getting work, and against one that never returns.
#[test]
fn a_frozen_agent_leaves_and_returns() {
    let mut net = cluster(43, 1, 5, 8);
    let frozen = id(&net, 8);
    net.suspend(8);
    let taken = net.run_until(Duration::from_secs(3), |net| absent(net, frozen));
    assert!(
        taken.is_some(),
        "the frozen agent is still listed after 3 s"
    );
    net.run(Duration::from_secs(60));
    net.resume(8);
    let taken = net.run_until(Duration::from_secs(3), converged);
    assert!(taken.is_some(), "the thawed agent is not back within 3 s");
}
