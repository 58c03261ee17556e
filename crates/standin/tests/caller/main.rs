//! Outcomes that the simulated caller counts, against an HTTP/3 server of the test.

mod server;

use std::future::pending;
use std::process::{Command, Stdio};
use std::time::Duration;

use h3::error::Code;
use monsoon_standin::caller::{
    self, DATA_CENTRE_EVACUATED, MAX_RETRIES, Outcome, Report, Settings,
};
use monsoon_standin::fabric::{self, Fabric};
use monsoon_standin::process::Process;
use server::{Behaviour, Server};

async fn boards(server: &Server) -> Report {
    let settings = Settings {
        boards: 1,
        ..Settings::new(server.address, server.ca())
    };
    run(settings).await
}

async fn holds(server: &Server) -> Report {
    let settings = Settings {
        holds_per_second: 20.0,
        duration: Duration::from_millis(475),
        ..Settings::new(server.address, server.ca())
    };
    run(settings).await
}

async fn run(settings: Settings) -> Report {
    caller::run(settings, pending()).await.unwrap()
}

/// Guards against a correct response that does not count as answered, and against a request that is
/// sent twice.
#[tokio::test]
async fn complete_responses_count_as_answered() {
    let server = Server::start(|_, _| Behaviour::Answer);
    let settings = Settings {
        boards: 2,
        holds_per_second: 20.0,
        uploads: 3,
        upload_bytes: 300_000,
        connections: 2,
        ..Settings::new(server.address, server.ca())
    };
    let report = run(settings).await;
    assert_eq!(report.total(Outcome::Answered), report.sent());
    assert_eq!(report.classes["upload"].count(Outcome::Answered), 3);
    assert!(report.classes["hold"].sent >= 5 && report.classes["board"].sent >= 2);
    assert_eq!((report.connections, report.resets), (2, 0));
    let holds: Vec<_> = report
        .requests
        .iter()
        .filter(|entry| entry.class == "hold")
        .collect();
    let attempts = server.attempts.lock().unwrap();
    assert!(
        holds.iter().all(|entry| attempts[&entry.key] == 1),
        "one attempt for each key"
    );
}

/// Guards against a stream that counts as complete although it lacks a tick or its `end` line, was
/// reset, or lost its connection.
#[tokio::test]
async fn incomplete_streams_count_as_broken() {
    let behaviours: [server::Choose; 5] = [
        |_, _| Behaviour::MissingEnd,
        |_, _| Behaviour::MissingTick,
        |_, _| Behaviour::Reset(Code::H3_INTERNAL_ERROR),
        |_, _| Behaviour::LateReset(Code::H3_REQUEST_REJECTED),
        |_, _| Behaviour::Close(DATA_CENTRE_EVACUATED + 1),
    ];
    for (index, behaviour) in behaviours.into_iter().enumerate() {
        let server = Server::start(behaviour);
        let report = boards(&server).await;
        let board = &report.classes["board"];
        assert!(
            board.count(Outcome::Broken) >= 1,
            "behaviour {index}: {:?}",
            report.lines()
        );
        // The caller itself ends the last flow.
        assert!(
            board.count(Outcome::Broken) + 1 >= board.sent,
            "behaviour {index}: {:?}",
            report.lines()
        );
    }
}

/// Guards against a flow without any response that is missing from the counts at the end.
#[tokio::test]
async fn missing_response_counts_as_broken() {
    let server = Server::start(|_, _| Behaviour::NoResponse);
    let settings = Settings {
        boards: 1,
        duration: Duration::from_secs(3),
        ..Settings::new(server.address, server.ca())
    };
    let report = run(settings).await;
    assert_eq!((report.total(Outcome::Broken), report.sent()), (1, 1));
}

/// Guards against a response to another request that counts as answered, and against a rejection
/// after the start of the response that counts as not run.
#[tokio::test]
async fn wrong_responses_count_as_broken() {
    let behaviours: [server::Choose; 2] = [
        |_, _| Behaviour::OtherKey,
        |_, _| Behaviour::LateReset(Code::H3_REQUEST_REJECTED),
    ];
    for behaviour in behaviours {
        let server = Server::start(behaviour);
        let report = holds(&server).await;
        assert_eq!(
            report.total(Outcome::Broken),
            report.sent(),
            "{:?}",
            report.lines()
        );
        assert!(report.sent() >= 3);
    }
}

/// Guards against an evacuation that counts as broken flows, and against a caller that opens no new
/// flow after it.
#[tokio::test]
async fn evacuated_flows_do_not_count_as_broken() {
    let server = Server::start(|_, attempt| match attempt {
        1 => Behaviour::Close(DATA_CENTRE_EVACUATED),
        _ => Behaviour::Answer,
    });
    let report = boards(&server).await;
    let board = &report.classes["board"];
    assert_eq!(
        (board.count(Outcome::GivenUp), board.count(Outcome::Broken)),
        (1, 0)
    );
    assert!(board.count(Outcome::Answered) >= 1);
    assert_eq!(report.connections, 2);
}

/// Guards against a refused request that is not retried, or is retried with another key.
#[tokio::test]
async fn refused_request_is_retried_with_its_key() {
    let server = Server::start(|_, attempt| match attempt {
        1 => Behaviour::Reset(Code::H3_REQUEST_REJECTED),
        2 => Behaviour::Status(503, "not-run"),
        _ => Behaviour::Answer,
    });
    let report = holds(&server).await;
    assert_eq!(report.total(Outcome::Answered), report.sent());
    assert_eq!(report.classes["hold"].retries, 2 * report.sent());
    let attempts = server.attempts.lock().unwrap();
    assert_eq!(attempts.len() as u64, report.sent());
    assert!(attempts.values().all(|count| *count == 3), "{attempts:?}");
}

/// Guards against unlimited retries, and against a retry of a request that may have run.
#[tokio::test]
async fn retries_are_limited_and_unknown_is_not_retried() {
    let refusing = Server::start(|_, _| Behaviour::Status(503, "not-run"));
    let refused = holds(&refusing).await;
    assert_eq!(refused.total(Outcome::Refused), refused.sent());
    let max_attempts = u64::from(MAX_RETRIES) + 1;
    assert!(
        refusing
            .attempts
            .lock()
            .unwrap()
            .values()
            .all(|count| *count == max_attempts)
    );

    let uncertain = Server::start(|_, _| Behaviour::Status(504, "unknown"));
    let unknown = holds(&uncertain).await;
    assert_eq!(unknown.total(Outcome::Unknown), unknown.sent());
    assert!(
        uncertain
            .attempts
            .lock()
            .unwrap()
            .values()
            .all(|count| *count == 1)
    );
}

/// Guards against a refused second attempt that hides the unknown outcome of the first one.
#[tokio::test]
async fn refused_resend_counts_as_broken() {
    let server = Server::start(|_, attempt| match attempt {
        1 => Behaviour::Reset(Code::H3_INTERNAL_ERROR),
        _ => Behaviour::Status(503, "not-run"),
    });
    let settings = Settings {
        holds_per_second: 1.0,
        resend: true,
        ..Settings::new(server.address, server.ca())
    };
    let report = run(settings).await;
    assert_eq!(report.total(Outcome::Broken), report.sent());
    assert!(
        server
            .attempts
            .lock()
            .unwrap()
            .values()
            .all(|count| *count > 1)
    );
}

/// Guards against a GOAWAY that ends an open stream, and against new requests on its connection.
#[tokio::test]
async fn goaway_moves_new_requests_only() {
    let server = Server::start(|path, attempt| match (path, attempt) {
        ("/board", 1) => Behaviour::GoAway,
        _ => Behaviour::Answer,
    });
    let settings = Settings {
        boards: 1,
        holds_per_second: 20.0,
        ..Settings::new(server.address, server.ca())
    };
    let report = run(settings).await;
    assert_eq!(
        report.total(Outcome::Answered),
        report.sent(),
        "{:?}",
        report.lines()
    );
    assert_eq!(report.connections, 2);
}

/// Guards against a change of the printed lines or of the JSON report, which scripts read.
#[tokio::test]
async fn lines_name_every_class_and_the_sum() {
    let server = Server::start(|_, _| Behaviour::Status(418, ""));
    let settings = Settings {
        uploads: 1,
        duration: Duration::from_millis(300),
        ..Settings::new(server.address, server.ca())
    };
    let report = run(settings).await;
    insta::assert_snapshot!(format!(
        "{}\n{:#}",
        report.lines().join("\n"),
        report.to_json()
    ));
}

/// Guards against printed lines or a JSON report that differ from what the server received. The
/// caller runs as a process and sends through the fabric.
#[tokio::test]
async fn process_reports_what_the_server_received() {
    let server = Server::start(|_, _| Behaviour::Answer);
    let fabric = Fabric::start(fabric::Settings::new([server.address]))
        .await
        .unwrap();
    let report_path = server.dir.join("report.json");
    let mut command = Command::new(env!("CARGO_BIN_EXE_monsoon-standin"));
    command
        .args([
            "caller",
            "--server-name",
            "prodejna",
            "--seconds",
            "0.5",
            "--uploads",
            "2",
        ])
        .args([
            "--service",
            &fabric.address().to_string(),
            "--holds-per-second",
            "20",
            "--ca",
        ])
        .args([server.ca(), "--report".into(), report_path.clone()])
        .stderr(Stdio::null());
    let timeout = Duration::from_secs(20);
    let task = tokio::task::spawn_blocking(move || {
        let mut process = Process::start(&mut command, timeout).unwrap();
        assert!(process.wait(timeout).unwrap().success());
        // The last lines may still be in the pipe when the child has ended.
        let deadline = std::time::Instant::now() + timeout;
        while process.lines().len() < 3 && std::time::Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        process.lines()
    });
    let lines = task.await.unwrap();
    let report: serde_json::Value =
        serde_json::from_slice(&std::fs::read(report_path).unwrap()).unwrap();
    let (sent, requests) = (&report["sent"], report["requests"].as_array().unwrap());
    assert_eq!(
        lines[2],
        format!("caller: served {sent} of {sent}, broken flows 0")
    );
    assert_eq!(sent.as_u64(), Some(requests.len() as u64));
    let attempts = server.attempts.lock().unwrap();
    for request in requests {
        assert_eq!(attempts[request["key"].as_str().unwrap()], 1);
        assert_eq!(request["outcome"], "answered");
    }
}
