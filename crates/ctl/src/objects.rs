//! Objects of an environment: reading, and conditional writes that lose nothing.

use monsoon_config::Faults;
use monsoon_lease::WriteOutcome;
use monsoon_model::{Duration, Version};
use monsoon_store::{Client, StoredObject, WriteResult, is_object_name, write_conditionally};
use serde_json::{Value, json};

use crate::change::change_id;
use crate::failure::{Failure, FailureKind};
use crate::report::{indent_lines, strip_control};

/// Environment, and who changes it.
#[derive(Debug)]
pub struct Context {
    /// Store.
    pub client: Client,
    /// Name of the environment.
    pub env: String,
    /// Operator.
    pub author: String,
    /// Time to settle a write; the operator waits for it.
    pub write_timeout: Duration,
}

impl Context {
    /// Context of a checked environment name.
    pub fn new(
        client: Client,
        env: &str,
        author: String,
        write_timeout: Duration,
    ) -> Result<Self, Failure> {
        if env.contains('/') || !is_object_name(env) {
            let message = format!("\"{env}\" is no environment; use letters, digits and hyphens");
            return Err(Failure::new(FailureKind::Usage, message));
        }
        Ok(Self {
            client,
            env: env.to_owned(),
            author,
            write_timeout,
        })
    }

    /// Name of an object of this environment.
    pub fn object(&self, name: &str) -> String {
        format!("env/{}/{name}", self.env)
    }
}

/// Object as it was read; its text may have faults.
#[derive(Debug)]
pub struct ParsedObject<T> {
    /// Version.
    pub version: Version,
    /// Value of the object.
    pub stored: StoredObject,
    /// Parsed text.
    pub value: Result<T, Faults>,
}

impl<T> ParsedObject<T> {
    /// Version, change and author in words.
    pub fn title(&self) -> String {
        title(self.version, &self.stored)
    }

    /// Version, change and author for `--json`.
    pub fn json(&self) -> Value {
        origin(self.version, &self.stored)
    }
}

fn title(version: Version, stored: &StoredObject) -> String {
    let (author, change) = (strip_control(&stored.author), strip_control(&stored.change));
    format!("version {version} by {author} (change {change})")
}

fn origin(version: Version, stored: &StoredObject) -> Value {
    json!({"version": version, "author": stored.author, "change": stored.change})
}

/// Reads and parses an object.
pub async fn read<T>(
    client: &Client,
    name: &str,
    parse: impl FnOnce(&str) -> Result<T, Faults>,
) -> Result<Option<ParsedObject<T>>, Failure> {
    let object = client.get(name).await?;
    Ok(object.map(|(version, stored)| {
        let value = parse(&stored.text);
        ParsedObject {
            version,
            stored,
            value,
        }
    }))
}

/// Change that took effect.
#[derive(Clone, Debug)]
pub struct AppliedChange {
    /// New version.
    pub version: Version,
    /// Id of the change.
    pub change: String,
}

/// Writes a text when the object still has the version `before` (`None`: does not exist).
///
/// `compare` lists what another operator's text changes against the text that was read before.
pub async fn write(
    context: &Context,
    name: &str,
    before: Option<Version>,
    text: String,
    compare: impl Fn(&str) -> Vec<String>,
) -> Result<AppliedChange, Failure> {
    let change = change_id();
    let stored = StoredObject {
        change: change.clone(),
        author: context.author.clone(),
        text,
    };
    let result = write_conditionally(
        &context.client,
        name,
        before,
        &stored,
        context.write_timeout,
    )
    .await;
    if let WriteOutcome::Written(version) = result.outcome {
        return Ok(AppliedChange { version, change });
    }
    Err(failure(&result, name, &change, compare))
}

fn failure(
    result: &WriteResult,
    name: &str,
    change: &str,
    compare: impl Fn(&str) -> Vec<String>,
) -> Failure {
    let reason = result.reason.clone().unwrap_or_default();
    match &result.outcome {
        WriteOutcome::NotSent => Failure::new(
            FailureKind::Unreachable,
            format!("nothing was written: {reason}"),
        ),
        WriteOutcome::Refused => Failure::refused(format!("nothing was written: {reason}")),
        WriteOutcome::Replaced(_) => {
            let start = "your change may have been in force for a moment and is not any more";
            conflict(start, result, compare)
        }
        WriteOutcome::Conflict(_) => conflict(
            "your change was not applied, another came first",
            result,
            compare,
        ),
        WriteOutcome::Unknown | WriteOutcome::Written(_) => {
            let message = format!(
                "it is unknown whether change {change} of {name} took effect, and it may still do \
                 so ({reason}); run monsoonctl status and look for this change before you repeat it"
            );
            let details = json!({"change": change, "object": name});
            Failure {
                kind: FailureKind::Unknown,
                message,
                details,
            }
        }
    }
}

fn conflict(start: &str, result: &WriteResult, compare: impl Fn(&str) -> Vec<String>) -> Failure {
    let Some((version, other)) = &result.present else {
        let message = format!(
            "{start}; the present object is absent or could not be read; run \
             monsoonctl status, then the command again"
        );
        return Failure::new(FailureKind::Conflict, message);
    };
    let lines = compare(&other.text);
    let message = format!(
        "{start}: {}:{}\nlook at it, then run the command again if it is still wanted",
        title(*version, other),
        indent_lines(&lines)
    );
    let mut details = origin(*version, other);
    details["changes"] = json!(lines);
    Failure {
        kind: FailureKind::Conflict,
        message,
        details,
    }
}
