//! Small deployment under overload in virtual time.

use std::net::{Ipv4Addr, SocketAddrV4};

use monsoon_admission::SHEDDING_PERIOD;
use monsoon_flow::FlowKey;
use monsoon_model::{Duration, Instant};

use super::{GOAL, demanding, urgent_route};
use crate::world::{Seen, Work, World, data, opening, route};

const AGENTS: u8 = 12;
const MEAN_MS: u64 = 15;
const ACCOUNTS: u64 = 400;
/// Times after which a caller repeats its opening packet, and after which it gives up.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const GIVE_UP: Duration = Duration::from_millis(1_400);
const ATTEMPTS: u32 = 3;

/// Request of a caller.
struct Request {
    key: FlowKey,
    first_at: Instant,
    opened_at: Instant,
    copies: usize,
    attempts: u32,
    is_sent: bool,
}

/// How requests of one priority ended.
#[derive(Debug, Default)]
struct Figures {
    offered: u32,
    answered: u32,
    in_goal: u32,
    resets: u32,
    failed: u32,
}

struct Crowd {
    world: World,
    requests: Vec<Request>,
    port: u16,
    urgent: Figures,
    others: Figures,
}

impl Crowd {
    fn new(seed: u64) -> Self {
        let mut world = World::with_catalogue(seed, 3, AGENTS, demanding(1));
        for target in world.targets.values_mut() {
            target.work = Some(Work::new(2, MEAN_MS));
        }
        // The next heartbeats state the slots.
        world.run(Duration::from_millis(1_100));
        Self {
            world,
            requests: Vec::new(),
            port: 1_024,
            urgent: Figures::default(),
            others: Figures::default(),
        }
    }

    fn figures(&mut self, address: SocketAddrV4) -> &mut Figures {
        if address == urgent_route() {
            &mut self.urgent
        } else {
            &mut self.others
        }
    }

    /// Opens a flow from a new port.
    fn open(&mut self, mut key: FlowKey, first_at: Instant, attempts: u32) {
        self.port = self.port.checked_add(1).unwrap_or(1_024);
        key.caller.set_port(self.port);
        self.world.send(opening(key, 0));
        self.requests.push(Request {
            key,
            first_at,
            opened_at: self.world.now,
            copies: 0,
            attempts,
            is_sent: false,
        });
    }

    fn arrive(&mut self, address: SocketAddrV4) {
        let account = self.world.random(ACCOUNTS) as u16;
        let [high, low] = account.to_be_bytes();
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, high, low), 0);
        self.figures(address).offered += 1;
        self.open(FlowKey { caller, address }, self.world.now, 1);
    }

    /// Runs for some time at loads in shares of the capacity, of priority 2 and of priority 1.
    fn run(&mut self, span: Duration, others: f64, urgent: f64) {
        let capacity = f64::from(AGENTS) * 2.0 / MEAN_MS as f64;
        let mut due = [0.0, 0.0];
        let end = self.world.now + span;
        while self.world.now < end {
            let loads = [(route(), others), (urgent_route(), urgent)];
            for (due, (address, load)) in due.iter_mut().zip(loads) {
                *due += load * capacity;
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.arrive(address);
                }
            }
            self.step();
        }
    }

    /// Runs for a millisecond, with the callers' reactions.
    fn step(&mut self) {
        self.world.run(Duration::from_millis(1));
        let now = self.world.now;
        for agent in self.world.agents.values_mut() {
            agent.set_shedding_period(now.as_micros() / SHEDDING_PERIOD.as_micros());
        }
        for mut request in std::mem::take(&mut self.requests) {
            let (key, age) = (request.key, now - request.opened_at);
            let seen = self.world.seen.get(&key).map_or(&[][..], Vec::as_slice);
            if seen.contains(&Seen::Answer) {
                let figures = self.figures(key.address);
                figures.answered += 1;
                figures.in_goal += u32::from(now - request.first_at <= GOAL);
                continue;
            }
            let is_reset = seen.contains(&Seen::Reset);
            let offer = self.world.open.get(&key).map(|&(_, offer, _)| offer);
            if is_reset || (offer.is_none() && age >= GIVE_UP) {
                self.figures(key.address).resets += 1;
                if request.attempts < ATTEMPTS && offer.is_none() {
                    self.open(key, request.first_at, request.attempts + 1);
                } else {
                    self.figures(key.address).failed += 1;
                }
                continue;
            }
            if let Some(offer) = offer {
                if !std::mem::replace(&mut request.is_sent, true) {
                    self.world.send(data(key, offer + 1));
                }
            } else if COPIES.get(request.copies).is_some_and(|&at| age >= at) {
                request.copies += 1;
                self.world.send(opening(key, request.copies as u32));
            }
            self.requests.push(request);
        }
    }
}

/// Load pattern: 12 targets of 2 slots and 15 ms, after a second at half of their capacity: for
/// three seconds, priority 2 at 1.35 times and priority 1 at 0.1 times the capacity. Guards against
/// answers that are late because too much was accepted, against urgent requests that are rejected,
/// and against requests that targets turn away.
#[test]
fn a_crowd_is_answered_within_the_goal() {
    for seed in [1, 2] {
        let mut crowd = Crowd::new(seed);
        crowd.run(Duration::from_secs(1), 0.5, 0.05);
        crowd.run(Duration::from_millis(500), 0.0, 0.0);
        let before = std::mem::take(&mut crowd.others);
        assert_eq!(before.in_goal, before.offered, "{before:?}");
        crowd.urgent = Figures::default();
        let works = |crowd: &Crowd| -> Vec<Work> {
            let targets = crowd.world.targets.values();
            targets.filter_map(|target| target.work.clone()).collect()
        };
        let answered = |crowd: &Crowd| works(crowd).iter().map(|w| w.answered).sum::<u32>();
        let earlier = answered(&crowd);
        crowd.run(Duration::from_secs(3), 1.35, 0.1);
        let used = f64::from(answered(&crowd) - earlier) / (3.0 * 1_600.0);
        crowd.run(Duration::from_millis(2_500), 0.0, 0.0);
        let (urgent, others) = (&crowd.urgent, &crowd.others);
        let all = urgent.answered + others.answered;
        let share = f64::from(urgent.in_goal + others.in_goal) / f64::from(all);
        assert!(share >= 0.9, "seed {seed}: {share} {urgent:?} {others:?}");
        assert_eq!((urgent.resets, urgent.failed), (0, 0), "seed {seed}");
        assert_eq!(urgent.answered, urgent.offered, "seed {seed}");
        assert_eq!(others.answered + others.failed, others.offered);
        // The targets are busy all the same.
        assert!(used > 0.85, "seed {seed}: {used}");
        let turned_away: u32 = works(&crowd).iter().map(|w| w.turned_away).sum();
        assert_eq!(turned_away, 0, "seed {seed}");
    }
}
