//! Sub-command `monsoon-standin fabric`.

use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use monsoon_standin::error::Error;
use monsoon_standin::fabric::{Fabric, Rates, Settings};
use monsoon_standin::lifetime::{self, ShutdownSignals};

/// Simulates the network that sprays the datagrams of callers over the balancers.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        default = "127.0.0.1:0",
        help = "service address for callers"
    )]
    listen: SocketAddr,
    #[options(
        no_short,
        default = "127.0.0.1:0",
        help = "address of the HTTP control"
    )]
    control: SocketAddr,
    #[options(no_short, help = "balancer address, repeatable or separated by commas")]
    balancer: Vec<String>,
    #[options(no_short, default = "0", help = "share of lost datagrams, 0 to 1")]
    loss: f64,
    #[options(
        no_short,
        default = "0",
        help = "share of duplicated datagrams, 0 to 1"
    )]
    duplicate: f64,
    #[options(no_short, default = "0", help = "share of delayed datagrams, 0 to 1")]
    reorder: f64,
    #[options(no_short, default = "1", help = "seed of all random choices")]
    seed: u64,
    #[options(no_short, default = "600", help = "stop after this time")]
    max_seconds: u64,
}

/// Forwards datagrams until the process is stopped.
pub async fn run(arguments: Arguments) -> Result<(), Error> {
    let shutdown = ShutdownSignals::install()?;
    if arguments.control.ip() != SocketAddr::from(([127, 0, 0, 1], 0)).ip() {
        return Err(Error::argument("--control must be on 127.0.0.1"));
    }
    let fabric = Fabric::start(Settings {
        listen: arguments.listen,
        control_port: arguments.control.port(),
        balancers: balancers(&arguments.balancer)?,
        rates: Rates {
            loss: arguments.loss,
            duplicate: arguments.duplicate,
            reorder: arguments.reorder,
        },
        seed: arguments.seed,
    })
    .await?;
    lifetime::announce_ready(&[
        ("address", fabric.address().to_string()),
        ("control", fabric.control_address().to_string()),
    ])?;
    shutdown
        .wait(Duration::from_secs(arguments.max_seconds))
        .await;
    Ok(())
}

fn balancers(values: &[String]) -> Result<Vec<SocketAddr>, Error> {
    let parse = |text: &str| {
        text.parse()
            .map_err(|_fault| Error::argument(format!("--balancer {text} is not an address")))
    };
    values
        .iter()
        .flat_map(|value| value.split(','))
        .map(parse)
        .collect()
}
