//! Sub-command `monsoon-standin platform`.

use std::time::Duration;

use gumdrop::Options;
use monsoon_standin::error::Error;
use monsoon_standin::lifetime::{self, ShutdownSignals};
use monsoon_standin::platform::Platform;

/// Simulates the object API of the platform.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "port on 127.0.0.1, 0 for a free one")]
    port: u16,
    #[options(no_short, default = "600", help = "stop after this time")]
    max_seconds: u64,
}

/// Serves until the process is stopped.
pub async fn run(arguments: &Arguments) -> Result<(), Error> {
    let shutdown = ShutdownSignals::install()?;
    let platform = Platform::start(arguments.port).await?;
    lifetime::announce_ready(&[("address", platform.address().to_string())])?;
    shutdown
        .wait(Duration::from_secs(arguments.max_seconds))
        .await;
    Ok(())
}
