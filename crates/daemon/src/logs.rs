//! Log output on standard error, as plain text or JSON lines.

use logforth::layout::{JsonLayout, PlainTextLayout};

/// Starts logging, as JSON lines if `json` is set. `RUST_LOG` selects the levels; the default is
/// `info` and above.
pub fn init(json: bool) {
    let filter =
        logforth::filter::rustlog::RustLogFilterBuilder::from_default_env_or("info").build();
    let builder = logforth::starter_log::stderr().filter(filter);
    if json {
        builder.layout(JsonLayout::default()).apply();
    } else {
        builder.layout(PlainTextLayout::default()).apply();
    }
}
