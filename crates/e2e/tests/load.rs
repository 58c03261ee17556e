//! Crashes and planned stops of daemons while callers send.

use monsoon_e2e::cluster::{Cluster, wait_agents};
use monsoon_e2e::wait::{self, pause};
use monsoon_e2e::{DATA_CENTRES, holds, http};
use monsoon_standin::process::Signal;

/// Arguments for callers that send requests of every class. The uploads are large enough that some
/// are in progress at any time.
const MIXED: &str = "--connections 6 --boards 6 --holds-per-second 20 --uploads 8 \
                     --upload-bytes 1000000 --upload-path /uploads";

/// Guards against flows or requests that depend on the state of one balancer, and against holds
/// that run twice because packets are lost with it.
#[test]
fn a_killed_balancer_breaks_no_flow() {
    let mut cluster = Cluster::start();
    let caller = cluster.caller(12, 101, MIXED);
    pause(3.0);
    cluster.balancers.remove(0).kill();
    let replacement = cluster.balancer(DATA_CENTRES[0]);
    cluster.balancers.push(replacement);
    wait_agents(&cluster.balancers[1], DATA_CENTRES.len());
    cluster.set_balancers(&[0, 1]);

    let report = caller.finish();
    let records = cluster.records();
    assert_eq!(report.broken, 0);
    holds::assert_executions(&records, &[&report]);
    // The caller compares the digest of each upload with the one that the target computed.
    assert_eq!(report.count("upload", "answered"), 8);
    let uploads = records.iter().flat_map(|record| &record.uploads);
    assert!(uploads.clone().count() >= 8);
    assert!(uploads.clone().all(|upload| upload.bytes == 1_000_000));
    assert_eq!(
        report.count("board", "answered"),
        report.count("board", "sent")
    );
    let (answered, sent) = (
        report.count("hold", "answered"),
        report.count("hold", "sent"),
    );
    assert!(answered * 10 >= sent * 9, "{answered} of {sent} holds");
}

/// Guards against a planned stop that interrupts streams or requests, or that never ends.
#[test]
fn planned_stops_interrupt_no_request() {
    let mut cluster = Cluster::start();
    let caller = cluster.caller(16, 102, MIXED);
    pause(3.0);
    // The target ends its streams while the agent stops.
    http::post(cluster.target(0), "/control/drain", r#"{"seconds":4}"#);
    let mut first = cluster.agents.remove(0);
    first.signal(Signal::Terminate);
    pause(1.0);
    // The caller ends the streams of this agent.
    let mut second = cluster.agents.remove(0);
    second.signal(Signal::Terminate);
    pause(1.0);
    cluster.balancers[0].signal(Signal::Terminate);
    pause(0.5);
    cluster.set_balancers(&[1]);
    let stopped = cluster.balancers.remove(0).wait();
    assert!(stopped.success(), "balancer: {stopped}");

    let stopped = first.wait();
    assert!(stopped.success(), "agent: {stopped}");
    let report = caller.finish();
    let stopped = second.wait();
    assert!(stopped.success(), "agent: {stopped}");
    let records = cluster.records();
    assert_eq!(report.broken, 0);
    holds::assert_executions(&records, &[&report]);
    let cancelled: u64 = records.iter().map(|record| record.cancelled).sum();
    assert_eq!(cancelled, 0, "requests were cut at the targets");
    assert_eq!(report.count("upload", "answered"), 8);
    // While all other agents are younger than the claim window, the stop of an agent leaves the
    // outcome of its holds unknown; this is documented in section 3.4.
    assert_eq!(report.count("hold", "failed"), 0);
}

/// Guards against a planned stop that interrupts streams at the agent's target for flows that other
/// agents own.
#[test]
fn a_planned_stop_waits_for_streams_of_other_agents() {
    let mut cluster = Cluster::start();
    cluster.agents.remove(1).kill();
    wait_agents(&cluster.balancers[0], 2);
    wait_agents(&cluster.balancers[1], 2);
    let caller = cluster.caller(14, 106, "--connections 8 --boards 8");
    pause(2.0);
    // The new agent owns no flows. The other agents keep their flows when their targets drain, so
    // the next streams of these flows run at its target.
    let mut agent = cluster.agent(1);
    wait_agents(&cluster.balancers[0], 3);
    for target in [0, 2] {
        http::post(cluster.target(target), "/control/drain", r#"{"seconds":2}"#);
    }
    wait::until("streams of other agents", || {
        (cluster.streams(1) >= 4).then_some(())
    });
    assert_eq!(agent.status()["flows"], 0);
    agent.signal(Signal::Terminate);
    let report = caller.finish();
    let stopped = agent.wait();
    assert!(stopped.success(), "agent: {stopped}");
    assert_eq!(report.broken, 0);
}

/// Guards against an agent crash that breaks flows of other agents, prevents new flows, or makes a
/// hold run twice.
#[test]
fn a_killed_agent_breaks_only_its_own_flows() {
    let mut cluster = Cluster::with_speed(0.2);
    // While targets are cold, streams run at other targets than those of the flow's owner.
    cluster.warm(9);
    // Resets of the dead agent's flows start 5 s after it was declared dead.
    let boards = cluster.caller(20, 103, "--connections 12 --boards 12");
    pause(2.0);
    // The agent with the most flows, so that the killed agent always owns one.
    let victim = (0..DATA_CENTRES.len()).max_by_key(|index| cluster.streams(*index));
    let victim = victim.expect("there are targets");
    let lost = cluster.streams(victim);
    assert!(
        (1..12).contains(&lost),
        "{lost} of 12 streams at one target"
    );
    let flows = cluster.agents[victim].status()["flows"].clone();
    assert_eq!(flows, lost, "flows have streams at other targets");
    let hold_load = "--connections 8 --holds-per-second 60 --resend";
    let hold_load = cluster.caller(10, 104, hold_load);
    pause(1.5);
    // The answers to holds at its target are lost with the agent, so the caller sends them again.
    wait::until("holds in flight", || {
        (cluster.in_flight(victim) >= 2).then_some(())
    });
    cluster.agents.remove(victim).kill();
    pause(5.0);
    // These flows start after the agent was removed from the tables.
    let later = "--connections 6 --boards 6 --uploads 12 --upload-path /uploads";
    let later = cluster.caller(4, 105, later);

    let later = later.finish();
    let (boards, hold_load) = (boards.finish(), hold_load.finish());
    assert_eq!(boards.count("board", "broken"), lost);
    assert_eq!(boards.count("board", "answered"), 12);
    assert_eq!(later.served, later.sent);
    assert_eq!(later.connect_failures, 0);
    // Some outcomes may be unknown, see planned_stops_interrupt_no_request.
    assert_eq!(hold_load.count("hold", "failed"), 0);
    holds::assert_executions(&cluster.records(), &[&hold_load]);
}
