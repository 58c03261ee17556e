//! Sub-command `monsoon-standin caller`.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use monsoon_standin::caller::{self, ClassSet, Settings};
use monsoon_standin::error::Error;
use monsoon_standin::lifetime::{self, ShutdownSignals};

/// Simulates callers, then prints the outcomes of their flows and requests.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "service address")]
    service: Option<SocketAddr>,
    #[options(no_short, required, help = "CA certificate file")]
    ca: PathBuf,
    #[options(
        no_short,
        required,
        help = "name of the service in TLS and in requests"
    )]
    server_name: String,
    #[options(
        no_short,
        default = "10",
        help = "time after which the caller ends its flows"
    )]
    seconds: f64,
    #[options(
        no_short,
        default = "karavanex",
        help = "request classes: karavanex or directorate"
    )]
    class_set: String,
    #[options(
        no_short,
        default = "4",
        help = "connections that flows and requests are spread over"
    )]
    connections: usize,
    #[options(
        no_short,
        default = "0",
        help = "boards or catalogues open at the same time"
    )]
    boards: usize,
    #[options(no_short, default = "0", help = "holds or checks per second")]
    holds_per_second: f64,
    #[options(no_short, default = "0", help = "uploads, spread evenly over the time")]
    uploads: usize,
    #[options(no_short, default = "65536", help = "bytes of each upload")]
    upload_bytes: usize,
    #[options(
        no_short,
        default = "/photos",
        help = "path below which uploads are stored"
    )]
    upload_path: String,
    #[options(
        no_short,
        help = "send a hold or check again, with the same key, after a broken attempt"
    )]
    resend: bool,
    #[options(
        no_short,
        help = "seed of keys and contents, by default the process number"
    )]
    seed: Option<u64>,
    #[options(no_short, help = "file to write the outcomes to, in JSON")]
    report: Option<PathBuf>,
    #[options(no_short, default = "600", help = "stop after this time")]
    max_seconds: u64,
}

/// Runs a caller and prints its report.
pub async fn run(arguments: Arguments) -> Result<(), Error> {
    let shutdown = ShutdownSignals::install()?;
    let limit = Duration::from_secs(arguments.max_seconds);
    let path = arguments.report.clone();
    let settings = settings(arguments)?;
    lifetime::announce_ready(&[("service", settings.service.to_string())])?;
    let report = caller::run(settings, shutdown.wait(limit)).await?;
    for line in report.lines() {
        println!("{line}");
    }
    match path {
        Some(path) => fs::write(&path, report.to_json().to_string()).map_err(Error::file(&path)),
        None => Ok(()),
    }
}

fn settings(arguments: Arguments) -> Result<Settings, Error> {
    let duration = Duration::try_from_secs_f64(arguments.seconds)
        .map_err(|fault| Error::argument(format!("--seconds: {fault}")))?;
    let service = arguments
        .service
        .ok_or_else(|| Error::argument("--service is missing"))?;
    Ok(Settings {
        service,
        ca: arguments.ca,
        server_name: arguments.server_name,
        duration,
        classes: arguments.class_set.parse::<ClassSet>()?,
        connections: arguments.connections,
        boards: arguments.boards,
        holds_per_second: arguments.holds_per_second,
        uploads: arguments.uploads,
        upload_bytes: arguments.upload_bytes,
        upload_path: arguments.upload_path,
        resend: arguments.resend,
        seed: arguments
            .seed
            .unwrap_or_else(|| u64::from(std::process::id())),
    })
}
