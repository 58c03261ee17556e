//! Random sequences of frames, packets of the target, changes and pauses at one agent.

use bytes::Bytes;
use monsoon_flow::{
    Action, Agent, Evacuations, Fallback, FlowKey, Frame, PacketInfo, PacketKind, Readiness,
    ServiceTag,
};
use monsoon_model::hash::mix;
use monsoon_model::{Duration, Instant, Version};
use quickcheck::{Gen, QuickCheck};

use super::world::{
    agent_at, balancer_at, caller, catalogue_to, data, heartbeat_of, offer, opening, other_tag, tag,
};
use super::{START, agent, open, with_demand};

/// Longest time that a waiting packet may stay without a look at it while the target idles.
const MAX_IDLE: Duration = Duration::from_millis(100);

/// State of a random sequence.
struct Sequence {
    agent: Agent,
    now: Instant,
    seed: u64,
    heartbeat: u64,
    lifetime: u64,
    version: u64,
}

impl Sequence {
    fn below(&mut self, bound: u64) -> u64 {
        self.seed = mix(self.seed, 3);
        (self.seed >> 8) % bound
    }

    fn key(&mut self) -> FlowKey {
        caller(self.below(24) as u16)
    }

    fn beat(&mut self, readiness: Readiness) {
        self.heartbeat += 1;
        let mut heartbeat = heartbeat_of(&self.lifetime.to_string(), self.heartbeat);
        heartbeat.started_ms = self.lifetime;
        heartbeat.readiness = readiness;
        heartbeat.cold_left = Duration::from_millis(self.below(2) * 500);
        if self.below(20) == 0 {
            heartbeat.service = other_tag();
        }
        self.agent.receive_heartbeat(self.now, heartbeat);
    }

    fn frame(&mut self, frame: Frame, info: PacketInfo) -> Vec<Action> {
        let packet = Bytes::from_static(b"p");
        let info = Some(info);
        self.agent
            .handle_frame(self.now, balancer_at(1), frame, packet, info)
    }

    fn open(&mut self) {
        let mut info = opening(self.key(), self.below(3) as u32);
        info.sequence = 100 * (1 + self.below(8) / 7) as u32;
        let hops = if self.below(4) == 0 { vec![2] } else { vec![] };
        let fallback = (self.below(4) == 0).then(|| Fallback {
            agent: agent_at(1 + self.below(2) as u8),
            load: [0, 400, u16::MAX][self.below(3) as usize],
        });
        self.frame(open(hops, fallback), info);
    }

    fn receive_from_target(&mut self) {
        let key = self.key();
        let ack = 1_000;
        let mut info = match self.below(6) {
            0..=2 => offer(key, ack),
            3 => PacketInfo {
                sequence: ack + 1,
                bytes: 20,
                ..data(key, 111)
            },
            4 => opening(key, 0),
            _ => data(key, ack + 1),
        };
        info.is_returned = matches!(info.kind, PacketKind::Open { .. }) || self.below(8) == 0;
        info.closes = self.below(8) == 0;
        if self.below(12) == 0 {
            info.kind = PacketKind::Reset;
        }
        let packet = Bytes::from_static(b"t");
        self.agent.handle_target_packet(self.now, packet, &info);
    }

    fn receive_from_caller(&mut self) {
        let mut info = data(self.key(), 1_001);
        info.sequence += 10 * self.below(4) as u32;
        info.closes = self.below(8) == 0;
        if self.below(12) == 0 {
            info.kind = PacketKind::Reset;
        }
        self.frame(Frame::Data, info);
    }

    fn change(&mut self) {
        match self.below(12) {
            0..=4 => self.beat(Readiness::Ready),
            5 => self.beat(Readiness::Draining),
            6 => {
                (self.lifetime, self.heartbeat) = (self.lifetime + 1, 0);
                self.beat(Readiness::Ready);
            }
            7 => self.agent.set_target_absent(),
            8 => {
                self.agent.set_target_ended(&self.lifetime.to_string());
            }
            9 => {
                self.version += 1;
                let mut evacuations = Evacuations {
                    version: Version::of(self.version),
                    ..Evacuations::default()
                };
                if self.below(2) == 0 {
                    evacuations.data_centres.insert("a".to_owned());
                }
                self.agent.set_evacuations(self.now, &evacuations);
            }
            10 => {
                self.version += 1;
                let service: ServiceTag = [tag(), tag(), other_tag()][self.below(3) as usize];
                let catalogue = with_demand(catalogue_to(self.version, service));
                self.agent.set_catalogue(catalogue);
            }
            _ => {
                self.agent.resume();
                if self.below(2) == 0 {
                    self.agent.set_config_checked();
                }
            }
        }
    }

    fn step(&mut self) {
        match self.below(20) {
            0..=7 => self.open(),
            8..=11 => self.receive_from_target(),
            12..=14 => self.receive_from_caller(),
            15 if self.below(3) == 0 => self.change(),
            16 => {
                self.agent.set_config_checked();
                self.beat(Readiness::Ready);
            }
            17 if self.below(10) == 0 => self.pass(Duration::from_secs(3)),
            17..=18 => {
                let span = Duration::from_millis(self.below(120));
                self.pass(span);
            }
            _ => {
                let due = self.agent.next_tick();
                self.pass(due.since(self.now));
            }
        }
    }

    fn pass(&mut self, span: Duration) {
        self.now += span;
        self.agent.tick(self.now);
        let next = self.agent.next_tick();
        assert!(next > self.now, "tick is due again: {next:?}");
    }

    fn check(&self) {
        let counts = self.agent.place_counts();
        assert_eq!(counts.in_flight, counts.counted_in_flight);
        assert_eq!(counts.running, counts.counted_running);
        assert_eq!(counts.waiting, counts.waiting_keys);
        if counts.waiting > 0 && counts.in_flight == 0 {
            let due = self.agent.next_tick().since(self.now);
            assert!(due <= MAX_IDLE, "target idles for {due:?}: {counts:?}");
        }
    }
}

fn stays_consistent(seed: u64) -> bool {
    let mut sequence = Sequence {
        agent: agent(),
        now: START,
        seed,
        heartbeat: 1,
        lifetime: 1,
        version: 1,
    };
    let mut waited = false;
    for _ in 0..400 {
        sequence.step();
        sequence.check();
        waited |= sequence.agent.place_counts().waiting > 0;
    }
    waited
}

/// Guards against places that are counted twice or never released, against a waiting packet that no
/// timer wakes while the target idles, and against a timer that is due forever.
#[test]
fn random_sequences_neither_leak_places_nor_stop_the_queue() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(300)
        .quickcheck(
            (|seed| {
                stays_consistent(seed);
            }) as fn(u64),
        );
    let waited = (0..20).filter(|&seed| stays_consistent(seed)).count();
    assert!(waited > 10, "flows waited in {waited} of 20 sequences");
}
