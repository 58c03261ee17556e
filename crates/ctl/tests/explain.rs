//! The command `explain`, run as a process against a listener with fixed HTTP answers.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};

use common::run_ctl;
use insta::assert_snapshot;

/// Answer of a balancer; the test of the page `/explain` compares it with what a balancer sends.
const EXAMPLE: &str = include_str!("explain.json");
const CALLER: &str = "100.64.0.1:20010";
const ADDRESS: &str = "198.18.0.1:443";

/// Serves one request with this status and body. Returns the address, and a thread that returns the
/// request line.
fn serve(status: u16, body: &str) -> (SocketAddr, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is usable");
    let address = listener.local_addr().expect("socket is bound");
    let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length:");
    let answer = format!("{head} {}\r\n\r\n{body}", body.len());
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let lines = BufReader::new(stream.try_clone().expect("socket can be cloned")).lines();
        let lines = lines.map_while(Result::ok);
        let request: Vec<_> = lines.take_while(|line| !line.is_empty()).collect();
        stream
            .write_all(answer.as_bytes())
            .expect("the client reads");
        request[0].clone()
    });
    (address, thread)
}

fn explain(balancer: &str, more: &[&str]) -> String {
    let args = [
        "explain",
        "--balancer",
        balancer,
        "--caller",
        CALLER,
        "--address",
        ADDRESS,
    ];
    run_ctl(&[&args, more].concat())
}

/// Guards against a table that leaves out a candidate or its reason, and against a query that the
/// balancer cannot read.
#[test]
fn the_answer_is_shown_as_a_table_and_as_json() {
    let (at, request) = serve(200, EXAMPLE);
    assert_snapshot!(explain(&at.to_string(), &[]));
    let request = request.join().expect("the request was read");
    let path = format!("/explain?caller={CALLER}&address={ADDRESS}");
    assert_eq!(request, format!("GET {path} HTTP/1.1"));
    let (at, _) = serve(200, EXAMPLE);
    let printed = explain(&at.to_string(), &["--json"]);
    let printed = printed.strip_prefix("exit 0\n").expect("command succeeds");
    let json = |text| serde_json::from_str::<serde_json::Value>(text).expect("text is JSON");
    assert_eq!(json(printed), json(EXAMPLE));
}

/// Guards against a flow without route or agents that is shown as an error, and against a shortened
/// list that looks complete.
#[test]
fn missing_parts_of_an_answer_are_named() {
    let mut answer: serde_json::Value = serde_json::from_str(EXAMPLE).expect("text is JSON");
    let show =
        |answer: &serde_json::Value| explain(&serve(200, &answer.to_string()).0.to_string(), &[]);
    let first = answer["candidates"][0].take();
    answer["candidates"] = serde_json::json!([first]);
    answer["unlisted"] = serde_json::json!(7);
    assert_snapshot!(show(&answer));
    answer["candidates"] = serde_json::json!([]);
    answer["unlisted"] = serde_json::json!(0);
    answer["decision"] = answer["without_candidates"].clone();
    answer["evacuated"] = serde_json::json!([{"id": 3, "name": null}]);
    assert_snapshot!(show(&answer));
    for key in ["route", "service", "demand"] {
        answer[key] = serde_json::Value::Null;
    }
    assert_snapshot!(show(&answer));
}

/// Guards against failures that are shown as answers, or do not say what to do.
#[test]
fn failures_name_a_remedy() {
    for (status, body) in [
        (400, "{\"error\": \"the parameter caller is missing\"}"),
        (404, "{\"error\": \"this process is an agent\\u001b\"}"),
        (503, ""),
        (200, "{\"route\": 1}"),
    ] {
        let (at, _) = serve(status, body);
        assert_snapshot!(explain(&at.to_string(), &[]));
    }
    assert_snapshot!(explain("127.0.0.1:1", &[]));
    assert_snapshot!(explain("balancer-without-port", &["--json"]));
    let args = [
        "explain",
        "--balancer",
        "127.0.0.1:1",
        "--address",
        ADDRESS,
        "--caller",
    ];
    assert_snapshot!(run_ctl(&[&args[..], &["100.64.0.1"]].concat()));
    assert_snapshot!(run_ctl(&["explain", "--balancer", "127.0.0.1:1"]));
}
