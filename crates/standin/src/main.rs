//! Command line of the stand-ins.

mod cli;

use std::process::ExitCode;

use gumdrop::Options as _;

fn main() -> ExitCode {
    logforth::starter_log::stderr().apply();
    let arguments = cli::Arguments::parse_args_default_or_exit();
    match cli::run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}
