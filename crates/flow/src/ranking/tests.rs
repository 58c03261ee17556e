//! Tests of the ranking by weight.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use monsoon_model::hash::mix;
use monsoon_model::{DataCentreId, Instant, ServiceId};

use super::{WEIGHT_PER_SLOT, rank_candidates, rank_owners, score};
use crate::Presence;
use crate::balancer::TargetView;

const NOW: Instant = Instant::from_secs(1);
const HOME: DataCentreId = DataCentreId(1);

/// Target of up to seven slots, drawn from the seed. The weight is that of its agent, which announces
/// none without a heartbeat.
fn drawn(seed: u64) -> (u32, TargetView) {
    let slots = (mix(seed, 1) % 8) as u32;
    let view = TargetView {
        service: ServiceId(1),
        data_centre: DataCentreId((mix(seed, 2) % 2) as u8 + 1),
        presence: Presence::Present,
        accepts_flows: true,
        is_cold: mix(seed, 3).is_multiple_of(3),
        weight: slots * u32::from(WEIGHT_PER_SLOT),
        load: (mix(seed, 4) % 300) as u16,
        reads_exact: true,
        suspected_until: None,
    };
    (slots, view)
}

/// Guards against a deployment without demands that places or looks up flows in another order than
/// by the slots, for example because targets of unknown weight count differently.
#[test]
fn without_learned_speeds_the_order_is_that_of_the_slots() {
    for seed in 0..2_000 {
        let at = |n| SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, n), 7_000);
        let draw = |n: u8| (at(n), drawn(mix(seed, n.into())));
        let targets: BTreeMap<_, _> = (1..=12).map(draw).collect();
        let by_slots = |at, slots: u32| score(seed, at, slots.max(1));
        let mut expected: Vec<_> = targets
            .iter()
            .map(|(&at, (slots, view))| {
                let is_far = view.data_centre != HOME || view.load >= super::LOCAL_LOAD_LIMIT;
                ((view.is_cold, is_far), by_slots(at, *slots), at)
            })
            .collect();
        expected.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let expected: Vec<_> = expected.into_iter().map(|(_, _, at)| at).collect();
        let views = targets.iter().map(|(at, (_, view))| (at, view));
        assert_eq!(rank_candidates(NOW, seed, HOME, views), expected);
        // Some owners are not listed.
        let is_listed = |at: SocketAddrV4| !at.ip().octets()[3].is_multiple_of(4);
        let mut expected: Vec<_> = targets
            .iter()
            .map(|(&at, (slots, view))| {
                let slots = if is_listed(at) { *slots } else { 1 };
                let is_remote = !is_listed(at) || view.data_centre != HOME;
                (is_remote, by_slots(at, slots), at)
            })
            .collect();
        expected.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let expected: Vec<_> = expected.into_iter().map(|(_, _, at)| at).collect();
        let agents = targets
            .iter()
            .map(|(&at, (_, view))| (at, is_listed(at).then_some(view)));
        assert_eq!(rank_owners(seed, HOME, agents), expected);
    }
}
