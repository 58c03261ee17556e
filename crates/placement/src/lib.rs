//! Candidates of the routing tables, derived from the running agents and the document.

use std::collections::{BTreeMap, BTreeSet};

use monsoon_config::Document;
use monsoon_membership::{Member, State};
use monsoon_model::{DataCentreId, ServiceId};
use monsoon_routing::Candidate;

/// Weight of one slot in the tables. A cold target has a share of it, and a weight of at least 1.
const SLOT_WEIGHT: f64 = 100.0;

/// Candidates of each service of the document; services without candidates have an empty list.
///
/// An agent is no candidate while its target is leaving or its data centre is evacuated. `home` is
/// the name of the own data centre: candidates in its region are local.
pub fn candidates(
    document: &Document,
    home: &str,
    agents: &[Member],
    evacuations: &BTreeSet<DataCentreId>,
) -> BTreeMap<ServiceId, Vec<Candidate>> {
    let region = document
        .data_centre_named(home)
        .map(|data_centre| data_centre.region.as_str());
    let mut tables: BTreeMap<_, Vec<_>> = document
        .services
        .keys()
        .map(|service| (*service, Vec::new()))
        .collect();
    for agent in agents {
        let (Some(service), Some(data_centre)) = (
            document.services.get(&agent.service),
            document.data_centres.get(&agent.data_centre),
        ) else {
            continue;
        };
        let Some(share) = share(agent.state, service.cold_share) else {
            continue;
        };
        if evacuations.contains(&agent.data_centre) {
            continue;
        }
        let weight = f64::from(agent.slots.max(1)) * SLOT_WEIGHT * share;
        let candidate = Candidate {
            id: agent.id,
            agent: agent.data,
            data_centre: agent.data_centre,
            weight: (weight as u32).max(1),
            local: Some(data_centre.region.as_str()) == region,
        };
        tables.entry(agent.service).or_default().push(candidate);
    }
    tables
}

/// Share of a target's slots that count for new flows; `None` for a leaving target.
fn share(state: State, cold_share: f64) -> Option<f64> {
    match state {
        State::Ready => Some(1.0),
        State::Cold => Some(cold_share),
        State::Leaving => None,
    }
}
