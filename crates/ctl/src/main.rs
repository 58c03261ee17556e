//! Command line of the operators.

mod arguments;
mod change;
mod document;
mod evacuations;
mod failure;
mod histogram;
mod objects;
mod report;
mod run;
mod status;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    run::run(&words)
}
