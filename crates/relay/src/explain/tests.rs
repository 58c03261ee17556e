//! Tests of the page `/explain` without sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, StatusCode};
use monsoon_flow::{
    Balancer, BalancerSettings, Catalogue, Demand, Evacuations, FlowKey, PacketInfo, PacketKind,
    Presence, RequestKind, Route, Service, ServiceTag, Share, TargetView,
};
use monsoon_model::{DataCentreId, Duration, Instant, Version};
use serde_json::Value;
use tokio::sync::mpsc;

use super::{EXPLAIN_PATH, answer, no_balancer};
use crate::DataCentre;
use crate::endpoints::configuration_and_metrics;
use crate::http::ReceivedRequest;
use crate::message::Message;

const NOW: Instant = Instant::from_secs(100);
const QUERY: &str = "caller=100.64.0.1:20010&address=198.18.0.1:443";
/// Response that the test of `monsoonctl explain` prints.
const EXAMPLE: &str = include_str!("../../../ctl/tests/explain.json");

fn agent_at(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7_000)
}

fn data_centres() -> Vec<DataCentre> {
    let named = [("brno-a", 1), ("brno-b", 2), ("olomouc", 3)];
    let data_centre = |(name, id): (&str, u8)| DataCentre {
        name: name.to_owned(),
        id: DataCentreId(id),
        group: DataCentreId(1),
    };
    named.into_iter().map(data_centre).collect()
}

fn catalogue(service: ServiceTag, address: SocketAddrV4) -> Catalogue {
    let route = Route {
        name: "holds".to_owned(),
        shares: vec![Share { service, weight: 1 }],
        kind: RequestKind::Once,
        demand: Some(Demand {
            goal: Duration::from_millis(200),
            limit: Duration::from_millis(800),
            priority: 1,
        }),
    };
    let service_entry = Service {
        name: "stock".to_owned(),
        cold_rate: None,
        cold_duration: Duration::from_secs(2),
        health_path: "/health".to_owned(),
    };
    Catalogue {
        version: Version::of(9),
        routes: BTreeMap::from([(address, route)]),
        services: BTreeMap::from([(service, service_entry)]),
        idle_timeout: Duration::from_secs(15),
    }
}

/// Balancer with agents in most states; one is suspected.
fn balancer(start: Instant) -> Balancer {
    let settings = BalancerSettings {
        frame_address: SocketAddrV4::new(Ipv4Addr::new(10, 2, 0, 1), 7_000),
        data_centre: DataCentreId(1),
        flow_ttl: Duration::from_secs(60),
    };
    let service = ServiceTag::of("stock");
    let address = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    let mut balancer = Balancer::new(start, settings);
    balancer.set_catalogue(Arc::new(catalogue(service, address)));
    let evacuations = Evacuations {
        version: Version::of(4),
        data_centres: BTreeSet::from(["olomouc".to_owned()]),
    };
    balancer.set_evacuations(&evacuations, |_| Some(DataCentreId(3)));
    balancer.set_config_checked();
    let view = |data_centre, load, is_cold, accepts_flows| TargetView {
        service: service.service_id(),
        data_centre: DataCentreId(data_centre),
        presence: Presence::Present,
        accepts_flows,
        is_cold,
        weight: 32,
        load,
        reads_exact: true,
        suspected_until: None,
    };
    let suspected = view(1, 0, false, true);
    balancer.set_targets(start, BTreeMap::from([(agent_at(1), suspected.clone())]));
    let info = PacketInfo {
        key: FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 9), 20_000),
            address,
        },
        kind: PacketKind::Open { copy: 0 },
        is_returned: false,
        closes: false,
        sequence: 1,
        ack: 0,
        bytes: 0,
    };
    balancer.handle_caller_packet(start, Bytes::new(), &info);
    balancer.tick(start + Duration::from_millis(90));
    let targets = [
        suspected,
        view(1, 50, false, true),
        view(1, 250, false, true),
        view(2, 100, false, true),
        view(2, 0, true, true),
        view(3, 0, false, true),
        view(1, 0, false, false),
    ];
    let targets = (1..).map(agent_at).zip(targets).collect();
    balancer.set_targets(start + Duration::from_millis(90), targets);
    balancer
}

fn json(body: &[u8]) -> Value {
    serde_json::from_slice(body).expect("body is JSON")
}

/// Guards against a response that `monsoonctl explain` cannot read: its test uses the same example.
#[test]
fn the_explanation_is_the_example_of_the_command_line() {
    let balancer = balancer(NOW);
    let now = NOW + Duration::from_millis(1_500);
    let reply = answer(&balancer, now, &data_centres(), QUERY);
    assert_eq!(reply.status, StatusCode::OK);
    let found = json(&reply.body);
    assert_eq!(found, json(EXAMPLE.as_bytes()), "found: {found:#}");
    let encoded = QUERY.replace(':', "%3A");
    let again = answer(&balancer, now, &data_centres(), &encoded);
    assert_eq!(again.body, reply.body, "encoded colons are accepted");
}

/// Guards against bad parameters that are guessed at, or rejected without a reason.
#[test]
fn bad_parameters_are_named() {
    let balancer = balancer(NOW);
    for (query, text) in [
        ("", "parameter caller is missing"),
        ("caller=100.64.0.1:1", "parameter address is missing"),
        (
            "caller=100.64.0.1&address=198.18.0.1:443",
            "caller=\"100.64.0.1\" is not",
        ),
        (
            "caller=[::1]:5&address=198.18.0.1:443",
            "caller=\"[::1]:5\" is not",
        ),
        (
            "caller=100.64.0.1:1&address=198.18.0.1:99999",
            "address=\"198.18.0.1:99999\" is not",
        ),
        (
            "caller=1.2.3.4:1&caller=1.2.3.5:1&address=1.2.3.4:1",
            "caller is repeated",
        ),
    ] {
        let reply = answer(&balancer, NOW, &data_centres(), query);
        assert_eq!(reply.status, StatusCode::BAD_REQUEST, "{query}");
        let error = json(&reply.body)["error"].to_string().replace("\\\"", "\"");
        assert!(error.contains(text), "{query}: {error}");
    }
}

/// Guards against a listener that does not pass on the query or the status, such as an agent's 404.
#[tokio::test]
async fn the_listener_passes_on_query_and_status() {
    let (messages, mut queue) = mpsc::channel(1);
    let pages = configuration_and_metrics(messages);
    let request = |method| ReceivedRequest {
        method,
        path: EXPLAIN_PATH.to_owned(),
        query: QUERY.to_owned(),
        body: Bytes::new(),
    };
    let owner = async {
        let Some(Message::Explain(query, reply)) = queue.recv().await else {
            panic!("the listener sent another message");
        };
        reply.send(no_balancer()).expect("the listener waits");
        query
    };
    let (reply, query) = tokio::join!(pages(request(Method::GET)), owner);
    assert_eq!(
        (reply.status, query.as_str()),
        (StatusCode::NOT_FOUND, QUERY)
    );
    let error = json(&reply.body)["error"].to_string();
    assert!(error.contains("is an agent"), "{error}");
    let posted = pages(request(Method::POST)).await;
    assert_eq!(posted.status, StatusCode::METHOD_NOT_ALLOWED);
}
