//! Commands that take a data centre out or bring it back.

use std::collections::BTreeSet;

use monsoon_config::{Document, Evacuations};
use monsoon_model::Version;
use serde_json::json;

use crate::document::{DOCUMENT, describe_faults};
use crate::failure::Failure;
use crate::objects::{Context, read, write};
use crate::report::Report;

/// Name of the object with the set of data centres taken out.
pub const EVACUATIONS: &str = "data-centres";

/// Takes a data centre out.
pub async fn evacuate(context: &Context, name: &str, force: bool) -> Result<Report, Failure> {
    let known = known(context).await?;
    if !known.contains(name) {
        let list = known.into_iter().collect::<Vec<_>>().join(", ");
        let message = format!("the document has no data centre \"{name}\"; use one of {list}");
        return Err(Failure::refused(message));
    }
    let (version, before) = present(context, force).await?;
    let mut after = before.clone();
    if !after.data_centres.insert(name.to_owned()) {
        return Ok(unchanged(&format!("{name} is out already"), &before));
    }
    if !force && known.iter().all(|place| after.data_centres.contains(place)) {
        let message = format!(
            "{name} is the last data centre in service; bring another back first, or add --force"
        );
        return Err(Failure::refused(message));
    }
    change(context, version, &before, &after, &format!("{name} is out")).await
}

/// Brings a data centre back.
pub async fn restore(context: &Context, name: &str, force: bool) -> Result<Report, Failure> {
    let (version, before) = present(context, force).await?;
    let mut after = before.clone();
    if !after.data_centres.remove(name) {
        let known = known(context).await?;
        if !known.contains(name) {
            let list = known.into_iter().collect::<Vec<_>>().join(", ");
            let message = format!("the document has no data centre \"{name}\"; use one of {list}");
            return Err(Failure::refused(message));
        }
        return Ok(unchanged(&format!("{name} is in service already"), &before));
    }
    change(
        context,
        version,
        &before,
        &after,
        &format!("{name} is back in service"),
    )
    .await
}

async fn change(
    context: &Context,
    version: Option<Version>,
    before: &Evacuations,
    after: &Evacuations,
    line: &str,
) -> Result<Report, Failure> {
    let compare = |other: &str| match Evacuations::parse(other) {
        Ok(other) => difference(before, &other),
        Err(faults) => vec![describe_faults(&faults)],
    };
    let name = context.object(EVACUATIONS);
    let done = write(context, &name, version, after.to_text(), compare).await?;
    let text = format!(
        "{line}: version {} (change {})\n{}",
        done.version,
        done.change,
        describe(after)
    );
    let json = json!({
        "version": done.version, "change": done.change, "written": true, "out": after.data_centres,
    });
    Ok(Report::new(text, json))
}

fn unchanged(line: &str, evacuations: &Evacuations) -> Report {
    let text = format!("{line}; nothing was written\n{}", describe(evacuations));
    Report::new(
        text,
        json!({"written": false, "out": evacuations.data_centres}),
    )
}

/// The set in words.
pub fn describe(evacuations: &Evacuations) -> String {
    let names: Vec<_> = evacuations
        .data_centres
        .iter()
        .map(String::as_str)
        .collect();
    let names = if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    };
    format!("data centres out: {names}")
}

fn difference(before: &Evacuations, after: &Evacuations) -> Vec<String> {
    let taken = after
        .data_centres
        .difference(&before.data_centres)
        .map(|name| format!("{name} was taken out"));
    let back = before
        .data_centres
        .difference(&after.data_centres)
        .map(|name| format!("{name} was brought back"));
    taken.chain(back).collect()
}

/// Names of the data centres in the document.
async fn known(context: &Context) -> Result<BTreeSet<String>, Failure> {
    let found = read(&context.client, &context.object(DOCUMENT), Document::parse).await?;
    let Some(found) = found else {
        let message = format!(
            "environment {} has no document; apply one first",
            context.env
        );
        return Err(Failure::refused(message));
    };
    let head = format!("the present document, {}, cannot be read", found.title());
    let document = found.value.map_err(|faults| {
        let mut failure = Failure::from_faults(&head, &faults);
        failure.message += "
apply a corrected document first";
        failure
    })?;
    Ok(document
        .data_centres
        .into_values()
        .map(|place| place.name)
        .collect())
}

/// Version and set at present; `force` takes an unreadable set for empty.
async fn present(
    context: &Context,
    force: bool,
) -> Result<(Option<Version>, Evacuations), Failure> {
    let found = read(
        &context.client,
        &context.object(EVACUATIONS),
        Evacuations::parse,
    )
    .await?;
    let Some(found) = found else {
        return Ok((None, Evacuations::default()));
    };
    let version = Some(found.version);
    match found.value {
        Ok(evacuations) => Ok((version, evacuations)),
        Err(_) if force => Ok((version, Evacuations::default())),
        Err(faults) => {
            let head = format!(
                "the set of data centres taken out, version {}, cannot be read",
                found.version
            );
            let mut failure = Failure::from_faults(&head, &faults);
            failure.message += "\nto replace it by an empty set first, add --force";
            Err(failure)
        }
    }
}
