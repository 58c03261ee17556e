//! Sub-commands and their arguments.

mod caller;
mod certs;
mod fabric;
mod platform;
mod target;

use gumdrop::Options;
use monsoon_standin::error::Error;

/// Simulates the systems around monsoonrouter for tests.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "simulate the object API of the platform")]
    Platform(platform::Arguments),
    #[options(help = "simulate a target with slots, cold start and drain")]
    Target(target::Arguments),
    #[options(help = "simulate the network that sprays datagrams over the balancers")]
    Fabric(fabric::Arguments),
    #[options(help = "simulate callers with HTTP/3 flows, requests and uploads")]
    Caller(caller::Arguments),
    #[options(help = "write test certificates and the keys file")]
    Certs(certs::Arguments),
}

/// Runs the chosen stand-in until it stops.
///
/// # Errors
/// Returns an error when it could not start or not write its output.
pub fn run(arguments: Arguments) -> Result<(), Error> {
    let command = arguments
        .command
        .ok_or_else(|| Error::argument("the sub-command is missing"))?;
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
