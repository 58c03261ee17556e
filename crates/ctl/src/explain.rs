//! The command `explain`: where a balancer would send a request now, and why.

use std::net::{SocketAddr, SocketAddrV4};

use monsoon_model::Versions;
use monsoon_store::fetch_response;
use serde::Deserialize;
use serde_json::Value;

use crate::arguments::ExplainArguments;
use crate::failure::{Failure, FailureKind};
use crate::report::{Report, strip_control};
use crate::table::table;

/// Columns of the table of agents.
const HEADER: [&str; 10] = [
    "rank",
    "agent",
    "data centre",
    "state",
    "load %",
    "weight",
    "suspected",
    "cold",
    "local",
    "reason",
];

/// Answer of a balancer.
#[derive(Debug, Deserialize)]
struct Explanation {
    caller: String,
    address: String,
    route: Option<String>,
    service: Option<Service>,
    demand: Option<Demand>,
    versions: Versions,
    config_checked: bool,
    data_centre: Place,
    evacuated: Vec<Place>,
    decision: Decision,
    without_candidates: Decision,
    /// Number of further agents that are not listed.
    unlisted: u64,
    candidates: Vec<Candidate>,
}

#[derive(Debug, Deserialize)]
struct Service {
    tag: String,
    name: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Demand {
    goal_ms: u64,
    limit_ms: u64,
    priority: u8,
}

/// Data centre; the name is missing when the balancer's settings do not list it.
#[derive(Debug, Deserialize)]
struct Place {
    id: u8,
    name: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Decision {
    text: String,
    /// Receivers of the packet, in order.
    agents: Vec<String>,
}

/// Agent of the service. An excluded one has no rank.
#[derive(Debug, Deserialize)]
struct Candidate {
    rank: Option<u32>,
    agent: String,
    data_centre: Place,
    state: String,
    load_percent: u32,
    weight: u32,
    suspected: bool,
    cold: bool,
    local: bool,
    text: String,
}

/// Asks the balancer and shows its answer.
pub async fn show(arguments: &ExplainArguments) -> Result<Report, Failure> {
    let caller = flow_address("--caller", &arguments.caller)?;
    let address = flow_address("--address", &arguments.address)?;
    let balancer = resolve(&arguments.balancer).await?;
    let path = format!("/explain?caller={caller}&address={address}");
    let response = fetch_response(balancer, &path).await.map_err(|error| {
        let message = format!("the balancer {balancer} cannot be asked: {error}");
        Failure::new(FailureKind::Unreachable, message)
    })?;
    let status = response.status.as_u16();
    if status != 200 {
        return Err(rejected(balancer, status, &response.body));
    }
    let malformed = |error: serde_json::Error| {
        let message = format!(
            "{balancer} sent no explanation ({error}); check that it is the peer or metrics address \
             of a balancer of this release"
        );
        Failure::new(FailureKind::Unreachable, message)
    };
    let json: Value = serde_json::from_slice(&response.body).map_err(malformed)?;
    let explanation = Explanation::deserialize(&json).map_err(malformed)?;
    Ok(Report::new(text(&explanation), json))
}

fn flow_address(option: &str, value: &str) -> Result<SocketAddrV4, Failure> {
    value.parse().map_err(|_ignored| {
        let message = format!(
            "{option} {value:?} is not an IPv4 address with a port; write it like 192.0.2.7:20010"
        );
        Failure::new(FailureKind::Usage, message)
    })
}

/// Address of the balancer, which may be named by its host.
async fn resolve(balancer: &str) -> Result<SocketAddr, Failure> {
    let port = balancer.rsplit_once(':').map(|(_, port)| port);
    if port.is_none_or(|port| port.parse::<u16>().is_err()) {
        let message = format!(
            "--balancer {balancer:?} has no port; write HOST:PORT with the peer or metrics port"
        );
        return Err(Failure::new(FailureKind::Usage, message));
    }
    let unresolved = |reason: String| {
        let message = format!(
            "--balancer {balancer:?} cannot be resolved ({reason}); check the name or give its IP \
             address"
        );
        Failure::new(FailureKind::Unreachable, message)
    };
    let mut found = tokio::net::lookup_host(balancer)
        .await
        .map_err(|error| unresolved(error.to_string()))?;
    found
        .next()
        .ok_or_else(|| unresolved("it has no address".to_owned()))
}

/// Failure for a status other than 200, with the reason that the process gave.
fn rejected(balancer: SocketAddr, status: u16, body: &[u8]) -> Failure {
    let body: Option<Value> = serde_json::from_slice(body).ok();
    let reason = body
        .as_ref()
        .and_then(|body| body["error"].as_str())
        .map_or("it gave no reason".to_owned(), strip_control);
    let (kind, remedy) = match status {
        400 => (
            FailureKind::Refused,
            "correct the addresses or use the monsoonctl of the balancer's release",
        ),
        404 => (
            FailureKind::Refused,
            "name the peer or metrics address of a balancer that has /explain",
        ),
        _ => (
            FailureKind::Unreachable,
            "read the log of the process and retry later",
        ),
    };
    let message = format!("{balancer} answered with status {status}: {reason}; {remedy}");
    Failure::new(kind, message)
}

fn text(explanation: &Explanation) -> String {
    let none = || "none".to_owned();
    let service = explanation.service.as_ref().map_or_else(none, |service| {
        let name = service.name.as_deref().unwrap_or("not configured");
        format!("{} ({})", strip_control(name), strip_control(&service.tag))
    });
    let demand = explanation.demand.as_ref().map_or_else(none, |demand| {
        format!(
            "goal {} ms, limit {} ms, priority {}",
            demand.goal_ms, demand.limit_ms, demand.priority
        )
    });
    let route = explanation.route.as_deref();
    let evacuated: Vec<_> = explanation.evacuated.iter().map(place).collect();
    let checked = if explanation.config_checked {
        "checked"
    } else {
        "not checked"
    };
    let mut lines = vec![
        format!(
            "flow: {}>{}",
            strip_control(&explanation.caller),
            strip_control(&explanation.address)
        ),
        format!("route: {}", route.map_or_else(none, strip_control)),
        format!("service: {service}"),
        format!("demand: {demand}"),
        format!(
            "configuration: version {}, evacuations {}, {checked}",
            explanation.versions.document, explanation.versions.evacuations
        ),
        format!(
            "data centre of the balancer: {}",
            place(&explanation.data_centre)
        ),
        format!(
            "evacuated: {}",
            if evacuated.is_empty() {
                none()
            } else {
                evacuated.join(", ")
            }
        ),
        format!("decision: {}", decision(&explanation.decision)),
        format!(
            "without candidates: {}",
            decision(&explanation.without_candidates)
        ),
        String::new(),
    ];
    if explanation.candidates.is_empty() {
        lines.push(match explanation.service {
            Some(_) => "no agent of the service is known".to_owned(),
            None => "without a service, there are no agents to list".to_owned(),
        });
    } else {
        let rows: Vec<_> = explanation.candidates.iter().map(row).collect();
        lines.push(table(&HEADER, &rows));
    }
    if explanation.unlisted > 0 {
        lines.push(format!("and {} more agents", explanation.unlisted));
    }
    lines.join("\n")
}

fn decision(decision: &Decision) -> String {
    let text = strip_control(&decision.text);
    let agents: Vec<_> = decision.agents.iter().map(|at| strip_control(at)).collect();
    match agents.split_first() {
        None => text,
        Some((first, [])) => format!("{text}: {first}"),
        Some((first, rest)) => format!("{text}: {first}, then {}", rest.join(", ")),
    }
}

fn place(place: &Place) -> String {
    let name = place.name.as_deref().map(strip_control);
    name.map_or_else(
        || format!("number {}", place.id),
        |name| format!("{name} ({})", place.id),
    )
}

fn row(candidate: &Candidate) -> Vec<String> {
    let yes = |is_true| if is_true { "yes" } else { "" }.to_owned();
    let rank = candidate.rank.map(|rank| rank.to_string());
    vec![
        rank.unwrap_or_else(|| "-".to_owned()),
        strip_control(&candidate.agent),
        place(&candidate.data_centre),
        strip_control(&candidate.state),
        candidate.load_percent.to_string(),
        candidate.weight.to_string(),
        yes(candidate.suspected),
        yes(candidate.cold),
        yes(candidate.local),
        strip_control(&candidate.text),
    ]
}
