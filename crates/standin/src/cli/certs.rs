//! Sub-command `monsoon-standin certs`.

use std::path::PathBuf;

use gumdrop::Options;
use monsoon_standin::error::Error;
use monsoon_standin::{certs, lifetime};

/// Writes test certificates and the keys file.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "directory to write to")]
    dir: PathBuf,
}

/// Writes the files and prints the ready line.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    certs::write(&arguments.dir)?;
    lifetime::announce_ready(&[("dir", arguments.dir.display().to_string())])
}
