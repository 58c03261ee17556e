//! Outcomes that the caller stand-in counts, against a small HTTP/3 server.

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
use server::{Act, Server};

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

/// Guards against a correct exchange that counts as anything but answered.
#[tokio::test]
async fn complete_responses_count_as_answered() {
    let server = Server::start(|_, _| Act::Answer);
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
    let held: Vec<_> = report
        .requests
        .iter()
        .filter(|entry| entry.class == "hold")
        .collect();
    let attempts = server.attempts.lock().unwrap();
    assert!(
        held.iter().all(|entry| attempts[&entry.key] == 1),
        "one attempt for each key"
    );
}

/// Guards against a cut stream, a lost tick, a reset or a closed connection that passes as
/// complete.
#[tokio::test]
async fn incomplete_streams_count_as_broken() {
    let acts: [server::Choose; 5] = [
        |_, _| Act::Cut,
        |_, _| Act::Gap,
        |_, _| Act::Reset(Code::H3_INTERNAL_ERROR),
        |_, _| Act::LateReset(Code::H3_REQUEST_REJECTED),
        |_, _| Act::Close(DATA_CENTRE_EVACUATED + 1),
    ];
    for (index, act) in acts.into_iter().enumerate() {
        let server = Server::start(act);
        let report = boards(&server).await;
        let board = &report.classes["board"];
        assert!(
            board.count(Outcome::Broken) >= 1,
            "act {index}: {:?}",
            report.lines()
        );
        // The caller itself ends the last flow.
        assert!(
            board.count(Outcome::Broken) + 1 >= board.sent,
            "act {index}: {:?}",
            report.lines()
        );
    }
}

/// Guards against a flow without any response that disappears from the counts at the end.
#[tokio::test]
async fn silent_service_counts_as_broken() {
    let server = Server::start(|_, _| Act::Silent);
    let settings = Settings {
        boards: 1,
        duration: Duration::from_secs(3),
        ..Settings::new(server.address, server.ca())
    };
    let report = run(settings).await;
    assert_eq!((report.total(Outcome::Broken), report.sent()), (1, 1));
}

/// Guards against a response of another request that passes as one's own, and against a rejection
/// after the start of the response that passes as "not run".
#[tokio::test]
async fn wrong_responses_count_as_broken() {
    let acts: [server::Choose; 2] = [
        |_, _| Act::Foreign,
        |_, _| Act::LateReset(Code::H3_REQUEST_REJECTED),
    ];
    for act in acts {
        let server = Server::start(act);
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

/// Guards against a data centre taken out that counts as broken flows, and against a caller that
/// does not open a new flow.
#[tokio::test]
async fn data_centre_out_gives_flows_up() {
    let server = Server::start(|_, attempt| match attempt {
        1 => Act::Close(DATA_CENTRE_EVACUATED),
        _ => Act::Answer,
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

/// Guards against a refused request that is lost or repeated under another key.
#[tokio::test]
async fn refused_request_is_repeated_with_its_key() {
    let server = Server::start(|_, attempt| match attempt {
        1 => Act::Reset(Code::H3_REQUEST_REJECTED),
        2 => Act::Status(503, "not-run"),
        _ => Act::Answer,
    });
    let report = holds(&server).await;
    assert_eq!(report.total(Outcome::Answered), report.sent());
    assert_eq!(report.classes["hold"].retries, 2 * report.sent());
    let attempts = server.attempts.lock().unwrap();
    assert_eq!(attempts.len() as u64, report.sent());
    assert!(attempts.values().all(|count| *count == 3), "{attempts:?}");
}

/// Guards against retries without a bound, and against repeating a request that may have run.
#[tokio::test]
async fn retries_are_bounded_and_unknown_is_final() {
    let refusing = Server::start(|_, _| Act::Status(503, "not-run"));
    let refused = holds(&refusing).await;
    assert_eq!(refused.total(Outcome::Refused), refused.sent());
    let most = u64::from(MAX_RETRIES) + 1;
    assert!(
        refusing
            .attempts
            .lock()
            .unwrap()
            .values()
            .all(|count| *count == most)
    );

    let uncertain = Server::start(|_, _| Act::Status(504, "unknown"));
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

/// Guards against a refusal of the second attempt that hides an unknown first one.
#[tokio::test]
async fn refused_resend_stays_broken() {
    let server = Server::start(|_, attempt| match attempt {
        1 => Act::Reset(Code::H3_INTERNAL_ERROR),
        _ => Act::Status(503, "not-run"),
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

/// Guards against a graceful leave that ends an open stream or gets new requests.
#[tokio::test]
async fn goaway_moves_new_requests_only() {
    let server = Server::start(|path, attempt| match (path, attempt) {
        ("/board", 1) => Act::GoAway,
        _ => Act::Answer,
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

/// Guards against a report that scripts cannot read.
#[tokio::test]
async fn lines_name_every_class_and_the_sum() {
    let server = Server::start(|_, _| Act::Status(418, ""));
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

/// Guards against a binary whose lines or report differ from what its caller saw through the
/// fabric.
#[tokio::test]
async fn binary_reports_what_it_saw() {
    let server = Server::start(|_, _| Act::Answer);
    let fabric = Fabric::start(fabric::Settings::new([server.address]))
        .await
        .unwrap();
    let report = server.dir.join("report.json");
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
        .args([server.ca(), "--report".into(), report.clone()])
        .stderr(Stdio::null());
    let patience = Duration::from_secs(20);
    let running = tokio::task::spawn_blocking(move || {
        let mut process = Process::start(&mut command, patience).unwrap();
        assert!(process.wait(patience).unwrap().success());
        // The last lines may still be in the pipe when the child has ended.
        let end = std::time::Instant::now() + patience;
        while process.lines().len() < 3 && std::time::Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
        process.lines()
    });
    let lines = running.await.unwrap();
    let report: serde_json::Value =
        serde_json::from_slice(&std::fs::read(report).unwrap()).unwrap();
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
