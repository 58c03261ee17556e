//! Documents, data centres and the versions in force in each process.

use monsoon_config::{Document, Evacuations};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::document::DOCUMENT;
use crate::evacuations::{EVACUATIONS, describe};
use crate::failure::Failure;
use crate::objects::{Context, ParsedObject, read};
use crate::report::{Report, strip_control};
use crate::table::table;

/// Status of a data centre, written by its lease holder.
#[derive(Debug, Deserialize)]
struct Status {
    /// Fencing token of the writer.
    fence: u64,
    processes: Vec<Process>,
}

/// Process as it reported itself.
#[derive(Debug, Deserialize, Serialize)]
struct Process {
    id: String,
    role: String,
    address: String,
    document: u64,
    places: u64,
    state: String,
}

/// Status object of one data centre.
enum Site {
    Absent,
    Unreadable(String),
    Known(Status),
}

/// Versions that every process should have.
#[derive(Clone, Copy)]
struct Newest {
    document: u64,
    evacuations: u64,
}

impl Newest {
    fn lag(self, process: &Process) -> String {
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
    let newest = Newest {
        document: document.as_ref().map_or(0, |found| found.version.0),
        evacuations: evacuations.as_ref().map_or(0, |found| found.version.0),
    };
    let mut sites = Vec::new();
    for name in names(document.as_ref()) {
        let object = context.object(&format!("status/{name}"));
        let found = context.client.get(&object).await?;
        sites.push((
            name,
            found.map_or(Site::Absent, |(_, stored)| parse(&stored.text)),
        ));
    }
    let evacuations_set = evacuations
        .as_ref()
        .and_then(|found| found.value.as_ref().ok());
    let out = |name: &str| {
        evacuations_set.is_some_and(|evacuations| evacuations.data_centres.contains(name))
    };
    let head = [
        format!("environment: {}", context.env),
        format!("document: {}", title(document.as_ref())),
        format!("data centres: {}", title(evacuations.as_ref())),
        out_line(evacuations.as_ref()),
    ];
    let rows: Vec<_> = sites
        .iter()
        .flat_map(|(name, site)| rows(name, out(name), site, newest))
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
    let body = if rows.is_empty() {
        "no data centre is known without a document that can be read".to_owned()
    } else {
        table(&header, &rows)
    };
    let text = format!("{}\n\n{body}", head.join("\n"));
    let list: Vec<_> = sites
        .iter()
        .map(|(n, site)| site_json(n, out(n), site, newest))
        .collect();
    let json = json!({
        "env": context.env,
        "document": document.as_ref().map(object_json),
        "places": evacuations.as_ref().map(object_json),
        "out": evacuations_set.map(|evacuations| &evacuations.data_centres),
        "data_centres": list,
    });
    Ok(Report::new(text, json))
}

fn out_line(evacuations: Option<&ParsedObject<Evacuations>>) -> String {
    match evacuations.map(|found| &found.value) {
        None => describe(&Evacuations::default()),
        Some(Ok(evacuations)) => describe(evacuations),
        Some(Err(_)) => "data centres out: unknown, the last set that could be read".to_owned(),
    }
}

fn names(document: Option<&ParsedObject<Document>>) -> Vec<String> {
    let document = document.and_then(|found| found.value.as_ref().ok());
    let places = document
        .into_iter()
        .flat_map(|document| document.data_centres.values());
    places.map(|place| place.name.clone()).collect()
}

fn parse(text: &str) -> Site {
    serde_json::from_str(text).map_or_else(|error| Site::Unreadable(error.to_string()), Site::Known)
}

fn title<T>(found: Option<&ParsedObject<T>>) -> String {
    let Some(found) = found else {
        return "none".to_owned();
    };
    let faults = found.value.as_ref().err().map(|faults| {
        format!(
            ", not in force: {} faults, apply a corrected one",
            faults.list().len()
        )
    });
    found.title() + &faults.unwrap_or_default()
}

fn object_json<T>(found: &ParsedObject<T>) -> Value {
    let mut json = found.json();
    let faults = found.value.as_ref().err().map(ToString::to_string);
    json["faults"] = json!(faults);
    json
}

fn rows(name: &str, out: bool, site: &Site, newest: Newest) -> Vec<Vec<String>> {
    let title = if out {
        format!("{name} (out)")
    } else {
        name.to_owned()
    };
    let note = |note: String| {
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
    match site {
        Site::Absent => note("no report".to_owned()),
        Site::Unreadable(reason) => {
            note(format!("report cannot be read: {}", strip_control(reason)))
        }
        Site::Known(status) if status.processes.is_empty() => note("no process".to_owned()),
        Site::Known(status) => status
            .processes
            .iter()
            .map(|process| row(&title, process, newest))
            .collect(),
    }
}

fn row(title: &str, process: &Process, newest: Newest) -> Vec<String> {
    vec![
        title.to_owned(),
        strip_control(&process.id),
        strip_control(&process.role),
        strip_control(&process.address),
        process.document.to_string(),
        process.places.to_string(),
        strip_control(&process.state),
        newest.lag(process),
    ]
}

fn site_json(name: &str, out: bool, site: &Site, newest: Newest) -> Value {
    let (fence, fault) = match site {
        Site::Absent => (None, Some("no report")),
        Site::Unreadable(reason) => (None, Some(reason.as_str())),
        Site::Known(status) => (Some(status.fence), None),
    };
    let processes = match site {
        Site::Known(status) => status.processes.as_slice(),
        Site::Absent | Site::Unreadable(_) => &[],
    };
    let process = |process: &Process| {
        let mut json = json!(process);
        json["behind"] = json!(!newest.lag(process).is_empty());
        json
    };
    let processes: Vec<_> = processes.iter().map(process).collect();
    json!({"name": name, "out": out, "fence": fence, "fault": fault, "processes": processes})
}
