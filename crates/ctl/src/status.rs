//! The command `status`: document, data centres and the versions in force in each process.

use monsoon_config::{Document, Evacuations};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::document::DOCUMENT;
use crate::evacuations::{EVACUATIONS, describe};
use crate::failure::Failure;
use crate::objects::{Context, ParsedObject, read};
use crate::report::{Report, strip_control};
use crate::table::table;

/// Status of a data centre, written by the balancer that has the lease.
#[derive(Debug, Deserialize)]
struct Status {
    /// Fencing token of the writer's lease.
    fence: u64,
    processes: Vec<Process>,
}

/// Process with the versions that it reported.
#[derive(Debug, Deserialize, Serialize)]
struct Process {
    id: String,
    role: String,
    address: String,
    document: u64,
    places: u64,
    state: String,
}

/// Status object of one data centre, as read from the store.
enum StatusObject {
    Absent,
    Unreadable(String),
    Valid(Status),
}

/// Versions in the store, which every process should have in force.
#[derive(Clone, Copy)]
struct StoreVersions {
    document: u64,
    evacuations: u64,
}

impl StoreVersions {
    fn outdated_names(self, process: &Process) -> String {
        let mut behind = Vec::new();
        if process.document < self.document {
            behind.push("document");
        }
        if process.places < self.evacuations {
            behind.push("data centres");
        }
        behind.join(", ")
    }
}

/// Shows the status of the environment.
pub async fn show(context: &Context) -> Result<Report, Failure> {
    let document = read(&context.client, &context.object(DOCUMENT), Document::parse).await?;
    let evacuations = read(
        &context.client,
        &context.object(EVACUATIONS),
        Evacuations::parse,
    )
    .await?;
    let newest = StoreVersions {
        document: document.as_ref().map_or(0, |found| found.version.packed()),
        evacuations: evacuations
            .as_ref()
            .map_or(0, |found| found.version.packed()),
    };
    let mut objects = Vec::new();
    for name in data_centre_names(document.as_ref()) {
        let path = context.object(&format!("status/{name}"));
        let found = context.client.get(&path).await?;
        objects.push((
            name,
            found.map_or(StatusObject::Absent, |(_, stored)| parse(&stored.text)),
        ));
    }
    let readable_set = evacuations
        .as_ref()
        .and_then(|found| found.parsed.as_ref().ok());
    let is_evacuated = |name: &str| {
        readable_set.is_some_and(|evacuations| evacuations.data_centres.contains(name))
    };
    let summary = [
        format!("environment: {}", context.env),
        format!("document: {}", describe_object(document.as_ref())),
        format!("data centres: {}", describe_object(evacuations.as_ref())),
        evacuations_line(evacuations.as_ref()),
    ];
    let table_rows: Vec<_> = objects
        .iter()
        .flat_map(|(name, object)| rows(name, is_evacuated(name), object, newest))
        .collect();
    let header = [
        "data centre",
        "process",
        "role",
        "address",
        "document",
        "places",
        "state",
        "behind",
    ];
    let body = if table_rows.is_empty() {
        "no data centre is known without a document that can be read".to_owned()
    } else {
        table(&header, &table_rows)
    };
    let text = format!("{}\n\n{body}", summary.join("\n"));
    let data_centre_list: Vec<_> = objects
        .iter()
        .map(|(name, object)| data_centre_json(name, is_evacuated(name), object, newest))
        .collect();
    let json = json!({
        "env": context.env,
        "document": document.as_ref().map(object_json),
        "places": evacuations.as_ref().map(object_json),
        "out": readable_set.map(|evacuations| &evacuations.data_centres),
        "data_centres": data_centre_list,
    });
    Ok(Report::new(text, json))
}

fn evacuations_line(evacuations: Option<&ParsedObject<Evacuations>>) -> String {
    match evacuations.map(|found| &found.parsed) {
        None => describe(&Evacuations::default()),
        Some(Ok(evacuations)) => describe(evacuations),
        Some(Err(_)) => {
            "data centres out: unknown; processes keep the last set that they could read".to_owned()
        }
    }
}

fn data_centre_names(document: Option<&ParsedObject<Document>>) -> Vec<String> {
    let document = document.and_then(|found| found.parsed.as_ref().ok());
    let data_centres = document
        .into_iter()
        .flat_map(|document| document.data_centres.values());
    data_centres
        .map(|data_centre| data_centre.name.clone())
        .collect()
}

fn parse(text: &str) -> StatusObject {
    serde_json::from_str(text).map_or_else(
        |error| StatusObject::Unreadable(error.to_string()),
        StatusObject::Valid,
    )
}

fn describe_object<T>(found: Option<&ParsedObject<T>>) -> String {
    let Some(found) = found else {
        return "none".to_owned();
    };
    let faults = found.parsed.as_ref().err().map(|faults| {
        format!(
            ", not in force: {} faults, apply a corrected one",
            faults.list().len()
        )
    });
    found.origin_text() + &faults.unwrap_or_default()
}

fn object_json<T>(found: &ParsedObject<T>) -> Value {
    let mut json = found.json();
    let faults = found.parsed.as_ref().err().map(ToString::to_string);
    json["faults"] = json!(faults);
    json
}

fn rows(
    name: &str,
    is_evacuated: bool,
    object: &StatusObject,
    newest: StoreVersions,
) -> Vec<Vec<String>> {
    let title = if is_evacuated {
        format!("{name} (out)")
    } else {
        name.to_owned()
    };
    let note_row = |note: String| {
        let empty = String::new;
        vec![vec![
            title.clone(),
            note,
            empty(),
            empty(),
            empty(),
            empty(),
            empty(),
            empty(),
        ]]
    };
    match object {
        StatusObject::Absent => note_row("no report".to_owned()),
        StatusObject::Unreadable(reason) => {
            note_row(format!("report cannot be read: {}", strip_control(reason)))
        }
        StatusObject::Valid(status) if status.processes.is_empty() => {
            note_row("no process".to_owned())
        }
        StatusObject::Valid(status) => status
            .processes
            .iter()
            .map(|process| row(&title, process, newest))
            .collect(),
    }
}

fn row(title: &str, process: &Process, newest: StoreVersions) -> Vec<String> {
    vec![
        title.to_owned(),
        strip_control(&process.id),
        strip_control(&process.role),
        strip_control(&process.address),
        process.document.to_string(),
        process.places.to_string(),
        strip_control(&process.state),
        newest.outdated_names(process),
    ]
}

fn data_centre_json(
    name: &str,
    is_evacuated: bool,
    object: &StatusObject,
    newest: StoreVersions,
) -> Value {
    let (fence, fault) = match object {
        StatusObject::Absent => (None, Some("no report")),
        StatusObject::Unreadable(reason) => (None, Some(reason.as_str())),
        StatusObject::Valid(status) => (Some(status.fence), None),
    };
    let processes = match object {
        StatusObject::Valid(status) => status.processes.as_slice(),
        StatusObject::Absent | StatusObject::Unreadable(_) => &[],
    };
    let to_json = |process: &Process| {
        let mut json = json!(process);
        json["behind"] = json!(!newest.outdated_names(process).is_empty());
        json
    };
    let processes: Vec<_> = processes.iter().map(to_json).collect();
    json!({"name": name, "out": is_evacuated, "fence": fence, "fault": fault, "processes": processes})
}
