//! Random faults on a lossy network: afterwards every node agrees, and no ended member returns.

use std::collections::{BTreeMap, BTreeSet};

use monsoon_membership::State;
use monsoon_membership::simulation::{Condition, Loss, Network};
use monsoon_model::hash::mix;
use monsoon_model::{AgentId, Duration, Instant, Version, Versions};

use crate::common::{cluster, converged, id};

/// Time that a thawed node may show what it knew before.
const RECOVERY: Duration = Duration::from_secs(5);

/// Random faults with what is needed to undo and to check them.
struct Chaos {
    net: Network,
    seed: u64,
    count: u64,
    thawed: BTreeMap<usize, Instant>,
    /// Ended members that no running node listed any more.
    gone: BTreeSet<AgentId>,
    version: u64,
}

impl Chaos {
    fn new(seed: u64) -> Self {
        let mut net = cluster(seed, 3, 5, 8);
        net.links.loss = Loss::Independent(0.05);
        net.links.duplicates = 0.05;
        net.links.stragglers = 0.05;
        let (thawed, gone) = (BTreeMap::new(), BTreeSet::new());
        Self {
            net,
            seed,
            count: 0,
            thawed,
            gone,
            version: 0,
        }
    }

    fn draw(&mut self, bound: usize) -> usize {
        self.count += 1;
        mix(self.seed, self.count) as usize % bound
    }

    fn step(&mut self) {
        let node = self.draw(self.net.slots.len());
        let place = self.net.slots[node].member.group.0;
        let other = 1 + self.draw(3) as u8;
        let cut = self.draw(2) == 0;
        let enough = self.net.balancers(Some(place)).count() > 3;
        match self.draw(12) {
            0 if enough => self.net.crash(node),
            1 if enough => self.net.leave(node),
            2 if enough => self.net.freeze(node),
            3 | 4 => self.thaw(node),
            5 => {
                self.net.add_agent(place, 2);
            }
            6 => {
                self.net.add_balancer(place);
            }
            7 if other != place => self.net.links.cut(place, other, cut),
            8 if other != place => self.net.links.cut_one_way(place, other, cut),
            9 => self
                .net
                .local(node, if cut { State::Cold } else { State::Ready }, 50),
            10 => self.publish(node),
            _ => {}
        }
        let pause = self.draw(1_500) as u64;
        self.net.run(Duration::from_millis(pause));
        self.check();
    }

    fn thaw(&mut self, node: usize) {
        if self.net.slots[node].condition == Condition::Frozen {
            self.net.thaw(node);
            self.thawed.insert(node, self.net.now);
        }
    }

    fn publish(&mut self, node: usize) {
        self.version += 1;
        let versions = Versions {
            document: Version(self.version),
            evacuations: Version(0),
        };
        self.net.set_versions(node, versions);
    }

    /// Members listed by nodes that had time to recover from a pause.
    fn listed(&self) -> BTreeSet<AgentId> {
        let recovered = |node: &usize| {
            let thawed = self.thawed.get(node);
            thawed.is_none_or(|&at| self.net.now.since(at) > RECOVERY)
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
        for (index, slot) in self.net.slots.iter().enumerate() {
            if slot.condition == Condition::Ended && !listed.contains(&id(&self.net, index)) {
                self.gone.insert(slot.member.id);
            }
        }
    }

    fn heal(&mut self) {
        self.net.links.cuts.clear();
        for node in 0..self.net.slots.len() {
            self.thaw(node);
        }
    }
}

fn same_versions(net: &Network) -> bool {
    let running = net
        .slots
        .iter()
        .filter(|slot| slot.condition == Condition::Running);
    let versions = running
        .map(|slot| slot.versions.document)
        .collect::<BTreeSet<_>>();
    versions.len() == 1
}

/// Guards against members that return after their end, and against tables that stay different
/// after pauses, cuts, losses, duplicates and late messages.
#[test]
fn tables_agree_after_random_faults() {
    for seed in 1..=12 {
        let mut chaos = Chaos::new(seed);
        for _ in 0..60 {
            chaos.step();
        }
        chaos.heal();
        let taken = chaos.net.run_until(Duration::from_secs(20), converged);
        assert!(
            taken.is_some(),
            "seed {seed}: tables differ 20 s after the last fault"
        );
        chaos.check();
        let taken = chaos.net.run_until(Duration::from_secs(5), same_versions);
        assert!(
            taken.is_some(),
            "seed {seed}: the newest configuration is not in force everywhere"
        );
    }
}
