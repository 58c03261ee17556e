//! Operators' changes, a draining target and a store outage while callers send.

use std::time::{Duration, Instant};

use monsoon_e2e::cluster::Cluster;
use monsoon_e2e::probe::Probe;
use monsoon_e2e::wait::{self, pause};
use monsoon_e2e::{DATA_CENTRES, DOCUMENT, SERVICE_ADDRESS, holds, http};
use monsoon_standin::process::Signal;
use serde_json::json;

/// Longest time for which an evacuated data centre gets packets or a draining target gets requests.
const BOUND: Duration = Duration::from_secs(3);

/// Longest time for which a balancer that was suspended during a change may act on the old
/// versions. It learns the new ones from the first message, then forwards for a grace time of 1 s.
const RESUME_BOUND: Duration = Duration::from_secs(2);

/// Arguments for callers that send requests of every class.
const MIXED: &str = "--connections 6 --boards 6 --holds-per-second 20 --uploads 8 \
                     --upload-bytes 100000 --upload-path /uploads";

/// Guards against an evacuated data centre that still gets work, also through a balancer that was
/// suspended during the change, and against one that gets no work after its return.
#[test]
fn an_evacuated_data_centre_gets_no_work() {
    let mut cluster = Cluster::start();
    cluster.warm(45);
    let boards = cluster.caller(14, 201, "--connections 12 --boards 12");
    pause(2.0);
    let flows = cluster.streams(2);
    assert!(flows > 0, "no stream in {}", DATA_CENTRES[2]);
    assert_eq!(cluster.agents[2].status()["flows"], flows);
    let keys = cluster.temp_dir.join("certs/keys.toml");
    let probe = |cluster: &Cluster, index: usize| {
        let socket = cluster.balancers[index].service_socket(SERVICE_ADDRESS);
        let probe = Probe::start(&keys, socket, 3);
        wait::until("a packet of the probe", || probe.last_arrival());
        probe
    };
    let (running, suspended) = (probe(&cluster, 0), probe(&cluster, 1));

    cluster.balancers[1].signal(Signal::Stop);
    cluster.ctl_success(&["dc", "out", DATA_CENTRES[2]]);
    let accepted_at = Instant::now();
    pause(1.0);
    cluster.set_balancers(&[0]);
    pause(2.0);
    let work = |cluster: &Cluster| {
        let record = cluster.record(2);
        (
            record.executions.len(),
            record.uploads.len(),
            record.streams,
        )
    };
    let before = work(&cluster);
    assert_eq!(cluster.streams(2), 0);
    pause(3.0);
    cluster.balancers[1].signal(Signal::Continue);
    let resumed_at = Instant::now();
    cluster.set_balancers(&[0, 1]);
    let newest = cluster.balancers[0].versions();
    let ((), learned) = wait::until("the newest versions after the resumption", || {
        (cluster.balancers[1].versions() == newest).then_some(())
    });
    assert_eq!(newest, json!({"document": 1, "places": 2}));
    pause(2.5);
    let delay = |probe: &Probe, since| {
        let arrival = probe.last_arrival().expect("packets arrived before");
        arrival.saturating_duration_since(since)
    };
    let (first, second) = (delay(&running, accepted_at), delay(&suspended, resumed_at));
    println!("measured: last packet {first:?} after acceptance, {second:?} after the resumption");
    println!("measured: newest versions {learned:?} after the resumption");
    assert!(first <= BOUND);
    assert!(second <= RESUME_BOUND);
    assert_eq!(work(&cluster), before);

    cluster.ctl_success(&["dc", "in", DATA_CENTRES[2]]);
    let report = boards.finish();
    assert_eq!(report.broken, 0);
    assert_eq!(report.count("board", "given_up"), flows);
    let later = cluster.caller(4, 202, "--connections 16 --boards 16");
    let has_new_streams = || (work(&cluster).2 > before.2).then_some(());
    wait::until("streams in the returned data centre", has_new_streams);
    assert_eq!(later.finish().broken, 0);
}

/// Guards against daemons that cannot start or serve during a store outage, and against an
/// operator's change that is lost or written twice when the store's answer is lost.
#[test]
fn callers_are_served_while_the_store_is_down() {
    let mut cluster = Cluster::start();
    let document = |cluster: &Cluster, slots: u32| {
        let text = DOCUMENT.replacen("slots = 4", &format!("slots = {slots}"), 1);
        let path = cluster.temp_dir.write("changed.toml", &text);
        path.display().to_string()
    };
    cluster.ctl_success(&["apply", &document(&cluster, 5)]);
    cluster.ctl_success(&["dc", "out", DATA_CENTRES[1]]);
    cluster.ctl_success(&["dc", "in", DATA_CENTRES[1]]);
    // The store numbers the writes of all objects in one sequence.
    let newest = json!({"document": 2, "places": 4});
    cluster.wait_versions(&newest);
    http::post(cluster.store(), "/faults", r#"{"down":true}"#);

    let caller = cluster.caller(12, 203, MIXED);
    pause(1.0);
    let refused = cluster.ctl(&["apply", &document(&cluster, 6)]);
    assert_eq!(refused.status.code(), Some(4), "{refused:?}");
    cluster.balancers.remove(0).kill();
    let balancer = cluster.balancer(DATA_CENTRES[0]);
    cluster.balancers.push(balancer);
    cluster.set_balancers(&[0, 1]);
    let mut old = cluster.agents.remove(0);
    old.signal(Signal::Terminate);
    let agent = cluster.agent(0);
    cluster.agents.push(agent);
    cluster.wait_versions(&newest);
    let report = caller.finish();
    let stopped = old.wait();
    assert!(stopped.success(), "agent: {stopped}");
    assert_eq!(report.broken, 0);
    assert_eq!(
        report.count("board", "answered"),
        report.count("board", "sent")
    );
    assert_eq!(report.count("upload", "answered"), 8);
    holds::assert_executions(&cluster.records(), &[&report]);

    http::post(
        cluster.store(),
        "/faults",
        r#"{"down":false,"lose_answers":1}"#,
    );
    cluster.ctl_success(&["apply", &document(&cluster, 6)]);
    let took = cluster.wait_versions(&json!({"document": 5, "places": 4}));
    println!("measured: in force everywhere {took:?} after the command returned");
}

/// Guards against new work at a draining target after [`BOUND`], and against the loss of its
/// streams.
#[test]
fn a_drained_target_gets_no_new_work() {
    let mut cluster = Cluster::start();
    let caller = cluster.caller(14, 204, MIXED);
    pause(3.0);
    let drained = (0..DATA_CENTRES.len()).max_by_key(|index| cluster.streams(*index));
    let drained = drained.expect("there are targets");
    let streams = cluster.streams(drained);
    assert!(streams > 0, "no target has an open stream");
    http::post(
        cluster.target(drained),
        "/control/drain",
        r#"{"seconds":7}"#,
    );
    pause(5.0);
    assert!(cluster.streams(drained) >= streams, "streams ended early");
    let report = caller.finish();
    let record = cluster.record(drained);
    println!("measured: {:?}", record.after_drain);
    assert!(u128::from(record.after_drain.last_ms) <= BOUND.as_millis());
    assert_eq!(record.dropped, 0);
    assert_eq!(report.broken, 0);
    assert_eq!(report.count("upload", "answered"), 8);
    holds::assert_executions(&cluster.records(), &[&report]);
}
