//! Child processes of tests: start, wait for readiness, signal and reap.
//!
//! A child prints a line `ready key=value ...` when it serves. Signals go to the process number of
//! a child that has not been reaped, so they cannot reach another process. A child that is dropped
//! is killed and reaped.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use rustix::process::{Pid, kill_process};

/// Most remembered lines of a child's standard output; the oldest are dropped first.
pub const MAX_OUTPUT_LINES: usize = 10_000;

/// Time between two looks at a child that should end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Signal to a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Ends the process at once, like a crash.
    Kill,
    /// Pauses the process.
    Stop,
    /// Resumes a paused process.
    Continue,
    /// Asks the process to end gracefully.
    Terminate,
}

impl From<Signal> for rustix::process::Signal {
    fn from(signal: Signal) -> Self {
        match signal {
            Signal::Kill => Self::KILL,
            Signal::Stop => Self::STOP,
            Signal::Continue => Self::CONT,
            Signal::Terminate => Self::TERM,
        }
    }
}

/// Reason why a child could not be used.
#[derive(Debug, Display, Error)]
pub enum ProcessError {
    /// The program could not be started.
    #[display("{program}: {source}; build it first")]
    Start {
        /// Path of the program.
        program: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The child ended or closed its output before it was ready.
    #[display("{program} ended before it was ready; read its standard error")]
    Ended {
        /// Path of the program.
        program: String,
    },
    /// The child was not ready in time.
    #[display("{program} was not ready after {timeout:?}; read its standard error")]
    NotReady {
        /// Path of the program.
        program: String,
        /// Time that it had.
        timeout: Duration,
    },
    /// The ready line has no such address.
    #[display("the ready line has no address {key}: {line}")]
    NoAddress {
        /// Key that was looked up.
        key: String,
        /// Ready line of the child.
        line: String,
    },
    /// The signal could not be sent.
    #[display("signal failed: {source}; the process has ended")]
    Signal {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Running child that has said that it is ready.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ready_line: String,
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl Process {
    /// Starts `command` and waits until it is ready. Standard output is taken over; the rest of the
    /// command is as the caller set it.
    ///
    /// # Errors
    /// Returns an error when the program does not start or is not ready within `timeout`; the
    /// child is killed and reaped then.
    pub fn start(command: &mut Command, timeout: Duration) -> Result<Self, ProcessError> {
        let program = command.get_program().to_string_lossy().into_owned();
        let child = match command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn() {
            Ok(child) => child,
            Err(source) => return Err(ProcessError::Start { program, source }),
        };
        let mut process = Self {
            child,
            ready_line: String::new(),
            lines: Arc::default(),
        };
        let (sender, receiver) = mpsc::channel();
        if let Some(output) = process.child.stdout.take() {
            let recent = Arc::clone(&process.lines);
            // Ends when the child closes its output.
            thread::spawn(move || read_lines(output, &sender, &recent));
        }
        process.ready_line = match receiver.recv_timeout(timeout) {
            Ok(line) => line,
            Err(mpsc::RecvTimeoutError::Timeout) => {
                return Err(ProcessError::NotReady { program, timeout });
            }
            Err(mpsc::RecvTimeoutError::Disconnected) => {
                return Err(ProcessError::Ended { program });
            }
        };
        Ok(process)
    }

    /// Process number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Values of the ready line.
    pub fn ready_values(&self) -> BTreeMap<&str, &str> {
        let words = self.ready_line.split_whitespace();
        words.filter_map(|word| word.split_once('=')).collect()
    }

    /// Address that the ready line gives for `key`.
    ///
    /// # Errors
    /// Returns an error when the line has no such key or its value is no address.
    pub fn address(&self, key: &str) -> Result<SocketAddr, ProcessError> {
        let value = self
            .ready_values()
            .get(key)
            .and_then(|text| text.parse().ok());
        value.ok_or_else(|| ProcessError::NoAddress {
            key: key.to_owned(),
            line: self.ready_line.clone(),
        })
    }

    /// Lines of standard output so far, the ready line excluded.
    pub fn lines(&self) -> Vec<String> {
        lock(&self.lines).iter().cloned().collect()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Returns an error when the child has ended and was reaped.
    pub fn signal(&mut self, signal: Signal) -> Result<(), ProcessError> {
        let ended = self
            .child
            .try_wait()
            .map_err(|source| ProcessError::Signal { source })?;
        if let Some(status) = ended {
            let source = io::Error::other(status.to_string());
            return Err(ProcessError::Signal { source });
        }
        kill_process(Pid::from_child(&self.child), signal.into()).map_err(|fault| {
            ProcessError::Signal {
                source: fault.into(),
            }
        })
    }

    /// Waits until the child has ended; none when it still runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that the child has ended already.
        if self.child.kill().is_err() {
            log::debug!("process: {} had ended", self.child.id());
        }
        if let Err(error) = self.child.wait() {
            log::warn!("process: {} was not reaped: {error}", self.child.id());
        }
    }
}

fn lock(lines: &Mutex<VecDeque<String>>) -> MutexGuard<'_, VecDeque<String>> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}

fn read_lines(
    output: ChildStdout,
    ready_line: &mpsc::Sender<String>,
    recent: &Mutex<VecDeque<String>>,
) {
    let mut is_waiting = true;
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        if is_waiting && line.starts_with("ready") {
            is_waiting = false;
            // The receiver is gone when the child was too late.
            let _too_late = ready_line.send(line);
            continue;
        }
        let mut recent = lock(recent);
        if recent.len() >= MAX_OUTPUT_LINES {
            recent.pop_front();
        }
        recent.push_back(line);
    }
}
