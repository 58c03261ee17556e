//! Test with random faults on a lossy network. All tables must agree afterwards, and no ended
//! member may return.

use std::collections::{BTreeMap, BTreeSet};

use monsoon_membership::State;
use monsoon_membership::simulation::{Condition, Loss, Network};
use monsoon_model::hash::mix;
use monsoon_model::{AgentId, Duration, Instant, Version, Versions};

use crate::common::{cluster, converged, id};

/// Time in which a resumed node may still list what it knew before its suspension.
const RECOVERY: Duration = Duration::from_secs(5);

/// Applies random faults to a network, repairs them and checks the tables.
struct RandomFaults {
    net: Network,
    seed: u64,
    count: u64,
    resumed: BTreeMap<usize, Instant>,
    /// Ended members that no running balancer listed any more.
    gone: BTreeSet<AgentId>,
    version: u64,
}

impl RandomFaults {
    fn new(seed: u64) -> Self {
        let mut net = cluster(seed, 3, 5, 8);
        net.links.loss = Loss::Independent(0.05);
        net.links.duplicates = 0.05;
        net.links.delayed = 0.05;
        let (resumed, gone) = (BTreeMap::new(), BTreeSet::new());
        Self {
            net,
            seed,
            count: 0,
            resumed,
            gone,
            version: 0,
        }
    }

    fn draw(&mut self, bound: usize) -> usize {
        self.count += 1;
        mix(self.seed, self.count) as usize % bound
    }

    fn step(&mut self) {
        let node = self.draw(self.net.hosts.len());
        let data_centre = self.net.hosts[node].member.group.0;
        let other = 1 + self.draw(3) as u8;
        let on = self.draw(2) == 0;
        let enough = self.net.balancers(Some(data_centre)).count() > 3;
        match self.draw(12) {
            0 if enough => self.net.crash(node),
            1 if enough => self.net.leave(node),
            2 if enough => self.net.suspend(node),
            3 | 4 => self.resume(node),
            5 => {
                self.net.add_agent(data_centre, 2);
            }
            6 => {
                self.net.add_balancer(data_centre);
            }
            7 if other != data_centre => self.net.links.partition(data_centre, other, on),
            8 if other != data_centre => self.net.links.partition_one_way(data_centre, other, on),
            9 => self
                .net
                .set_local_state(node, if on { State::Cold } else { State::Ready }, 50),
            10 => self.publish(node),
            _ => {}
        }
        let pause = self.draw(1_500) as u64;
        self.net.run(Duration::from_millis(pause));
        self.check();
    }

    fn resume(&mut self, node: usize) {
        if self.net.hosts[node].condition == Condition::Suspended {
            self.net.resume(node);
            self.resumed.insert(node, self.net.now);
        }
    }

    fn publish(&mut self, node: usize) {
        self.version += 1;
        let versions = Versions {
            document: Version::of(self.version),
            evacuations: Version::of(0),
        };
        self.net.set_versions(node, versions);
    }

    /// Members listed by balancers that had time to recover from a suspension.
    fn listed(&self) -> BTreeSet<AgentId> {
        let recovered = |node: &usize| {
            let resumed = self.resumed.get(node);
            resumed.is_none_or(|&at| self.net.now.since(at) > RECOVERY)
        };
        let nodes = self
            .net
            .balancers(None)
            .filter(|(index, _)| recovered(index));
        let nodes = nodes.map(|(_, node)| node);
        nodes
            .flat_map(|n| n.agents().chain(n.balancers()).map(|m| m.id))
            .collect()
    }

    fn check(&mut self) {
        let listed = self.listed();
        let back = self.gone.intersection(&listed).next();
        assert_eq!(back, None, "an ended member came back (seed {})", self.seed);
        for (index, host) in self.net.hosts.iter().enumerate() {
            if host.condition == Condition::Ended && !listed.contains(&id(&self.net, index)) {
                self.gone.insert(host.member.id);
            }
        }
    }

    fn repair(&mut self) {
        self.net.links.partitions.clear();
        for node in 0..self.net.hosts.len() {
            self.resume(node);
        }
    }
}

fn same_versions(net: &Network) -> bool {
    let running = net
        .hosts
        .iter()
        .filter(|host| host.condition == Condition::Running);
    let versions = running
        .map(|host| host.versions.document)
        .collect::<BTreeSet<_>>();
    versions.len() == 1
}

/// After suspensions, failed links, loss, duplicates and delayed messages all tables must become
/// equal, and no member may return after its end.
#[test]
fn tables_agree_after_random_faults() {
    for seed in 1..=12 {
        let mut faults = RandomFaults::new(seed);
        for _ in 0..60 {
            faults.step();
        }
        faults.repair();
        let taken = faults.net.run_until(Duration::from_secs(20), converged);
        assert!(
            taken.is_some(),
            "seed {seed}: tables differ 20 s after the last fault"
        );
        faults.check();
        let taken = faults.net.run_until(Duration::from_secs(5), same_versions);
        assert!(
            taken.is_some(),
            "seed {seed}: the newest configuration is not in force everywhere"
        );
    }
}
