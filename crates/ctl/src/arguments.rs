//! Arguments of the command line. Their doc comments are the help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

/// Text below the list of commands in `--help`.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done, or nothing to do
  1  refused: the input or the state in force does not permit it; nothing was written
  2  wrong usage
  3  conflict: another operator's change came first; it is shown
  4  the store did not answer; nothing was written
  5  the outcome of a write is unknown; look at it before running the command again";

/// Manages the environments of monsoonrouter. Options come before the command.
#[derive(Debug, Options)]
pub struct Arguments {
    /// show this help
    pub help: bool,
    /// address of the store as IP:port, repeatable (default: `MONSOON_STORE`, comma-separated)
    #[options(no_short, meta = "ADDR")]
    pub store: Vec<SocketAddr>,
    /// environment, such as trial or production
    #[options(no_short, meta = "NAME")]
    pub env: Option<String>,
    /// author recorded with each change (default: USER)
    #[options(no_short, meta = "NAME")]
    pub author: Option<String>,
    /// seconds to wait for the outcome of a write
    #[options(no_short, meta = "SECONDS", default = "10")]
    pub patience: u32,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// command
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of `monsoonctl`.
#[derive(Debug, Options)]
pub enum Command {
    /// check a document file, without the store
    Check(FileArguments),
    /// write a document file to the environment
    Apply(ApplyArguments),
    /// copy the document of one environment to another
    Promote(PromoteArguments),
    /// show what a document file would change
    Diff(FileArguments),
    /// show the document, the data centres and the versions in force in each process
    Status(NoArguments),
    /// take a data centre out of service or bring it back
    Dc(DcArguments),
    /// show latencies and outcomes of requests, read from processes
    Histogram(HistogramArguments),
    /// show where a balancer would send a request now, and why
    Explain(ExplainArguments),
}

/// Reads a document file and writes nothing.
#[derive(Debug, Options)]
pub struct FileArguments {
    /// show this help
    pub help: bool,
    /// document file
    #[options(free, required)]
    pub file: PathBuf,
}

/// Writes a document file; fails if the document was changed meanwhile.
#[derive(Debug, Options)]
pub struct ApplyArguments {
    /// show this help
    pub help: bool,
    /// replace a document that cannot be read, without checking its numbers
    #[options(no_short)]
    pub force: bool,
    /// document file
    #[options(free, required)]
    pub file: PathBuf,
}

/// Copies a document after the same checks as apply.
#[derive(Debug, Options)]
pub struct PromoteArguments {
    /// show this help
    pub help: bool,
    /// environment to copy from
    #[options(free, required)]
    pub from: String,
    /// environment to copy to
    #[options(free, required)]
    pub to: String,
}

/// Shows which processes run an older version than the store has.
#[derive(Debug, Options)]
pub struct NoArguments {
    /// show this help
    pub help: bool,
}

/// Takes a data centre out of service or brings it back.
#[derive(Debug, Options)]
pub struct DcArguments {
    /// show this help
    pub help: bool,
    /// command
    #[options(command, required)]
    pub command: Option<DcCommand>,
}

/// Commands of `dc`.
#[derive(Debug, Options)]
pub enum DcCommand {
    /// take a data centre out of service: its flows are closed within 3 s
    Out(DataCentreArguments),
    /// bring a data centre back into service
    In(DataCentreArguments),
}

/// Writes the set of data centres out; fails if the set was changed meanwhile.
#[derive(Debug, Options)]
pub struct DataCentreArguments {
    /// show this help
    pub help: bool,
    /// take out the last data centre, or replace a set that cannot be read
    #[options(no_short)]
    pub force: bool,
    /// name of the data centre
    #[options(free, required)]
    pub name: String,
}

/// Merges the rows of all addresses; the tables show milliseconds, JSON microseconds.
#[derive(Debug, Options)]
pub struct HistogramArguments {
    /// show this help
    pub help: bool,
    /// admin address of a process as IP:port, repeatable; the rows of all are merged
    #[options(no_short, required, meta = "ADDR")]
    pub at: Vec<SocketAddr>,
    /// further admin addresses
    #[options(free)]
    pub more: Vec<SocketAddr>,
}

/// Asks a balancer where it would place a flow. Nothing is sent and no state changes.
#[derive(Debug, Options)]
pub struct ExplainArguments {
    /// show this help
    pub help: bool,
    /// peer or metrics address of the balancer as HOST:PORT
    #[options(no_short, required, meta = "ADDR")]
    pub balancer: String,
    /// address of the caller as IP:PORT
    #[options(no_short, required, meta = "ADDR")]
    pub caller: String,
    /// address to which the caller sends, as IP:PORT
    #[options(no_short, required, meta = "ADDR")]
    pub address: String,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
}
