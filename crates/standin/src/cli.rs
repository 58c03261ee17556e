//! Subcommands and their arguments.

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use monsoon_standin::certs;
use monsoon_standin::error::Error;
use monsoon_standin::lifetime;
use monsoon_standin::platform::Platform;

/// Stand-ins for the systems around monsoonrouter.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "object API of the platform")]
    Platform(PlatformArguments),
    #[options(help = "write test certificates and the keys file")]
    Certs(CertsArguments),
}

#[derive(Debug, Options)]
struct PlatformArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "port on 127.0.0.1, 0 for a free one")]
    port: u16,
    #[options(no_short, default = "600", help = "end by itself after this time")]
    max_seconds: u64,
}

#[derive(Debug, Options)]
struct CertsArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "directory to write to")]
    dir: PathBuf,
}

/// Runs the chosen stand-in until it ends.
///
/// # Errors
/// Returns an error when it could not start.
pub fn run(arguments: Arguments) -> Result<(), Error> {
    let command = arguments
        .command
        .ok_or_else(|| Error::argument("a subcommand is missing"))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::socket("start the runtime"))?;
    runtime.block_on(async {
        match command {
            Command::Platform(arguments) => run_platform(&arguments).await,
            Command::Certs(arguments) => run_certs(&arguments),
        }
    })
}

async fn run_platform(arguments: &PlatformArguments) -> Result<(), Error> {
    let platform = Platform::start(arguments.port).await?;
    lifetime::announce_ready(&[("address", platform.address().to_string())])?;
    lifetime::wait_for_end(Duration::from_secs(arguments.max_seconds)).await
}

fn run_certs(arguments: &CertsArguments) -> Result<(), Error> {
    certs::write(&arguments.dir)?;
    lifetime::announce_ready(&[("dir", arguments.dir.display().to_string())])
}
