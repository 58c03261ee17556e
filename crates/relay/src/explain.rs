//! The page `/explain`: where a flow would go now, and why, as JSON.

use std::net::SocketAddrV4;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::StatusCode;
use monsoon_flow::{Balancer, Candidate, Decision, Explanation, FlowKey, Presence};
use monsoon_model::{DataCentreId, Instant};
use serde_json::{Value, json};

use crate::DataCentre;
use crate::http::Reply;

/// HTTP path of the page.
pub(crate) const EXPLAIN_PATH: &str = "/explain";
/// Most agents that are listed. Keeps the response small for services with thousands of targets.
const MAX_LISTED: usize = 256;
/// Most characters of a rejected value that an error repeats.
const MAX_QUOTED: usize = 64;

/// The query does not name a flow.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum QueryError {
    /// A parameter is missing.
    #[display("the parameter {name} is missing; ask {EXPLAIN_PATH}?caller=IP:PORT&address=IP:PORT")]
    Missing { name: &'static str },
    /// A parameter is present more than once.
    #[display("the parameter {name} is repeated; state it once")]
    Repeated { name: &'static str },
    /// A parameter is not an address.
    #[display("{name}={value:?} is not an IPv4 address with a port; write it like 192.0.2.7:20010")]
    Malformed { name: &'static str, value: String },
}

/// Answers a query with the explanation of a balancer.
pub(crate) fn answer(
    balancer: &Balancer,
    now: Instant,
    data_centres: &[DataCentre],
    query: &str,
) -> Reply {
    match parse(query) {
        Ok(key) => {
            let explanation = balancer.explain(now, key);
            reply(StatusCode::OK, &to_json(&explanation, now, data_centres))
        }
        Err(error) => reply(
            StatusCode::BAD_REQUEST,
            &json!({"error": error.to_string()}),
        ),
    }
}

/// Answer of an agent, which places no flows.
pub(crate) fn no_balancer() -> Reply {
    let error = "this process is an agent, which places no flows";
    reply(StatusCode::NOT_FOUND, &json!({"error": error}))
}

fn reply(status: StatusCode, body: &Value) -> Reply {
    Reply {
        body: Bytes::from(body.to_string()),
        ..Reply::status(status)
    }
}

fn parse(query: &str) -> Result<FlowKey, QueryError> {
    Ok(FlowKey {
        caller: parameter(query, "caller")?,
        address: parameter(query, "address")?,
    })
}

fn parameter(query: &str, name: &'static str) -> Result<SocketAddrV4, QueryError> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    let Some((_, value)) = values.next() else {
        return Err(QueryError::Missing { name });
    };
    if values.next().is_some() {
        return Err(QueryError::Repeated { name });
    }
    // The colon is the only character of an address that clients may encode.
    let value = value.replace("%3A", ":").replace("%3a", ":");
    value.parse().map_err(|_ignored| QueryError::Malformed {
        name,
        value: value.chars().take(MAX_QUOTED).collect(),
    })
}

fn to_json(explanation: &Explanation, now: Instant, data_centres: &[DataCentre]) -> Value {
    let place = |id: DataCentreId| place_json(id, data_centres);
    let demand = explanation.demand.map(|demand| {
        json!({
            "goal_ms": demand.goal.as_millis(),
            "limit_ms": demand.limit.as_millis(),
            "priority": demand.priority,
        })
    });
    let service = explanation
        .service
        .map(|tag| json!({"tag": tag.to_string(), "name": explanation.service_name}));
    let candidates: Vec<_> = explanation
        .candidates
        .iter()
        .take(MAX_LISTED)
        .enumerate()
        .map(|(index, candidate)| candidate_json(index, candidate, now, place))
        .collect();
    json!({
        "caller": explanation.key.caller.to_string(),
        "address": explanation.key.address.to_string(),
        "route": explanation.route,
        "service": service,
        "demand": demand,
        "versions": explanation.versions,
        "config_checked": explanation.config_checked,
        "data_centre": place(explanation.data_centre),
        "evacuated": explanation.evacuations.iter().map(|&id| place(id)).collect::<Vec<_>>(),
        "decision": decision_json(&explanation.decision),
        "without_candidates": decision_json(&explanation.without_candidates),
        "unlisted": explanation.candidates.len() - candidates.len(),
        "candidates": candidates,
    })
}

fn place_json(id: DataCentreId, data_centres: &[DataCentre]) -> Value {
    let known = data_centres.iter().find(|known| known.id == id);
    json!({"id": id, "name": known.map(|known| &known.name)})
}

/// Agent in the list. An excluded one has no rank.
fn candidate_json(
    index: usize,
    candidate: &Candidate,
    now: Instant,
    place: impl Fn(DataCentreId) -> Value,
) -> Value {
    let (target, reason) = (&candidate.target, candidate.reason);
    let state = match target.presence {
        Presence::Ended => "ended",
        Presence::Unknown => "unknown",
        Presence::Present if !target.accepts_flows => "not ready",
        Presence::Present => "ready",
    };
    let suspected = target.suspected_until.filter(|&until| now < until);
    json!({
        "rank": (!reason.is_excluded()).then_some(index + 1),
        "agent": candidate.agent.to_string(),
        "data_centre": place(target.data_centre),
        "state": state,
        "load_percent": target.load,
        "weight": target.weight,
        "suspected": candidate.is_suspected,
        "suspected_for_ms": suspected.map(|until| until.since(now).as_millis()),
        "cold": target.is_cold,
        "local": candidate.is_local,
        "reason": reason.name(),
        "text": reason.to_string(),
    })
}

/// Decision with a text for operators. `agents` are the receivers of the opening packet in their
/// order, or the owner of the flow.
fn decision_json(decision: &Decision) -> Value {
    let (kind, agents, text) = match decision {
        Decision::Place(chain) => ("place", chain.as_slice(), "placed".to_owned()),
        Decision::Wait(limit) => (
            "wait",
            &[][..],
            format!(
                "waits at most {} ms for an agent that takes flows, then is reset",
                limit.as_millis()
            ),
        ),
        Decision::Reset(reason) => ("reset", &[][..], format!("reset: {reason}")),
        Decision::Drop(reason) => (
            "drop",
            &[][..],
            format!("dropped without an answer: {reason}"),
        ),
        Decision::Forward(agent) => (
            "forward",
            std::slice::from_ref(agent),
            "the flow is open".to_owned(),
        ),
        Decision::Opening(agents) if agents.is_empty() => (
            "opening",
            &[][..],
            "the flow waits for an agent that takes flows".to_owned(),
        ),
        Decision::Opening(agents) => (
            "opening",
            agents.as_slice(),
            "the flow is being opened".to_owned(),
        ),
        Decision::LookUp => (
            "look_up",
            &[][..],
            "the owner of the flow is being looked up".to_owned(),
        ),
    };
    let agents: Vec<_> = agents.iter().map(ToString::to_string).collect();
    json!({"kind": kind, "text": text, "agents": agents})
}

#[cfg(test)]
mod tests;
