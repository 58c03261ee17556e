//! `monsoonrouter`, the daemon of the QUIC data path.
//!
//! The settings file names its role. A `balancer` forwards the datagrams of callers to agents. An
//! `agent` runs beside a target: it terminates QUIC flows and runs their HTTP/3 requests there.

mod admin;
mod agent;
mod args;
mod balancer;
mod clock;
mod configuration;
mod context;
mod control;
mod counters;
mod logs;
mod peer;
mod settings;
mod signals;
mod sockets;
mod task;
mod tls;

use std::process::ExitCode;

use args::Args;
use gumdrop::Options;
use settings::{Role, Settings};

/// Exit code for unusable settings and for a process that cannot start.
const EXIT_FAILURE: u8 = 1;
/// Exit code for a wrong command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("monsoonrouter {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = &args.settings else {
        eprintln!("monsoonrouter: no settings file is given; name it with --settings FILE");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if args.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    logs::init(args.json);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error.as_ref()),
    }
}

fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    match settings.role.clone() {
        Role::Balancer { binds } => runtime.block_on(balancer::run(settings, binds))?,
        Role::Agent { service, target } => {
            runtime.block_on(agent::run(settings, &service, target))?;
        }
    }
    Ok(())
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("monsoonrouter: {error}");
    ExitCode::from(EXIT_FAILURE)
}
