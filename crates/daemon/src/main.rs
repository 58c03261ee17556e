//! `monsoonrouter`, the daemon. Its settings file names the role: `balancer` or `agent`.

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
mod tls;

use std::process::ExitCode;

use args::Args;
use gumdrop::Options;
use settings::{Role, Settings};

/// Exit code of settings that cannot be used and of a process that cannot start.
const EXIT_REFUSED: u8 = 1;
/// Exit code of a wrong command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("monsoonrouter {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = &args.settings else {
        eprintln!("monsoonrouter: name the settings file with --settings FILE");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return refuse(&error),
    };
    if args.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    logs::init(args.json);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => refuse(error.as_ref()),
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

fn refuse(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("monsoonrouter: {error}");
    ExitCode::from(EXIT_REFUSED)
}
