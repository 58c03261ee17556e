//! Explanations of placements, compared with the decisions on flows that are opened after them.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use monsoon_flow::{
    Action, Balancer, Decision, DropReason, Evacuations, FlowKey, Frame, Presence, RankReason,
    ResetReason, TargetView,
};
use monsoon_model::hash::mix;
use monsoon_model::{DataCentreId, Duration, Instant, Version};
use world::{agent_at, caller, catalogue, opening, ready_balancer, view, views};

const START: Instant = Instant::from_secs(100);
/// Longer than the time for which a balancer that starts waits for agents.
const LISTED: Instant = Instant::from_secs(110);

/// What the balancer does with the first opening packet of a flow.
fn open(balancer: &mut Balancer, now: Instant, key: FlowKey) -> Option<Decision> {
    let actions = balancer.handle_caller_packet(now, Bytes::new(), &opening(key, 0));
    actions.into_iter().find_map(|action| match action {
        Action::Send {
            to,
            frame: Frame::Open(open),
            ..
        } => Some(Decision::Place([vec![to], open.hops].concat())),
        Action::Reset(_) => Some(Decision::Reset(ResetReason::NoTarget)),
        _ => None,
    })
}

/// Target whose state is drawn from the seed.
fn drawn_view(seed: u64) -> TargetView {
    let one_in = |salt, parts| mix(seed, salt).is_multiple_of(parts);
    let presence = match mix(seed, 1) % 8 {
        0 => Presence::Unknown,
        1 => Presence::Ended,
        _ => Presence::Present,
    };
    TargetView {
        data_centre: DataCentreId((mix(seed, 2) % 3) as u8 + 1),
        presence,
        accepts_flows: presence == Presence::Present && !one_in(3, 6),
        is_cold: one_in(4, 4),
        weight: (mix(seed, 5) % 5) as u32,
        load: (mix(seed, 6) % 300) as u16,
        ..view()
    }
}

fn evacuate(balancer: &mut Balancer, version: u64, data_centre: u8) {
    let evacuations = Evacuations {
        version: Version::of(version),
        data_centres: BTreeSet::from(["c".to_owned()]),
    };
    balancer.set_evacuations(&evacuations, |_| Some(DataCentreId(data_centre)));
}

/// Guards against an explanation that differs from the decision, a reason that contradicts the
/// ranking, and a query that changes the decision. Flows without an answer make agents suspected.
#[test]
fn the_next_flow_goes_where_the_explanation_says() {
    let mut reasons = BTreeSet::new();
    for seed in 0..40 {
        let mut balancer = ready_balancer(START, 1);
        let mut now = LISTED;
        for round in 0..20_u16 {
            let draw = |agent: u8| (agent_at(agent), drawn_view(mix(seed, u64::from(agent))));
            balancer.set_targets(now, (1..=12).map(draw).collect());
            if seed % 2 == 0 {
                evacuate(&mut balancer, 2 + u64::from(round), 3);
            }
            let key = caller(round);
            let explained = balancer.explain(now, key);
            assert_eq!(explained, balancer.explain(now, key));
            assert_eq!(
                Some(&explained.decision),
                open(&mut balancer, now, key).as_ref(),
                "seed {seed} round {round}"
            );
            let group = |reason: &RankReason| match reason {
                RankReason::LocalLoaded => RankReason::Remote,
                reason if reason.is_excluded() => RankReason::Evacuated,
                &reason => reason,
            };
            let ranks: Vec<_> = explained.candidates.iter().map(|c| c.reason).collect();
            assert!(
                ranks.iter().map(group).is_sorted(),
                "seed {seed}: {ranks:?}"
            );
            reasons.extend(ranks);
            now += Duration::from_millis(100);
            balancer.tick(now);
        }
    }
    assert_eq!(reasons.len(), 9, "every reason occurs: {reasons:?}");
}

/// Guards against agents that are not listed with the reason for which they get no flow.
#[test]
fn excluded_agents_are_named_with_their_reasons() {
    let mut balancer = ready_balancer(START, 1);
    let mut targets = views(1..=5);
    let mut set = |agent, presence| {
        let target = targets.get_mut(&agent_at(agent)).expect("agent is listed");
        (target.presence, target.accepts_flows) = (presence, false);
    };
    set(3, Presence::Present);
    set(4, Presence::Ended);
    set(5, Presence::Unknown);
    let evacuated = targets.get_mut(&agent_at(2)).expect("agent is listed");
    evacuated.data_centre = DataCentreId(2);
    balancer.set_targets(LISTED, targets);
    evacuate(&mut balancer, 2, 2);
    let explained = balancer.explain(LISTED, caller(1));
    let reasons: Vec<_> = explained.candidates.iter().map(|c| c.reason).collect();
    assert_eq!(
        reasons,
        [
            RankReason::Local,
            RankReason::Evacuated,
            RankReason::NotReady,
            RankReason::Ended,
            RankReason::NoHeartbeat,
        ]
    );
    assert_eq!(explained.decision, Decision::Place(vec![agent_at(1)]));
    assert_eq!(explained.evacuations, BTreeSet::from([DataCentreId(2)]));
}

/// Guards against a wrong answer to what is done without candidates: wait, reset or drop.
#[test]
fn the_decision_without_candidates_is_explained() {
    let mut balancer = ready_balancer(START, 1);
    let key = caller(1);
    let without = |balancer: &Balancer, now, key| balancer.explain(now, key).without_candidates;
    let wait = |millis| Decision::Wait(Duration::from_millis(millis));
    assert_eq!(without(&balancer, START, key), wait(1_200));
    let no_target = Decision::Reset(ResetReason::NoTarget);
    assert_eq!(balancer.explain(LISTED, key).decision, no_target);
    assert_eq!(open(&mut balancer, LISTED, key), Some(no_target));
    balancer.set_targets(LISTED, views([1]));
    assert_eq!(without(&balancer, LISTED, key), wait(400));
    let other = FlowKey {
        address: agent_at(9),
        ..key
    };
    let no_route = Decision::Reset(ResetReason::NoRoute);
    assert_eq!(balancer.explain(LISTED, other).decision, no_route);
    let mut unused = catalogue(2);
    for route in unused.routes.values_mut() {
        route.shares[0].weight = 0;
    }
    balancer.set_catalogue(Arc::new(unused));
    let no_share = Decision::Reset(ResetReason::NoShare);
    assert_eq!(balancer.explain(LISTED, key).decision, no_share);
    balancer.resume(LISTED);
    let unchecked = Decision::Drop(DropReason::ConfigUnchecked);
    assert_eq!(balancer.explain(LISTED, key).decision, unchecked);
    assert_eq!(open(&mut balancer, LISTED, key), None);
}

/// Guards against the explanation of a new flow for one that is already open or being placed.
#[test]
fn known_flows_stay_where_they_are() {
    let mut balancer = ready_balancer(START, 1);
    balancer.set_targets(LISTED, views(1..=3));
    let key = caller(1);
    let Some(Decision::Place(chain)) = open(&mut balancer, LISTED, key) else {
        panic!("the flow is not placed");
    };
    let decision = |balancer: &Balancer| balancer.explain(LISTED, key).decision;
    assert_eq!(decision(&balancer), Decision::Opening(chain));
    let offer = Frame::Offer { key, offer: 500 };
    balancer.handle_frame(LISTED, agent_at(2), offer, Bytes::new(), None);
    assert_eq!(decision(&balancer), Decision::Forward(agent_at(2)));
    balancer.handle_caller_packet(LISTED, Bytes::new(), &world::data(key, 501));
    assert_eq!(decision(&balancer), Decision::Forward(agent_at(2)));
    let unknown = caller(2);
    balancer.handle_caller_packet(LISTED, Bytes::new(), &world::data(unknown, 501));
    assert_eq!(balancer.explain(LISTED, unknown).decision, Decision::LookUp);
    let ended = TargetView {
        presence: Presence::Ended,
        accepts_flows: false,
        ..view()
    };
    balancer.set_targets(LISTED, BTreeMap::from([(agent_at(2), ended)]));
    let target_ended = Decision::Reset(ResetReason::TargetEnded);
    assert_eq!(decision(&balancer), target_ended);
}
