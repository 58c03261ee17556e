//! Size of the status object that a data centre writes to the store.

use serde::Serialize;

use super::fit::Series;

const SIZES: [usize; 5] = [10, 100, 300, 615, 1_230];

/// Fields of the daemon's status object, filled with values of usual length.
#[derive(Serialize)]
struct Status {
    fence: u64,
    processes: Vec<Process>,
}

#[derive(Serialize)]
struct Process {
    id: String,
    role: &'static str,
    address: String,
    document: u64,
    places: u64,
    state: &'static str,
}

/// Object as the store keeps it: the status is a JSON text within JSON, with its quotes escaped.
#[derive(Serialize)]
struct Stored {
    change: String,
    author: &'static str,
    text: String,
}

fn bytes(processes: usize) -> f64 {
    let process = |number: usize| Process {
        id: format!("{number:016x}"),
        role: "agent",
        address: format!("10.{}.{}.17:7400", number / 256, number % 256),
        document: 130_000,
        places: 2_000,
        state: "ready",
    };
    let status = Status {
        fence: 130_000,
        processes: (0..processes).map(process).collect(),
    };
    let stored = Stored {
        change: format!("status-{:016x}", 0),
        author: "monsoonrouter",
        text: serde_json::to_string(&status).expect("fields have JSON forms"),
    };
    let text = serde_json::to_string(&stored).expect("fields have JSON forms");
    text.len() as f64
}

pub fn measure() -> Vec<Series> {
    vec![Series::new(
        "status object, bytes",
        "processes of a data centre",
        SIZES,
        bytes,
    )]
}
