//! Wrong input, wrong keys and absent neighbours.

use std::net::UdpSocket;

use monsoon_e2e::cluster::Cluster;
use monsoon_e2e::daemon::refused_start;
use monsoon_e2e::wait;
use monsoon_e2e::{DATA_CENTRES, DOCUMENT, IDLE_ADDRESS};
use monsoon_standin::certs;

/// Guards against a malformed document that takes effect, and against settings that are wrong
/// without a clear message.
#[test]
fn invalid_input_is_refused() {
    let cluster = Cluster::start();
    let versions = cluster.balancers[0].versions();
    let text = DOCUMENT.replacen("slots = 4", "slots = 0\nsolts = 4", 1);
    let faulty = cluster.temp_dir.write("faulty.toml", &text);
    let faulty = faulty.display().to_string();
    for command in ["check", "apply"] {
        let output = cluster.ctl(&[command, &faulty]);
        assert_eq!(output.status.code(), Some(1), "{output:?}");
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(message.contains("solts"), "{message}");
    }
    // The store counts every accepted write.
    cluster.ctl_success(&["dc", "out", DATA_CENTRES[2]]);
    let places = versions["document"].as_u64().map(|version| version + 1);
    wait::until("the next version", || {
        let now = cluster.balancers[0].versions();
        (now["places"].as_u64() == places && now["document"] == versions["document"]).then_some(())
    });

    let settings = cluster.agent_settings(0);
    let (code, message) = refused_start(
        &cluster
            .temp_dir
            .write("unknown.toml", &format!("sede = 1\n{settings}")),
    );
    assert_eq!(code, Some(1));
    assert!(message.contains("sede"), "{message}");

    let taken = cluster.balancers[0].address("control").to_string();
    let control = format!("control = \"{taken}\"");
    let text = settings.replacen("control = \"127.0.0.1:0\"", &control, 1);
    let (code, message) = refused_start(&cluster.temp_dir.write("taken.toml", &text));
    assert_eq!(code, Some(1));
    assert!(
        message.contains(&taken) && message.contains("port"),
        "{message}"
    );
}

/// Guards against control datagrams of an outsider that take effect or disturb the others.
#[test]
fn a_daemon_with_other_keys_is_ignored() {
    let mut cluster = Cluster::start();
    let caller = cluster.caller(6, 301, "--connections 4 --boards 4 --holds-per-second 10");
    certs::write(&cluster.temp_dir.join("other")).expect("certificates can be made");
    let text = cluster
        .agent_settings(0)
        .replace("certs/keys.toml", "other/keys.toml");
    // Without the store it can learn the document only from the others.
    let store = format!("store = [\"{}\"]", cluster.store());
    let text = text.replace(&store, "store = []");
    let stranger = cluster.daemon("stranger", &text);
    wait::until("unverified datagrams", || {
        let counts = cluster
            .balancers
            .iter()
            .map(|daemon| daemon.counter("control_unverified"));
        (counts.sum::<u64>() >= 3).then_some(())
    });
    let report = caller.finish();
    assert_eq!(report.served, report.sent);
    assert!(!stranger.log().contains("in force"), "{}", stranger.log());
    for balancer in &cluster.balancers {
        assert_eq!(balancer.agents().len(), DATA_CENTRES.len());
    }
}

/// Guards against a daemon that ends, or waits in silence, while the store is absent.
#[test]
fn a_daemon_starts_without_its_store() {
    let mut cluster = Cluster::start();
    let unused = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let absent = unused
        .local_addr()
        .expect("the socket is bound")
        .to_string();
    let store = format!("store = [\"{}\"]", cluster.store());
    let alone = cluster
        .settings("balancer", DATA_CENTRES[0])
        .replace(&store, &format!("store = [\"{absent}\"]"));
    let seeds = alone
        .lines()
        .find(|line| line.starts_with("seeds"))
        .expect("there are seeds");
    let alone = alone.replace(seeds, "seeds = []");
    let daemon = cluster.daemon("alone", &alone);
    daemon.wait_log("store: ");
    daemon.wait_log(&absent);
    daemon.stop();
}

/// Guards against a first packet for a service without targets that reaches another service or
/// ends the balancer.
#[test]
fn a_service_without_targets_drops_packets() {
    let cluster = Cluster::start();
    let balancer = &cluster.balancers[0];
    let idle = balancer.service_socket(IDLE_ADDRESS);
    let caller = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    caller.send_to(&initial(), idle).expect("loopback sends");
    wait::until("a counted drop", || {
        let routing = balancer.status()["routing"].to_string();
        routing.contains("no_target: 1,").then_some(())
    });
    for agent in &cluster.agents {
        assert_eq!(agent.counter("flow_accepted"), 0);
        assert_eq!(agent.counter("envelope_other_service"), 0);
    }
}

/// Start of a QUIC Initial packet, padded to the size that a server accepts.
fn initial() -> Vec<u8> {
    let mut packet = vec![0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0];
    packet.resize(1_200, 0);
    packet
}
