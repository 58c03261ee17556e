//! The commands `dc out` and `dc in`, which evacuate a data centre and bring it back.

use std::collections::BTreeSet;

use monsoon_config::{Document, Evacuations};
use monsoon_model::Version;
use serde_json::json;

use crate::document::{DOCUMENT, describe_faults};
use crate::failure::Failure;
use crate::objects::{Context, read, write};
use crate::report::Report;

/// Name of the object with the set of evacuated data centres.
pub const EVACUATIONS: &str = "data-centres";

/// Evacuates a data centre. Only `force` evacuates the last one in service.
pub async fn evacuate(context: &Context, name: &str, force: bool) -> Result<Report, Failure> {
    let known = known_names(context).await?;
    if !known.contains(name) {
        let list = known.into_iter().collect::<Vec<_>>().join(", ");
        let message = format!("the document has no data centre \"{name}\"; use one of {list}");
        return Err(Failure::refused(message));
    }
    let (version, before) = read_evacuations(context, force).await?;
    let mut after = before.clone();
    if !after.data_centres.insert(name.to_owned()) {
        return Ok(unchanged_report(&format!("{name} is out already"), &before));
    }
    if !force
        && known
            .iter()
            .all(|data_centre| after.data_centres.contains(data_centre))
    {
        let message = format!(
            "{name} is the last data centre in service; bring another back first, or add --force"
        );
        return Err(Failure::refused(message));
    }
    write_evacuations(context, version, &before, &after, &format!("{name} is out")).await
}

/// Brings a data centre back into service.
pub async fn restore(context: &Context, name: &str, force: bool) -> Result<Report, Failure> {
    let (version, before) = read_evacuations(context, force).await?;
    let mut after = before.clone();
    if !after.data_centres.remove(name) {
        let known = known_names(context).await?;
        if !known.contains(name) {
            let list = known.into_iter().collect::<Vec<_>>().join(", ");
            let message = format!("the document has no data centre \"{name}\"; use one of {list}");
            return Err(Failure::refused(message));
        }
        return Ok(unchanged_report(
            &format!("{name} is in service already"),
            &before,
        ));
    }
    write_evacuations(
        context,
        version,
        &before,
        &after,
        &format!("{name} is back in service"),
    )
    .await
}

async fn write_evacuations(
    context: &Context,
    version: Option<Version>,
    before: &Evacuations,
    after: &Evacuations,
    summary: &str,
) -> Result<Report, Failure> {
    let compare = |other: &str| match Evacuations::parse(other) {
        Ok(other) => difference(before, &other),
        Err(faults) => vec![describe_faults(&faults)],
    };
    let name = context.object(EVACUATIONS);
    let applied = write(context, &name, version, after.to_text(), compare).await?;
    let text = format!(
        "{summary}: version {} (change {})\n{}",
        applied.version,
        applied.change,
        describe(after)
    );
    let json = json!({
        "version": applied.version, "change": applied.change, "written": true, "out": after.data_centres,
    });
    Ok(Report::new(text, json))
}

fn unchanged_report(reason: &str, evacuations: &Evacuations) -> Report {
    let text = format!("{reason}; nothing was written\n{}", describe(evacuations));
    Report::new(
        text,
        json!({"written": false, "out": evacuations.data_centres}),
    )
}

/// Names of the evacuated data centres as text.
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
    let evacuated = after
        .data_centres
        .difference(&before.data_centres)
        .map(|name| format!("{name} was taken out"));
    let restored = before
        .data_centres
        .difference(&after.data_centres)
        .map(|name| format!("{name} was brought back"));
    evacuated.chain(restored).collect()
}

/// Names of the data centres in the document.
async fn known_names(context: &Context) -> Result<BTreeSet<String>, Failure> {
    let found = read(&context.client, &context.object(DOCUMENT), Document::parse).await?;
    let Some(found) = found else {
        let message = format!(
            "environment {} has no document; apply one first",
            context.env
        );
        return Err(Failure::refused(message));
    };
    let heading = format!(
        "the present document, {}, cannot be read",
        found.origin_text()
    );
    let document = found.parsed.map_err(|faults| {
        let mut failure = Failure::from_faults(&heading, &faults);
        failure.message += "
apply a corrected document first";
        failure
    })?;
    Ok(document
        .data_centres
        .into_values()
        .map(|data_centre| data_centre.name)
        .collect())
}

/// Reads the version and the set. With `force`, a set that cannot be read counts as empty.
async fn read_evacuations(
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
    match found.parsed {
        Ok(evacuations) => Ok((version, evacuations)),
        Err(_) if force => Ok((version, Evacuations::default())),
        Err(faults) => {
            let heading = format!(
                "the set of data centres taken out, version {}, cannot be read",
                found.version
            );
            let mut failure = Failure::from_faults(&heading, &faults);
            failure.message += "\nto replace it by an empty set first, add --force";
            Err(failure)
        }
    }
}
