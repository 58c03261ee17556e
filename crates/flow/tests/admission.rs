//! Metrics of the admission of flows whose routes state a demand.

mod world;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{Action, Demand, FlowKey, Frame, Open, Reason};
use monsoon_model::{Duration, Instant, Version, Versions};
use world::{balancer_at, catalogue, opening, ready_agent, route, tag};

const START: Instant = Instant::from_secs(100);
/// Reasons of the wait queue, and the one of shedding.
const REASONS: [&str; 6] = ["wait", "expired", "full", "displaced", "late", "shed"];

/// Guards against rejected opening packets that are not counted, or counted twice or under an
/// unknown reason, and against metrics that contradict what became of the packets.
#[test]
fn each_rejected_opening_packet_is_counted_by_its_reason() {
    let mut with_demand = catalogue(1);
    for route in with_demand.routes.values_mut() {
        route.demand = Some(Demand {
            goal: Duration::from_millis(200),
            limit: Duration::from_millis(800),
            priority: 1,
        });
    }
    let mut agent = ready_agent(START, 1);
    agent.set_catalogue(Arc::new(with_demand));
    let frame = Frame::Open(Open {
        balancer: balancer_at(1),
        service: tag(),
        versions: Versions {
            document: Version::of(1),
            evacuations: Version::of(0),
        },
        hops: Vec::new(),
        fallback: None,
        reads_exact: true,
    });
    let (mut refused, mut started) = (0, 0);
    let mut rejected = BTreeMap::<_, u64>::new();
    let mut now = START;
    for number in 0..400_u16 {
        now += Duration::from_millis(1);
        let account = Ipv4Addr::new(100, 64, 0, (number % 7) as u8);
        let key = FlowKey {
            caller: SocketAddrV4::new(account, 1_024 + number),
            address: route(),
        };
        let (packet, info) = (Bytes::from_static(b"p"), opening(key, 0));
        for action in agent.handle_frame(now, balancer_at(1), frame.clone(), packet, Some(info)) {
            match action {
                Action::Rejected(reason) => *rejected.entry(reason).or_default() += 1,
                Action::Send {
                    frame: Frame::Refused { reason },
                    ..
                } => {
                    assert!(matches!(reason, Reason::Overloaded | Reason::Shed));
                    refused += 1;
                }
                Action::ToTarget(_) => started += 1,
                _ => {}
            }
        }
    }
    assert_eq!(rejected.values().sum::<u64>(), refused, "{rejected:?}");
    assert!(rejected.keys().all(|r| REASONS.contains(r)), "{rejected:?}");
    assert!(rejected["shed"] > 0, "{rejected:?}");
    assert!(rejected.len() > 1, "{rejected:?}");
    let stats = agent.admission_stats(now);
    assert_eq!(stats.waiting as u64 + refused + started, 400, "{stats:?}");
    assert!(stats.waiting > 0, "{stats:?}");
    assert_eq!(stats.places as u64, started, "{stats:?}");
    assert_eq!(stats.service_time, Duration::from_millis(20));
    let [(1, admitted)] = stats.admitted[..] else {
        panic!("one priority waits: {stats:?}");
    };
    assert!(admitted < 0.9, "{stats:?}");
    assert_eq!(stats.shares.len(), 5, "{stats:?}");
    let sum: f64 = stats.shares.iter().map(|&(_, share)| share).sum();
    assert!(sum > 0.5 && sum < 1.0 + 1e-9, "{stats:?}");
    assert!(
        stats
            .shares
            .iter()
            .all(|(ip, _)| ip.octets()[..3] == [100, 64, 0])
    );
    // Without requests that wait, everybody is admitted again, and past starts do not count.
    let later = agent.admission_stats(now + Duration::from_secs(60));
    assert!(later.admitted[0].1 > 0.999, "{later:?}");
    assert_eq!(later.shares, []);
}
