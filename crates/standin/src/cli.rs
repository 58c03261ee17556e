//! Subcommands and their arguments.

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use monsoon_standin::certs;
use monsoon_standin::error::Error;
use monsoon_standin::lifetime;
use monsoon_standin::platform::Platform;
use monsoon_standin::target::{Settings, Target};

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
    #[options(help = "service with slots, cold start and drain")]
    Target(TargetArguments),
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
struct TargetArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "port on 127.0.0.1, 0 for a free one")]
    port: u16,
    #[options(
        no_short,
        default = "target",
        help = "name in the record and in responses"
    )]
    name: String,
    #[options(no_short, default = "4", help = "concurrent requests when warm")]
    slots: u32,
    #[options(no_short, default = "2000", help = "concurrent streams")]
    connections: u32,
    #[options(no_short, default = "1.0", help = "speed, 1 for 20 ms a request")]
    speed: f64,
    #[options(no_short, default = "0", help = "time in cold start after the start")]
    cold_seconds: u64,
    #[options(
        no_short,
        default = "0.1",
        help = "share of the slots carried in cold start"
    )]
    cold_share: f64,
    #[options(no_short, default = "100", help = "time between two lines of a stream")]
    tick_ms: u64,
    #[options(no_short, default = "0", help = "age of the state that /health shows")]
    health_lag_ms: u64,
    #[options(
        no_short,
        default = "20",
        help = "time from a drain to the end of the streams"
    )]
    drain_seconds: u64,
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
            Command::Target(arguments) => run_target(arguments).await,
            Command::Certs(arguments) => run_certs(&arguments),
        }
    })
}

async fn run_platform(arguments: &PlatformArguments) -> Result<(), Error> {
    let platform = Platform::start(arguments.port).await?;
    lifetime::announce_ready(&[("address", platform.address().to_string())])?;
    lifetime::wait_for_end(Duration::from_secs(arguments.max_seconds)).await
}

async fn run_target(arguments: TargetArguments) -> Result<(), Error> {
    let target = Target::start(Settings {
        port: arguments.port,
        name: arguments.name.clone(),
        slots: arguments.slots,
        connections: arguments.connections,
        speed: arguments.speed,
        cold_time: Duration::from_secs(arguments.cold_seconds),
        cold_share: arguments.cold_share,
        tick: Duration::from_millis(arguments.tick_ms),
        health_lag: Duration::from_millis(arguments.health_lag_ms),
        drain_time: Duration::from_secs(arguments.drain_seconds),
    })
    .await?;
    let address = target.address().to_string();
    lifetime::announce_ready(&[("address", address), ("name", arguments.name)])?;
    lifetime::wait_for_end(Duration::from_secs(arguments.max_seconds)).await?;
    target.finish().await;
    Ok(())
}

fn run_certs(arguments: &CertsArguments) -> Result<(), Error> {
    certs::write(&arguments.dir)?;
    lifetime::announce_ready(&[("dir", arguments.dir.display().to_string())])
}
