//! Log lines on standard output. A slow reader loses lines, but never blocks the process.

use std::io::ErrorKind;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};

/// Lines lost since the start because standard output was full.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes each record as one line, and drops it when standard output is full.
#[derive(Debug)]
struct StdoutAppender;

impl Append for StdoutAppender {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let level = record.level().name();
        // The time is only for readers of the log; one before 1970 is written as zero.
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = time.unwrap_or_default().as_millis();
        let line = format!("time={millis} level={level} {}\n", record.payload());
        match rustix::io::write(rustix::stdio::stdout(), line.as_bytes()) {
            Ok(written) if written == line.len() => {}
            _ => {
                LOST_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Number of lines lost since the start because standard output was full.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Starts logging at level `info` and above.
///
/// # Errors
/// Returns an error when standard output cannot be made non-blocking, or logging was started
/// before.
pub fn init() -> std::io::Result<()> {
    let stdout = rustix::stdio::stdout();
    let flags = rustix::fs::fcntl_getfl(stdout)?;
    let nonblocking = flags | rustix::fs::OFlags::NONBLOCK;
    rustix::fs::fcntl_setfl(stdout, nonblocking)?;
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(StdoutAppender))
        .try_apply()
        .map_err(|error| std::io::Error::new(ErrorKind::AlreadyExists, error.to_string()))?;
    log::set_max_level(log::LevelFilter::Info);
    Ok(())
}
