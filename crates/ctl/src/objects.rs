//! Objects of an environment: reads, and conditional writes that never overwrite another change.

use monsoon_config::Faults;
use monsoon_lease::WriteOutcome;
use monsoon_model::{Duration, Version};
use monsoon_store::{Client, StoredObject, WriteResult, is_object_name, write_conditionally};
use serde_json::{Value, json};

use crate::change::change_id;
use crate::failure::{Failure, FailureKind};
use crate::report::{indent_lines, strip_control};

/// Environment that a command works on, and the operator.
#[derive(Debug)]
pub struct Context {
    /// Client of the store.
    pub client: Client,
    /// Name of the environment.
    pub env: String,
    /// Operator, recorded with each change.
    pub author: String,
    /// Longest time to wait for the outcome of a write.
    pub write_timeout: Duration,
}

impl Context {
    /// Creates a context; fails if `env` is not a valid name.
    pub fn new(
        client: Client,
        env: &str,
        author: String,
        write_timeout: Duration,
    ) -> Result<Self, Failure> {
        if env.contains('/') || !is_object_name(env) {
            let message = format!(
                "\"{env}\" is not a valid environment name; use letters, digits and hyphens"
            );
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

/// Object that was read; its text may have faults.
#[derive(Debug)]
pub struct ParsedObject<T> {
    /// Version in the store.
    pub version: Version,
    /// Stored value.
    pub stored: StoredObject,
    /// Parsed text, or its faults.
    pub parsed: Result<T, Faults>,
}

impl<T> ParsedObject<T> {
    /// Version, author and change as text.
    pub fn origin_text(&self) -> String {
        origin_text(self.version, &self.stored)
    }

    /// Version, author and change for `--json`.
    pub fn json(&self) -> Value {
        origin_json(self.version, &self.stored)
    }
}

fn origin_text(version: Version, stored: &StoredObject) -> String {
    let (author, change) = (strip_control(&stored.author), strip_control(&stored.change));
    format!("version {version} by {author} (change {change})")
}

fn origin_json(version: Version, stored: &StoredObject) -> Value {
    json!({"version": version, "author": stored.author, "change": stored.change})
}

/// Reads and parses an object; `None` if it does not exist.
pub async fn read<T>(
    client: &Client,
    name: &str,
    parse: impl FnOnce(&str) -> Result<T, Faults>,
) -> Result<Option<ParsedObject<T>>, Failure> {
    let object = client.get(name).await?;
    Ok(object.map(|(version, stored)| {
        let parsed = parse(&stored.text);
        ParsedObject {
            version,
            stored,
            parsed,
        }
    }))
}

/// Change that was written.
#[derive(Clone, Debug)]
pub struct AppliedChange {
    /// New version.
    pub version: Version,
    /// Id of the change.
    pub change: String,
}

/// Writes a text if the object still has the version `before` (`None`: does not exist).
///
/// After a conflict, `compare` lists what the other operator's text changes against the text that
/// was read before.
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
    Err(write_failure(&result, name, &change, compare))
}

fn write_failure(
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
            let start = "your change may have been in force for a moment, but was replaced";
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
            "{start}; the object does not exist or cannot be read; run \
             monsoonctl status, then the command again"
        );
        return Failure::new(FailureKind::Conflict, message);
    };
    let lines = compare(&other.text);
    let message = format!(
        "{start}: {}:{}\nlook at it, then run the command again if it is still wanted",
        origin_text(*version, other),
        indent_lines(&lines)
    );
    let mut details = origin_json(*version, other);
    details["changes"] = json!(lines);
    Failure {
        kind: FailureKind::Conflict,
        message,
        details,
    }
}
