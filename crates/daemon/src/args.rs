//! Command line of `monsoonrouter`.

use std::path::PathBuf;

use gumdrop::Options;

#[derive(Debug, Options)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the command line"
)]
pub struct Args {
    /// Print help and exit
    pub help: bool,
    /// Print the version and exit
    #[options(short = "V")]
    pub version: bool,
    /// Settings file (TOML)
    #[options(meta = "FILE")]
    pub settings: Option<PathBuf>,
    /// Check the settings and exit
    pub check: bool,
    /// Write logs as JSON lines
    pub json: bool,
}
