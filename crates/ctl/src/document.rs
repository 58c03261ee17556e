//! The commands `check`, `apply`, `promote` and `diff` on documents.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use monsoon_config::{Document, Faults, MAX_TEXT, diff};
use serde_json::json;

use crate::failure::Failure;
use crate::objects::{Context, ParsedObject, read, write};
use crate::report::{Report, indent_lines};

/// Name of the document's object within an environment.
pub const DOCUMENT: &str = "document";

/// Checks a document file without the store.
pub fn check(file: &Path) -> Result<Report, Failure> {
    let (_, document) = load(file)?;
    let (data_centres, services) = (document.data_centres.len(), document.services.len());
    let tenant = &document.tenant;
    let text = format!(
        "{} is valid: tenant {tenant}, {data_centres} data centres, {services} services",
        file.display()
    );
    let json = json!({"tenant": tenant, "data_centres": data_centres, "services": services});
    Ok(Report::new(text, json))
}

/// Writes a document file to the environment; `force` replaces a document that cannot be read.
pub async fn apply(context: &Context, file: &Path, force: bool) -> Result<Report, Failure> {
    let (text, document) = load(file)?;
    replace(context, &file.display().to_string(), text, &document, force).await
}

/// Copies the document of the environment `from` to the environment of the context.
pub async fn promote(context: &Context, from: &str) -> Result<Report, Failure> {
    let source = format!("env/{from}/{DOCUMENT}");
    let Some(found) = read(&context.client, &source, Document::parse).await? else {
        let message = format!("environment {from} has no document; apply one there first");
        return Err(Failure::refused(message));
    };
    let subject = format!("the document of {from}, {}", found.origin_text());
    let document = found
        .parsed
        .map_err(|faults| Failure::from_faults(&format!("{subject} has faults"), &faults))?;
    replace(context, &subject, found.stored.text, &document, false).await
}

/// Shows what a document file would change.
pub async fn diff_file(context: &Context, file: &Path) -> Result<Report, Failure> {
    let (_, document) = load(file)?;
    let env = &context.env;
    let name = context.object(DOCUMENT);
    let Some(found) = read(&context.client, &name, Document::parse).await? else {
        let text = format!("environment {env} has no document; all of the file is new");
        return Ok(Report::new(text, json!({"version": null, "changes": null})));
    };
    let current = found
        .parsed
        .as_ref()
        .map_err(|faults| unreadable(&found, faults))?;
    let lines = changes(current, &document);
    let text = format!(
        "compared with {} of {env}:{}",
        found.origin_text(),
        list_changes(&lines)
    );
    Ok(Report::new(
        text,
        json!({"version": found.version, "changes": lines}),
    ))
}

async fn replace(
    context: &Context,
    subject: &str,
    text: String,
    document: &Document,
    force: bool,
) -> Result<Report, Failure> {
    let env = &context.env;
    let name = context.object(DOCUMENT);
    let found = read(&context.client, &name, Document::parse).await?;
    if let Some(unchanged) = found.as_ref().filter(|found| found.stored.text == text) {
        let line = format!(
            "{env} has this document already: {}",
            unchanged.origin_text()
        );
        return Ok(Report::new(
            line,
            json!({"version": unchanged.version, "written": false}),
        ));
    }
    let previous = match &found {
        Some(ParsedObject {
            parsed: Ok(previous),
            ..
        }) => Some(previous),
        Some(found) if !force => {
            let faults = found.parsed.as_ref().err();
            return Err(faults.map_or_else(
                || {
                    Failure::refused(
                        "the document in force cannot be read; to replace it, run apply --force",
                    )
                },
                |faults| unreadable(found, faults),
            ));
        }
        _ => None,
    };
    if let Some(previous) = previous {
        let successor = document.check_successor(previous);
        successor.map_err(|faults| {
            Failure::from_faults(
                &format!("{subject} cannot follow the one in force"),
                &faults,
            )
        })?;
    }
    let lines = previous
        .map(|previous| changes(previous, document))
        .unwrap_or_default();
    let compare = |other: &str| compare_texts(previous, other);
    let version = found.as_ref().map(|found| found.version);
    let applied = write(context, &name, version, text, compare).await?;
    let origin = format!("version {} (change {})", applied.version, applied.change);
    let summary = if previous.is_some() {
        list_changes(&lines)
    } else {
        " first document".to_owned()
    };
    let json = json!({
        "version": applied.version, "change": applied.change, "written": true, "changes": lines,
    });
    Ok(Report::new(
        format!("{env} has {origin} now:{summary}"),
        json,
    ))
}

fn unreadable(found: &ParsedObject<Document>, faults: &Faults) -> Failure {
    let heading = format!(
        "the present document, {}, cannot be read",
        found.origin_text()
    );
    let mut failure = Failure::from_faults(&heading, faults);
    failure.message += "\nto replace it without checking its numbers, run apply --force";
    failure
}

fn changes(old: &Document, new: &Document) -> Vec<String> {
    diff(old, new).iter().map(ToString::to_string).collect()
}

fn compare_texts(previous: Option<&Document>, other: &str) -> Vec<String> {
    match (previous, Document::parse(other)) {
        (Some(previous), Ok(other)) => changes(previous, &other),
        (None, Ok(_)) => vec!["first readable document of the environment".to_owned()],
        (_, Err(faults)) => vec![describe_faults(&faults)],
    }
}

/// Describes another operator's text that cannot be compared because it has faults.
pub fn describe_faults(faults: &Faults) -> String {
    format!(
        "its text cannot be read ({} faults), so it is not in force",
        faults.list().len()
    )
}

fn list_changes(lines: &[String]) -> String {
    if lines.is_empty() {
        " no difference in meaning".to_owned()
    } else {
        indent_lines(lines)
    }
}

fn load(file: &Path) -> Result<(String, Document), Failure> {
    let name = file.display();
    let unreadable = |error: std::io::Error| {
        Failure::refused(format!(
            "{name} cannot be read ({error}); check its path and rights"
        ))
    };
    let mut bytes = Vec::new();
    // One byte above the limit is enough for `Document::parse` to report the size.
    let mut reader = File::open(file)
        .map_err(unreadable)?
        .take(MAX_TEXT as u64 + 1);
    reader.read_to_end(&mut bytes).map_err(unreadable)?;
    let text = String::from_utf8(bytes).or_else(|error| {
        // The limit may split a character; `Document::parse` reports such a text as too long.
        let is_too_long = error.as_bytes().len() > MAX_TEXT;
        let lossy = || String::from_utf8_lossy(error.as_bytes()).into_owned();
        if is_too_long {
            Ok(lossy())
        } else {
            Err(Failure::refused(format!(
                "{name} is not UTF-8 text; save it in this encoding"
            )))
        }
    })?;
    let document = Document::parse(&text);
    let document =
        document.map_err(|faults| Failure::from_faults(&format!("{name} has faults"), &faults))?;
    Ok((text, document))
}
