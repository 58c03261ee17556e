//! Child processes of tests: start, wait for readiness, signal and reap.
//!
//! A child prints a line `ready key=value ...` when it serves. A signal is sent only to a child
//! that has not been reaped, so its process number cannot belong to another process. A child that
//! is dropped is killed and reaped.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use rustix::process::{Pid, kill_process};

/// Most stored lines of a child's standard output; the oldest are dropped first.
pub const MAX_OUTPUT_LINES: usize = 10_000;

/// Interval of the checks whether a child has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Signal that can be sent to a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGKILL: ends the process at once, like a crash.
    Kill,
    /// SIGSTOP: suspends the process.
    Stop,
    /// SIGCONT: resumes a suspended process.
    Continue,
    /// SIGTERM: asks the process to stop gracefully.
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

/// Reason why a child could not be started, addressed or signalled.
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
    #[display("{program} ended before it printed its ready line; read its standard error")]
    Ended {
        /// Path of the program.
        program: String,
    },
    /// The child was not ready in time.
    #[display("{program} printed no ready line within {timeout:?}; read its standard error")]
    NotReady {
        /// Path of the program.
        program: String,
        /// Time limit that passed.
        timeout: Duration,
    },
    /// The ready line has no such address.
    #[display("the ready line has no address {key}: {line}")]
    NoAddress {
        /// Key of the address.
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

/// Running child that has printed its ready line.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ready_line: String,
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl Process {
    /// Starts `command` and waits until it is ready. Standard input is empty and standard output
    /// is captured; everything else stays as set in `command`.
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
            // The thread ends when the child closes its output.
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

    /// Values of the ready line by key.
    pub fn ready_values(&self) -> BTreeMap<&str, &str> {
        let words = self.ready_line.split_whitespace();
        words.filter_map(|word| word.split_once('=')).collect()
    }

    /// Address that the ready line gives for `key`.
    ///
    /// # Errors
    /// Returns an error when the line has no such key or its value is not an address.
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

    /// Latest lines of standard output, up to [`MAX_OUTPUT_LINES`], without the ready line.
    pub fn lines(&self) -> Vec<String> {
        lock(&self.lines).iter().cloned().collect()
    }

    /// Sends a signal to the child.
    ///
    /// # Errors
    /// Returns an error when the child has ended.
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

    /// Waits until the child has ended; none if it still runs after `timeout`.
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
        // An error means that the child has already ended.
        if self.child.kill().is_err() {
            log::debug!("process: {} had already ended", self.child.id());
        }
        if let Err(error) = self.child.wait() {
            log::warn!("process: reaping {} failed: {error}", self.child.id());
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
            // The receiver is gone if the ready line came after the timeout.
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
