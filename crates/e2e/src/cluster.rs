//! The whole system of a test, as processes on loopback.

use std::net::SocketAddr;
use std::process::Output;
use std::time::Duration;

use monsoon_membership::{Member, State};
use monsoon_standin::certs;
use monsoon_standin::process::Process;
use monsoon_standin::target::Record;
use serde_json::Value;

use crate::caller::Caller;
use crate::daemon::Daemon;
use crate::temp_dir::TempDir;
use crate::{
    DATA_CENTRES, DOCUMENT, IDLE_ADDRESS, SERVICE, SERVICE_ADDRESS, TIMEOUT, binaries, http, wait,
};

/// Most rounds of requests to warm the targets.
const MAX_WARM_ROUNDS: u32 = 3;

/// Platform store, fabric, 2 balancers, and in each data centre a target with its agent.
#[derive(Debug)]
pub struct Cluster {
    /// Balancers; at the start the first is in `brno-a` and the second in `brno-b`.
    pub balancers: Vec<Daemon>,
    /// Agents, at the start in the order of [`DATA_CENTRES`].
    pub agents: Vec<Daemon>,
    /// Platform stand-in, whose objects are the store.
    pub platform: Process,
    /// Fabric, which spreads the callers' datagrams over the balancers.
    pub fabric: Process,
    targets: Vec<Process>,
    process_count: usize,
    /// Files of the test; the last field, so that it is dropped after the processes.
    pub temp_dir: TempDir,
}

impl Cluster {
    /// Starts all processes and waits until the balancers and agents know each other.
    pub fn start() -> Self {
        Self::with_speed(1.0)
    }

    /// Like [`Cluster::start`], with targets that take 20 ms divided by `speed` for a request.
    pub fn with_speed(speed: f64) -> Self {
        let temp_dir = TempDir::new();
        certs::write(&temp_dir.join("certs")).expect("certificates can be made");
        temp_dir.write("document.toml", DOCUMENT);
        let platform = standin(&["platform", "--port", "0"]);
        let fabric = standin(&["fabric"]);
        let targets = DATA_CENTRES.map(|data_centre| {
            standin(&[
                "target",
                "--name",
                data_centre,
                "--speed",
                &speed.to_string(),
            ])
        });
        let mut cluster = Self {
            balancers: Vec::new(),
            agents: Vec::new(),
            platform,
            fabric,
            targets: targets.into(),
            process_count: 0,
            temp_dir,
        };
        let document = cluster.temp_dir.join("document.toml");
        cluster.ctl_success(&["apply", &document.display().to_string()]);
        for data_centre in &DATA_CENTRES[..2] {
            let balancer = cluster.balancer(data_centre);
            cluster.balancers.push(balancer);
        }
        for index in 0..DATA_CENTRES.len() {
            let agent = cluster.agent(index);
            cluster.agents.push(agent);
        }
        cluster.set_balancers(&[0, 1]);
        cluster.wait_ready();
        cluster
    }

    /// Starts another balancer and waits until it serves [`SERVICE_ADDRESS`].
    pub fn balancer(&mut self, data_centre: &str) -> Daemon {
        let text = format!(
            "{}[balancer]\nbinds = {{ \"{SERVICE_ADDRESS}\" = \"127.0.0.1:0\", \
             \"192.0.2.2:443\" = \"127.0.0.1:0\", \"{IDLE_ADDRESS}\" = \"127.0.0.1:0\" }}\n",
            self.settings("balancer", data_centre)
        );
        let daemon = self.daemon("balancer", &text);
        daemon.service_socket(SERVICE_ADDRESS);
        daemon
    }

    /// Starts another agent for the target in `DATA_CENTRES[index]` and waits until it serves.
    pub fn agent(&mut self, index: usize) -> Daemon {
        let text = self.agent_settings(index);
        let daemon = self.daemon("agent", &text);
        daemon.wait_log(&format!("serves {SERVICE}"));
        daemon
    }

    /// Starts a daemon with these settings and waits until its sockets are open.
    pub fn daemon(&mut self, role: &str, settings: &str) -> Daemon {
        self.process_count += 1;
        let name = format!("{role}-{}.toml", self.process_count);
        Daemon::start(&self.temp_dir.write(&name, settings))
    }

    /// Address of the store.
    pub fn store(&self) -> SocketAddr {
        address(&self.platform)
    }

    /// Address of the target in `DATA_CENTRES[index]`.
    pub fn target(&self, index: usize) -> SocketAddr {
        address(&self.targets[index])
    }

    /// Requests that the target in `DATA_CENTRES[index]` has recorded.
    pub fn record(&self, index: usize) -> Record {
        http::get(self.target(index), "/control/record")
    }

    /// Number of requests that run at the target in `DATA_CENTRES[index]` now.
    pub fn in_flight(&self, index: usize) -> u64 {
        let health: Value = http::get(self.target(index), "/health");
        health["busy"].as_u64().expect("the target reports it")
    }

    /// Number of streams that are open at the target in `DATA_CENTRES[index]` now.
    pub fn streams(&self, index: usize) -> u64 {
        let record = self.record(index);
        record.streams - record.ended - record.dropped
    }

    /// Records of all targets, in the order of [`DATA_CENTRES`].
    pub fn records(&self) -> Vec<Record> {
        (0..DATA_CENTRES.len())
            .map(|index| self.record(index))
            .collect()
    }

    /// Makes the fabric send only to these balancers.
    pub fn set_balancers(&self, balancers: &[usize]) {
        let sockets = balancers
            .iter()
            .map(|index| self.balancers[*index].service_socket(SERVICE_ADDRESS));
        let list = serde_json::to_string(&sockets.collect::<Vec<_>>()).expect("addresses are text");
        let control = self.fabric.address("control");
        http::post(control.expect("the fabric has it"), "/balancers", &list);
    }

    /// Waits until each balancer knows all targets and each agent its peers.
    pub fn wait_ready(&self) {
        for balancer in &self.balancers {
            wait_agents(balancer, DATA_CENTRES.len());
        }
        for agent in &self.agents {
            wait::until("an agent knows its peers", || {
                let status = agent.try_status().ok()?;
                (status["peers"].as_array()?.len() + 1 == DATA_CENTRES.len()).then_some(())
            });
        }
    }

    /// Sends requests until the balancers count all targets as warm. The rate must be below what
    /// cold targets can serve.
    pub fn warm(&mut self, holds_per_second: u32) {
        let load = format!("--connections 8 --holds-per-second {holds_per_second}");
        for seed in 1..=MAX_WARM_ROUNDS {
            let caller = self.caller(40, seed, &load);
            let what = "the targets are warm";
            let ((), took) = wait::until(what, || self.is_warm().then_some(()));
            println!("targets warm after {took:?}");
            caller.stop();
            // A late response to one of the last requests can make a target count as cold again.
            wait::pause(1.0);
            if self.is_warm() {
                return;
            }
        }
        panic!("targets were not warm after {MAX_WARM_ROUNDS} rounds");
    }

    fn is_warm(&self) -> bool {
        let warm = |agent: &&Member| agent.state == State::Ready;
        let count = |balancer: &Daemon| balancer.agents().iter().filter(warm).count();
        self.balancers
            .iter()
            .all(|balancer| count(balancer) == DATA_CENTRES.len())
    }

    /// Waits until every daemon has these versions in force; returns the time that it took.
    pub fn wait_versions(&self, versions: &Value) -> Duration {
        let what = format!("{versions} in force everywhere");
        let daemons = || self.balancers.iter().chain(&self.agents);
        let ((), took) = wait::until(&what, || {
            daemons()
                .all(|daemon| daemon.versions() == *versions)
                .then_some(())
        });
        took
    }

    /// Runs `monsoonctl` in the environment.
    pub fn ctl(&self, args: &[&str]) -> Output {
        let mut command = binaries::command("monsoonctl");
        command.args(["--store", &self.store().to_string()]);
        command.args(["--env", "production", "--author", "test"]);
        command.args(args).output().expect("monsoonctl starts")
    }

    /// Runs `monsoonctl` and panics if it fails.
    pub fn ctl_success(&self, args: &[&str]) {
        let output = self.ctl(args);
        assert!(output.status.success(), "{args:?}: {output:?}");
    }

    /// Starts a caller of [`SERVICE`] that sends for `seconds`.
    pub fn caller(&mut self, seconds: u32, seed: u32, arguments: &str) -> Caller {
        self.process_count += 1;
        let report = self
            .temp_dir
            .join(&format!("report-{}.json", self.process_count));
        let ca = self.temp_dir.join("certs/ca.pem").display().to_string();
        let command_line = format!(
            "caller --service {} --ca {ca} --server-name {SERVICE} --seconds {seconds} \
             --seed {seed} --report {} {arguments}",
            address(&self.fabric),
            report.display()
        );
        let args: Vec<_> = command_line.split_whitespace().collect();
        let process = standin(&args);
        Caller { process, report }
    }
}

/// Waits until a balancer knows `count` targets that take requests. They may still be cold, because
/// a target is cold until it has served requests.
pub fn wait_agents(balancer: &Daemon, count: usize) {
    wait::until_ok("a balancer knows the targets", || {
        let agents = balancer.agents();
        let is_serving = |agent: &&Member| agent.state != State::Leaving;
        if agents.iter().filter(is_serving).count() == count {
            Ok(())
        } else {
            Err(format!("{agents:?}"))
        }
    });
}

fn standin(args: &[&str]) -> Process {
    let mut command = binaries::command("monsoon-standin");
    Process::start(command.args(args), TIMEOUT).unwrap_or_else(|error| panic!("{error}"))
}

fn address(process: &Process) -> SocketAddr {
    process.address("address").expect("the ready line has it")
}
