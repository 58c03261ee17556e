//! Invalid input, wrong keys, an unreachable store and a service without targets.

use std::net::UdpSocket;

use monsoon_e2e::cluster::Cluster;
use monsoon_e2e::daemon::refused_start;
use monsoon_e2e::wait;
use monsoon_e2e::{DATA_CENTRES, DOCUMENT, IDLE_ADDRESS};
use monsoon_standin::certs;

/// Guards against an invalid document that takes effect, and against invalid settings that are
/// refused without naming the key or address at fault.
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
    let expected = versions["document"].as_u64().map(|version| version + 1);
    wait::until("the next version", || {
        let now = cluster.balancers[0].versions();
        (now["places"].as_u64() == expected && now["document"] == versions["document"])
            .then_some(())
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

/// Guards against an error that shows a secret of the keys file, and against one that does not name
/// the line.
#[test]
fn an_error_in_the_keys_file_shows_no_secret() {
    let cluster = Cluster::start();
    let keys = cluster.temp_dir.join("certs/keys.toml");
    let valid = std::fs::read_to_string(&keys).expect("the keys file can be read");
    let secret = valid
        .split('"')
        .find(|part| part.len() == 64)
        .expect("a secret");
    let quoted = format!("\"{secret}\"");
    let texts = [
        valid.replace(&quoted, secret),
        valid.replace(&quoted, &format!("[\"{secret}\"]")),
        valid.replace(&quoted, &format!("\"{secret}")),
        valid.replace(&quoted, &format!("\"{secret}0\"")),
        format!("{valid}\nother = \"{secret}\"\n"),
        format!("phase = \"{secret}\"\n"),
    ];
    for (number, text) in texts.into_iter().enumerate() {
        let faulty = cluster
            .temp_dir
            .write(&format!("keys-{number}.toml"), &text);
        let settings = cluster.agent_settings(0);
        let settings = settings.replace(&keys.display().to_string(), &faulty.display().to_string());
        let file = cluster
            .temp_dir
            .write(&format!("agent-{number}.toml"), &settings);
        let (code, message) = refused_start(&file);
        assert_eq!(code, Some(1), "{message}");
        assert!(!message.contains(&secret[..8]), "{message}");
        let names_fault = message.contains("line ") || message.contains("secret `");
        assert!(names_fault, "{message}");
    }
}

/// Guards against control datagrams, signed with other keys, that take effect or disturb the
/// daemons of the environment.
#[test]
fn a_daemon_with_other_keys_is_ignored() {
    let mut cluster = Cluster::start();
    let caller = cluster.caller(6, 301, "--connections 4 --boards 4 --holds-per-second 10");
    certs::write(&cluster.temp_dir.join("other")).expect("certificates can be made");
    let text = cluster
        .agent_settings(0)
        .replace("certs/keys.toml", "other/keys.toml");
    // Without a store, it can learn the document only from other daemons.
    let store = format!("store = [\"{}\"]", cluster.store());
    let text = text.replace(&store, "store = []");
    let outsider = cluster.daemon("outsider", &text);
    wait::until("unverified datagrams", || {
        let counts = cluster
            .balancers
            .iter()
            .map(|daemon| daemon.counter("control_unverified"));
        (counts.sum::<u64>() >= 3).then_some(())
    });
    let report = caller.finish();
    assert_eq!(report.served, report.sent);
    assert!(!outsider.log().contains("in force"), "{}", outsider.log());
    for balancer in &cluster.balancers {
        assert_eq!(balancer.agents().len(), DATA_CENTRES.len());
    }
}

/// Guards against a daemon that ends, or logs nothing, if it starts while the store is unreachable.
#[test]
fn a_daemon_starts_without_its_store() {
    let mut cluster = Cluster::start();
    let unused = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let unreachable = unused
        .local_addr()
        .expect("the socket is bound")
        .to_string();
    let store = format!("store = [\"{}\"]", cluster.store());
    let settings = cluster
        .settings("balancer", DATA_CENTRES[0])
        .replace(&store, &format!("store = [\"{unreachable}\"]"));
    let seeds = settings
        .lines()
        .find(|line| line.starts_with("seeds"))
        .expect("there are seeds");
    let settings = settings.replace(seeds, "seeds = []");
    let daemon = cluster.daemon("balancer", &settings);
    daemon.wait_log("store: ");
    daemon.wait_log(&unreachable);
    daemon.stop();
}

/// Guards against a balancer that ends, or forwards to another service, when the first packet of a
/// flow is for a service without targets.
#[test]
fn a_service_without_targets_drops_packets() {
    let cluster = Cluster::start();
    let balancer = &cluster.balancers[0];
    let idle = balancer.service_socket(IDLE_ADDRESS);
    let caller = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    caller
        .send_to(&initial_packet(), idle)
        .expect("loopback sends");
    wait::until("a counted drop", || {
        let routing = balancer.status()["routing"].to_string();
        routing.contains("no_target: 1,").then_some(())
    });
    for agent in &cluster.agents {
        assert_eq!(agent.counter("flow_accepted"), 0);
        assert_eq!(agent.counter("envelope_other_service"), 0);
    }
}

/// Header of a QUIC Initial packet, padded to 1,200 bytes, the smallest size that a server accepts.
fn initial_packet() -> Vec<u8> {
    let mut packet = vec![0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0];
    packet.resize(1_200, 0);
    packet
}
