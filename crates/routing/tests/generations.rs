//! Handshakes while balancers hold different generations of the table.
//!
//! Balancers learn of every change up to 2 s late and skip generations. Each first packet goes
//! through a random balancer and then from agent to agent with a delay per hop. A flow is split
//! when two agents accept it.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Rng, address, candidate};
use monsoon_model::{Chain, Duration, Instant, ServiceId};
use monsoon_routing::{Decision, FirstLook, Handoff, Load, PREVIOUS_TTL, Route, Router, redirect};

const SERVICE: ServiceId = ServiceId(1);
const BALANCERS: u64 = 4;
const AGENTS: u64 = 6;
const GENERATIONS: u64 = 24;
const FLOWS: u64 = 4_000;

/// Weights of the agents; zero is leaving.
type Weights = BTreeMap<u64, u32>;

enum Event {
    Learn { balancer: usize, generation: usize },
    Restart { balancer: usize },
    Send { key: u64 },
    Arrive { key: u64, chain: Chain, hop: usize },
}

#[derive(Default)]
struct World {
    events: BTreeMap<(Instant, u64), Event>,
    generations: Vec<(Instant, Weights)>,
    balancers: Vec<(Router, Option<usize>)>,
    /// Time from which the fabric sends packets to a balancer.
    ready: Vec<Instant>,
    agents: BTreeMap<u64, Handoff>,
    accepted: BTreeMap<u64, BTreeSet<u64>>,
    undelivered: u64,
    warm_up: Duration,
}

impl World {
    fn plan(rng: &mut Rng, mean_gap: u64, restarts: u64, warm_up: Duration) -> Self {
        let ready = vec![Instant::ZERO; BALANCERS as usize];
        let mut world = Self {
            ready,
            warm_up,
            ..Self::default()
        };
        let mut weights: Weights = (1..=AGENTS).map(|id| (id, 4)).collect();
        let mut at = Instant::ZERO;
        for generation in 0..GENERATIONS as usize {
            world.generations.push((at, weights.clone()));
            for balancer in 0..BALANCERS as usize {
                let lag = if generation == 0 { 0 } else { rng.below(2_000) };
                let learn = Event::Learn {
                    balancer,
                    generation,
                };
                world.push(rng, at + Duration::from_millis(lag), learn);
            }
            at += Duration::from_millis(1 + rng.below(2 * mean_gap));
            let weight = [0, 0, 1, 4][rng.below(4) as usize];
            weights.insert(1 + rng.below(AGENTS), weight);
        }
        let end = at.as_micros();
        for _ in 0..restarts {
            let balancer = rng.below(BALANCERS) as usize;
            let at = Instant::from_micros(rng.below(end));
            world.push(rng, at, Event::Restart { balancer });
        }
        for _ in 0..FLOWS {
            let (key, start) = (rng.next(), Instant::from_micros(1 + rng.below(end)));
            // Second packet of the first flight, then retransmissions.
            for within in [1, 5_000, 1_000_000, 3_000_000] {
                let at = start + Duration::from_micros(rng.below(within));
                world.push(rng, at, Event::Send { key });
            }
        }
        world.balancers = (0..BALANCERS).map(|_| (Router::new(), None)).collect();
        world
    }

    fn push(&mut self, rng: &mut Rng, at: Instant, event: Event) {
        self.events.insert((at, rng.next()), event);
    }

    fn run(mut self, rng: &mut Rng) -> Self {
        while let Some(((now, _), event)) = self.events.pop_first() {
            match event {
                Event::Learn {
                    balancer,
                    generation,
                } => self.learn(now, balancer, generation),
                Event::Restart { balancer } => {
                    // A new process learns the newest state from its neighbours.
                    self.balancers[balancer] = (Router::new(), None);
                    self.ready[balancer] = now + self.warm_up;
                    let newest = self.generations.iter().rposition(|(at, _)| *at <= now);
                    self.learn(now, balancer, newest.expect("generation 0 starts at zero"));
                }
                Event::Send { key } => {
                    let ready = |id: &usize| self.ready[*id] <= now;
                    let ready: Vec<_> = (0..BALANCERS as usize).filter(ready).collect();
                    if ready.is_empty() {
                        self.undelivered += 1;
                        continue;
                    }
                    let balancer = ready[rng.below(ready.len() as u64) as usize];
                    match self.balancers[balancer]
                        .0
                        .route(now, SERVICE, FirstLook::New { key })
                    {
                        Route::New(chain) => self.forward(rng, now, key, chain, 0),
                        _ => self.undelivered += 1,
                    }
                }
                Event::Arrive { key, chain, hop } => self.arrive(rng, now, key, chain, hop),
            }
        }
        self
    }

    fn learn(&mut self, now: Instant, balancer: usize, generation: usize) {
        let (router, known) = &mut self.balancers[balancer];
        if known.is_none_or(|known| known < generation) {
            *known = Some(generation);
            let weights = &self.generations[generation].1;
            router.update(
                now,
                SERVICE,
                weights.iter().map(|(id, weight)| candidate(*id, *weight)),
            );
        }
    }

    fn forward(&mut self, rng: &mut Rng, now: Instant, key: u64, chain: Chain, hop: usize) {
        let at = now + Duration::from_micros(500 + rng.below(2_000));
        self.push(rng, at, Event::Arrive { key, chain, hop });
    }

    fn arrive(&mut self, rng: &mut Rng, now: Instant, key: u64, chain: Chain, hop: usize) {
        let own = chain.hops()[hop.min(chain.len() - 1)].agent;
        let id = (1..=AGENTS)
            .find(|id| address(*id) == own)
            .expect("known agent");
        let present = self.generations.iter().rfind(|(at, _)| *at <= now);
        let leaving = present.is_some_and(|(_, weights)| weights[&id] == 0);
        let load = Load {
            used: rng.below(3) as u32,
            limit: 2,
            leaving,
        };
        match self
            .agents
            .entry(id)
            .or_default()
            .decide(now, key, &chain, hop, load)
        {
            Decision::Accept => {
                self.accepted.entry(key).or_default().insert(id);
            }
            Decision::Pass(next) => self.forward(rng, now, key, chain, next),
            Decision::Redirect(next) => {
                let (chain, hop) = redirect(&chain, hop, next);
                self.forward(rng, now, key, chain, hop);
            }
            Decision::Refuse => self.undelivered += 1,
        }
    }
}

/// Result of four seeds with the given mean time between changes and number of balancer restarts.
fn measure(mean_gap: u64, restarts: u64, warm_up: Duration) -> (u64, String) {
    let mut sum = [0; 4];
    for seed in 0..4 {
        let mut rng = Rng(1_000 * seed);
        let world = World::plan(&mut rng, mean_gap, restarts, warm_up).run(&mut rng);
        let is_split = |agents: &&BTreeSet<u64>| agents.len() > 1;
        let split = world.accepted.values().filter(is_split).count() as u64;
        let redirects = world
            .agents
            .values()
            .map(|agent| agent.counters().redirected)
            .sum();
        let row = [
            world.accepted.len() as u64,
            split,
            redirects,
            world.undelivered,
        ];
        sum.iter_mut().zip(row).for_each(|(sum, part)| *sum += part);
    }
    let [flows, split, redirects, undelivered] = sum;
    let text = format!(
        "a change every {mean_gap} ms, {restarts} restarts, {} ms warm-up: {flows} flows, \
         {split} split, {redirects} redirects, {undelivered} packets undelivered\n",
        warm_up.as_millis()
    );
    (split, text)
}

/// Guards against a handshake that breaks because its packets reach two agents.
#[test]
fn no_handshake_is_taken_by_two_agents() {
    for mean_gap in [1_500, 6_000] {
        let (split, text) = measure(mean_gap, 0, Duration::ZERO);
        assert_eq!(split, 0, "{text}");
    }
}

/// Guards against an unnoticed change of the remaining cases: more changes of a bucket within
/// `PREVIOUS_TTL` than a chain has hops for, and balancers that start without history.
#[test]
fn remaining_splits_are_as_measured() {
    let text = measure(300, 0, Duration::ZERO).1
        + &measure(1_500, 4, Duration::ZERO).1
        + &measure(1_500, 4, PREVIOUS_TTL).1;
    insta::assert_snapshot!(text);
}
