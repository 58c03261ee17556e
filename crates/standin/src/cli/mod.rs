//! Subcommands and their arguments.

mod caller;
mod certs;
mod fabric;
mod platform;
mod target;

use gumdrop::Options;
use monsoon_standin::error::Error;

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
    Platform(platform::Arguments),
    #[options(help = "service with slots, cold start and drain")]
    Target(target::Arguments),
    #[options(help = "spray datagrams of callers over the balancers")]
    Fabric(fabric::Arguments),
    #[options(help = "HTTP/3 flows, requests and uploads")]
    Caller(caller::Arguments),
    #[options(help = "write test certificates and the keys file")]
    Certs(certs::Arguments),
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
            Command::Platform(arguments) => platform::run(&arguments).await,
            Command::Target(arguments) => target::run(arguments).await,
            Command::Fabric(arguments) => fabric::run(arguments).await,
            Command::Caller(arguments) => caller::run(arguments).await,
            Command::Certs(arguments) => certs::run(&arguments),
        }
    })
}
