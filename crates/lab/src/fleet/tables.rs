//! Candidates of the routing tables, as the daemon's balancer derives them from the membership.

use std::collections::{BTreeMap, BTreeSet};

use monsoon_config::Document;
use monsoon_membership::{Member, State};
use monsoon_model::{DataCentreId, ServiceId};
use monsoon_routing::Candidate;

/// Weight of one slot.
const SLOT_WEIGHT: f64 = 100.0;

/// Candidates of each service of the document, also of those without any.
pub fn candidates(
    document: &Document,
    home: &str,
    agents: &[Member],
    out: &BTreeSet<DataCentreId>,
) -> BTreeMap<ServiceId, Vec<Candidate>> {
    let region = document
        .data_centre_named(home)
        .map(|place| place.region.as_str());
    let services = document.services.keys();
    let mut tables: BTreeMap<_, Vec<_>> = services.map(|service| (*service, Vec::new())).collect();
    for agent in agents {
        let (Some(service), Some(place)) = (
            document.services.get(&agent.service),
            document.data_centres.get(&agent.place),
        ) else {
            continue;
        };
        let share = match agent.state {
            State::Ready => 1.0,
            State::Cold => service.cold_share,
            State::Leaving => continue,
        };
        if out.contains(&agent.place) {
            continue;
        }
        let weight = f64::from(agent.slots.max(1)) * SLOT_WEIGHT * share;
        tables.entry(agent.service).or_default().push(Candidate {
            id: agent.id,
            agent: agent.data,
            data_centre: agent.place,
            weight: (weight as u32).max(1),
            local: Some(place.region.as_str()) == region,
        });
    }
    tables
}
