//! Sub-command `monsoon-standin target`.

use std::time::Duration;

use gumdrop::Options;
use monsoon_standin::error::Error;
use monsoon_standin::lifetime::{self, ShutdownSignals};
use monsoon_standin::target::{Settings, Target};

/// Simulates a target with slots, cold start and drain.
#[derive(Debug, Options)]
pub struct Arguments {
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
    #[options(
        no_short,
        default = "1.0",
        help = "speed; 1 means 20 ms for each request"
    )]
    speed: f64,
    #[options(no_short, default = "0", help = "time in cold start after the start")]
    cold_seconds: f64,
    #[options(
        no_short,
        default = "0.1",
        help = "share of the slots that is available in cold start"
    )]
    cold_share: f64,
    #[options(no_short, default = "100", help = "time between two lines of a stream")]
    tick_ms: u64,
    #[options(
        no_short,
        default = "0",
        help = "age of the state that /health reports"
    )]
    health_lag_ms: u64,
    #[options(
        no_short,
        default = "20",
        help = "time from a drain to the end of the streams"
    )]
    drain_seconds: f64,
    #[options(no_short, default = "600", help = "stop after this time")]
    max_seconds: u64,
}

/// Serves until the process is stopped, then waits for open requests and streams.
pub async fn run(arguments: Arguments) -> Result<(), Error> {
    let shutdown = ShutdownSignals::install()?;
    let target = Target::start(Settings {
        port: arguments.port,
        name: arguments.name.clone(),
        slots: arguments.slots,
        connections: arguments.connections,
        speed: arguments.speed,
        cold_duration: seconds("--cold-seconds", arguments.cold_seconds)?,
        cold_share: arguments.cold_share,
        tick_interval: Duration::from_millis(arguments.tick_ms),
        health_lag: Duration::from_millis(arguments.health_lag_ms),
        drain_duration: seconds("--drain-seconds", arguments.drain_seconds)?,
    })
    .await?;
    let address = target.address().to_string();
    lifetime::announce_ready(&[("address", address), ("name", arguments.name)])?;
    shutdown
        .wait(Duration::from_secs(arguments.max_seconds))
        .await;
    target.finish().await;
    Ok(())
}

fn seconds(name: &str, value: f64) -> Result<Duration, Error> {
    Duration::try_from_secs_f64(value)
        .map_err(|fault| Error::argument(format!("{name} {value}: {fault}")))
}
