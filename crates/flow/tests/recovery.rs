//! Load of the recovery after the loss of all processes at once: no balancer knows any open flow,
//! and callers open new flows at the same time.

mod world;

use std::collections::BTreeMap;

use bytes::Bytes;
use monsoon_flow::{Action, Balancer, FlowKey, Frame, OwnerReply, Ownership};
use monsoon_model::{Duration, Instant};
use world::{Seen, World, agent_at, caller, data, other_targets, ready_balancer, views};

const START: Instant = Instant::from_secs(100);
const AGENTS: u8 = 60;
const FLOWS: u16 = 500;

/// Balancer that knows all agents. Its list counts as complete 1.2 s after `START`.
fn balancer_with_agents() -> Balancer {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views(1..=AGENTS));
    balancer
}

/// Flows that each agent was asked about, and the number of datagrams that this took.
#[derive(Debug, Default)]
struct SentQueries {
    flows: BTreeMap<u8, Vec<FlowKey>>,
    datagrams: usize,
}

impl SentQueries {
    fn record(&mut self, actions: &[Action]) {
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

/// Guards against one datagram for each pair of unknown flow and agent, which filled the links of
/// small instances for a second after a power loss.
#[test]
fn queries_about_many_flows_share_datagrams() {
    let mut balancer = balancer_with_agents();
    let start = START + Duration::from_secs(5);
    let mut sent = SentQueries::default();
    for number in 0..FLOWS {
        let now = start + Duration::from_micros(u64::from(number) * 400);
        if now >= balancer.next_tick() {
            sent.record(&balancer.tick(now));
        }
        sent.record(&balancer.handle_caller_packet(now, Bytes::new(), &data(caller(number), 6)));
    }
    sent.record(&balancer.tick(start + Duration::from_millis(220)));
    assert_eq!(sent.flows.len(), usize::from(AGENTS));
    for flows in sent.flows.values() {
        assert!(flows.len() >= usize::from(FLOWS), "{}", flows.len());
    }
    // 500 flows arrive within 200 ms, 50 of them within the 20 ms of one batch.
    let limit = usize::from(AGENTS) * 2 * usize::from(FLOWS) / 50;
    assert!(sent.datagrams <= limit, "{} of {limit}", sent.datagrams);
}

/// Guards against a late reset when the datagram of one query is lost: without a retry, the lookup
/// starts again only with the caller's next packet, up to 1.6 s later.
#[test]
fn agents_that_did_not_reply_are_asked_again() {
    let mut balancer = balancer_with_agents();
    let now = START + Duration::from_secs(5);
    let key = caller(1);
    balancer.handle_caller_packet(now, Bytes::new(), &data(key, 6));
    let reply = || {
        Frame::OwnerReplies(vec![OwnerReply {
            key,
            ownership: Ownership::NotOwned,
        }])
    };
    for number in 2..=AGENTS {
        balancer.handle_frame(now, agent_at(number), reply(), Bytes::new(), None);
    }
    let later = now + Duration::from_millis(120);
    let mut sent = SentQueries::default();
    sent.record(&balancer.tick(later));
    assert_eq!(sent.flows, BTreeMap::from([(1, vec![key])]));
    let actions = balancer.handle_frame(later, agent_at(1), reply(), Bytes::new(), None);
    let is_reset = |a: &Action| matches!(a, Action::Reset(_));
    assert!(actions.iter().any(is_reset), "{actions:?}");
}

/// Guards against asking every agent again whenever another one is listed during a start, which
/// multiplied the queries of a recovery by the number of changes.
#[test]
fn a_growing_list_asks_the_new_agents_only() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(START, views(1..=30));
    let now = START + Duration::from_millis(100);
    let key = caller(1);
    balancer.handle_caller_packet(now, Bytes::new(), &data(key, 6));
    for number in 1..=30 {
        let reply = Frame::OwnerReplies(vec![OwnerReply {
            key,
            ownership: Ownership::NotOwned,
        }]);
        balancer.handle_frame(now, agent_at(number), reply, Bytes::new(), None);
    }
    let mut sent = SentQueries::default();
    let now = START + Duration::from_millis(200);
    sent.record(&balancer.set_targets(now, views(1..=31)));
    assert_eq!(sent.flows, BTreeMap::from([(31, vec![key])]));
}

/// Guards against sending every packet to every target when all processes were killed while the
/// targets kept running: no agent can tell then, and uploads filled the links of small instances.
#[test]
fn likely_owners_are_probed_first() {
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
        let (own_target, ..) = world.open[&key];
        let seen = world.request(key);
        assert!(seen.contains(&Seen::Answer), "{seen:?}");
        assert!(!seen.contains(&Seen::Reset), "{seen:?}");
        reached += other_targets(&seen, own_target).len();
    }
    // The first candidate owns each flow, and three others are probed in the same wave.
    assert!(reached <= 3 * keys.len(), "{reached}");
}
