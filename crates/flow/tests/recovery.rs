//! The load after all processes were lost together: every open flow is unknown to every balancer,
//! and callers open new flows at the same time.

mod world;

use std::collections::BTreeMap;

use bytes::Bytes;
use monsoon_flow::{Action, Balancer, FlowKey, Frame, OwnerReply, Ownership};
use monsoon_model::{Duration, Instant};
use world::{Seen, World, agent_at, caller, data, ready_balancer, strangers, views};

const START: Instant = Instant::from_secs(100);
const AGENTS: u8 = 60;
const FLOWS: u16 = 500;

/// Balancer that has known all agents for long enough.
fn settled_balancer() -> Balancer {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views(1..=AGENTS));
    balancer
}

/// Flows that each agent is asked about, and datagrams that this takes.
#[derive(Debug, Default)]
struct Asked {
    flows: BTreeMap<u8, Vec<FlowKey>>,
    datagrams: usize,
}

impl Asked {
    fn take(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Send {
                to,
                frame: Frame::OwnerQueries(questions),
                ..
            } = action
            {
                self.datagrams += 1;
                let flows = self.flows.entry(to.ip().octets()[3]).or_default();
                flows.extend(questions.iter().map(|question| question.key));
            }
        }
    }
}

/// Guards against a datagram for each unknown flow and agent, which filled the links of small
/// instances for a second after a loss of power.
#[test]
fn questions_about_many_flows_share_datagrams() {
    let mut balancer = settled_balancer();
    let start = START + Duration::from_secs(5);
    let mut asked = Asked::default();
    for number in 0..FLOWS {
        let now = start + Duration::from_micros(u64::from(number) * 400);
        if now >= balancer.next_tick() {
            asked.take(&balancer.tick(now));
        }
        asked.take(&balancer.handle_caller_packet(now, Bytes::new(), &data(caller(number), 6)));
    }
    asked.take(&balancer.tick(start + Duration::from_millis(220)));
    assert_eq!(asked.flows.len(), usize::from(AGENTS));
    for flows in asked.flows.values() {
        assert!(flows.len() >= usize::from(FLOWS), "{}", flows.len());
    }
    // 500 flows came within 200 ms, 50 within the 20 ms for which questions are gathered.
    let most = usize::from(AGENTS) * 2 * usize::from(FLOWS) / 50;
    assert!(asked.datagrams <= most, "{} of {most}", asked.datagrams);
}

/// Guards against a question of which one datagram was lost, so that the caller's flow is reset
/// only after its next packet, up to 1.6 s later.
#[test]
fn agents_that_did_not_answer_are_asked_again() {
    let mut balancer = settled_balancer();
    let now = START + Duration::from_secs(5);
    let key = caller(1);
    balancer.handle_caller_packet(now, Bytes::new(), &data(key, 6));
    let denial = || {
        Frame::OwnerReplies(vec![OwnerReply {
            key,
            ownership: Ownership::NotOwned,
        }])
    };
    for number in 2..=AGENTS {
        balancer.handle_frame(now, agent_at(number), denial(), Bytes::new(), None);
    }
    let later = now + Duration::from_millis(120);
    let mut asked = Asked::default();
    asked.take(&balancer.tick(later));
    assert_eq!(asked.flows, BTreeMap::from([(1, vec![key])]));
    let actions = balancer.handle_frame(later, agent_at(1), denial(), Bytes::new(), None);
    let refused = |a: &Action| matches!(a, Action::Reset(_));
    assert!(actions.iter().any(refused), "{actions:?}");
}

/// Guards against asking every agent again with each one that is listed during a start, which
/// multiplied the questions of a recovery by the number of changes.
#[test]
fn a_growing_list_asks_the_new_agents_only() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views(1..=30));
    let now = START + Duration::from_millis(100);
    let key = caller(1);
    balancer.handle_caller_packet(now, Bytes::new(), &data(key, 6));
    for number in 1..=30 {
        let denial = Frame::OwnerReplies(vec![OwnerReply {
            key,
            ownership: Ownership::NotOwned,
        }]);
        balancer.handle_frame(now, agent_at(number), denial, Bytes::new(), None);
    }
    let mut asked = Asked::default();
    let now = START + Duration::from_millis(200);
    asked.take(&balancer.set_targets(now, views(1..=31)));
    assert_eq!(asked.flows, BTreeMap::from([(31, vec![key])]));
}

/// Guards against handing every packet to every target when all processes were killed while the
/// targets lived on: no agent can tell then, and uploads filled the links of small instances.
#[test]
fn a_flow_is_tried_at_likely_targets_first() {
    let mut world = World::new(5, 2, 40);
    let keys: Vec<_> = (1..=20).map(caller).collect();
    for &key in &keys {
        assert!(world.open_flow(key));
    }
    for number in 1..=40 {
        world.restart_agent(number);
    }
    for number in 1..=2 {
        world.start_balancer(number);
    }
    world.run(Duration::from_secs(2));
    let mut reached = 0;
    for &key in &keys {
        let (own, ..) = world.open[&key];
        let seen = world.request(key);
        assert!(seen.contains(&Seen::Answer), "{seen:?}");
        assert!(!seen.contains(&Seen::Reset), "{seen:?}");
        reached += strangers(&seen, own).len();
    }
    // The first candidate holds each flow, and three others are tried with it.
    assert!(reached <= 3 * keys.len(), "{reached}");
}
