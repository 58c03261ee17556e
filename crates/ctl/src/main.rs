//! `monsoonctl`: the operators' command line. It checks and writes documents, takes data centres
//! out of service, and shows the state of an environment.

mod arguments;
mod change;
mod document;
mod evacuations;
mod explain;
mod failure;
mod histogram;
mod objects;
mod report;
mod run;
mod status;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    run::run(&args)
}
