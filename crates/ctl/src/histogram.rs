//! The command `histogram`: latencies and outcomes, merged over processes.

use std::net::SocketAddr;

use monsoon_metrics::{Histograms, Row};
use monsoon_store::fetch;
use serde_json::{Value, json};

use crate::failure::{Failure, FailureKind};
use crate::report::{Report, strip_control};
use crate::table::table;

/// Columns of the table; latencies are in milliseconds.
const HEADER: [&str; 11] = [
    "tenant",
    "class",
    "count",
    "p50 ms",
    "p90 ms",
    "p99 ms",
    "max ms",
    "answered",
    "refused",
    "unknown",
    "cancelled",
];

/// Reads the rows of all processes, and merges rows of the same tenant and class.
pub async fn show(addresses: impl Iterator<Item = &SocketAddr>) -> Result<Report, Failure> {
    let mut merged = Histograms::default();
    for &address in addresses {
        let body = fetch(address, "/histograms").await?;
        let malformed = |reason: String| {
            let message = format!(
                "{address} sent no histograms ({reason}); check that it is the admin address"
            );
            Failure::new(FailureKind::Unreachable, message)
        };
        let rows: Vec<Row> =
            serde_json::from_slice(&body).map_err(|error| malformed(error.to_string()))?;
        for row in rows {
            merged
                .merge(&row)
                .map_err(|error| malformed(error.to_string()))?;
        }
    }
    let rows = merged.snapshot();
    let lines: Vec<_> = rows.iter().map(cells).collect();
    let list: Vec<_> = rows.iter().map(json_row).collect();
    Ok(Report::new(table(&HEADER, &lines), json!(list)))
}

fn cells(row: &Row) -> Vec<String> {
    let millis = |micros: u64| format!("{}.{:03}", micros / 1_000, micros % 1_000);
    vec![
        strip_control(&row.tenant),
        strip_control(&row.class),
        row.count.to_string(),
        millis(row.p50),
        millis(row.p90),
        millis(row.p99),
        millis(row.max),
        row.answered.to_string(),
        row.refused.to_string(),
        row.unknown.to_string(),
        row.cancelled.to_string(),
    ]
}

/// Row without the encoded histogram, which nobody can read.
fn json_row(row: &Row) -> Value {
    json!({
        "tenant": row.tenant, "class": row.class, "count": row.count, "p50": row.p50,
        "p90": row.p90, "p99": row.p99, "max": row.max, "answered": row.answered,
        "refused": row.refused, "unknown": row.unknown, "cancelled": row.cancelled,
    })
}
