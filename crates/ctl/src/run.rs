//! Parses the arguments, runs the command and sets the exit code.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;
use monsoon_model::Duration;
use monsoon_store::Client;

use crate::arguments::{Arguments, Command, DcCommand, EXIT_CODES};
use crate::failure::{Failure, FailureKind};
use crate::objects::Context;
use crate::report::Report;
use crate::{document, evacuations, explain, histogram, status};

/// Runs the command and prints its result.
pub fn run(args: &[String]) -> ExitCode {
    let arguments = match Arguments::parse_args_default(args) {
        Ok(arguments) => arguments,
        Err(error) => {
            let json = args.iter().any(|arg| arg == "--json");
            let mut reason = error.to_string();
            if reason.contains("free argument") {
                // gumdrop does not name the positional argument.
                "the file or name after the command is missing or repeated".clone_into(&mut reason);
            }
            let message = format!("{reason}; run monsoonctl COMMAND --help");
            return fail(&Failure::new(FailureKind::Usage, message), json);
        }
    };
    if arguments.help_requested() {
        print(&help(&arguments));
        return ExitCode::SUCCESS;
    }
    let json = arguments.json || matches!(&arguments.command, Some(Command::Explain(e)) if e.json);
    match execute(&arguments) {
        Ok(report) if json => print(&report.json.to_string()),
        Ok(report) => print(&report.text),
        Err(failure) => return fail(&failure, json),
    }
    ExitCode::SUCCESS
}

fn help(arguments: &Arguments) -> String {
    if let Some(command) = &arguments.command {
        let mut name = command.command_name().unwrap_or_default().to_owned();
        if let Some(inner) = command.command().and_then(Options::command_name) {
            name = format!("{name} {inner}");
        }
        let commands = command.self_command_list();
        let commands = commands.map_or(String::new(), |list| format!("\n\nCommands:\n{list}"));
        return format!(
            "Usage: monsoonctl [OPTIONS] {name}\n\n{}{commands}",
            command.self_usage()
        );
    }
    let (options, commands) = (Arguments::usage(), Command::usage());
    format!(
        "Usage: monsoonctl [OPTIONS] COMMAND\n\n{options}\n\nCommands:\n{commands}\n\n{EXIT_CODES}"
    )
}

fn fail(failure: &Failure, json: bool) -> ExitCode {
    if json {
        print(&failure.json().to_string());
    } else {
        // If standard error is closed, there is nowhere to report it.
        drop(writeln!(
            std::io::stderr(),
            "monsoonctl: {}",
            failure.message
        ));
    }
    ExitCode::from(failure.kind as u8)
}

fn print(text: &str) {
    // A reader such as `head` may close the pipe early; the command has not failed then.
    drop(writeln!(std::io::stdout(), "{text}"));
}

fn execute(arguments: &Arguments) -> Result<Report, Failure> {
    let Some(command) = &arguments.command else {
        return Err(Failure::new(
            FailureKind::Usage,
            "no command is given; run monsoonctl --help",
        ));
    };
    if let Command::Check(check) = command {
        return document::check(&check.file);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| {
        Failure::refused(format!(
            "the event loop cannot start ({error}); raise the limit of open files"
        ))
    })?;
    runtime.block_on(dispatch(arguments, command))
}

async fn dispatch(arguments: &Arguments, command: &Command) -> Result<Report, Failure> {
    if let Command::Histogram(histogram) = command {
        return histogram::show(histogram.at.iter().chain(&histogram.more)).await;
    }
    if let Command::Explain(explain) = command {
        return explain::show(explain).await;
    }
    let client = Client::new(store_addresses(arguments)?)?;
    let author = || author(arguments);
    let write_timeout = Duration::from_secs(u64::from(arguments.patience));
    if let Command::Promote(promote) = command {
        let context = Context::new(client, &promote.to, author()?, write_timeout)?;
        return document::promote(&context, &promote.from).await;
    }
    let Some(env) = &arguments.env else {
        let message = "no environment is given; add --env NAME before the command";
        return Err(Failure::new(FailureKind::Usage, message));
    };
    let is_read_only = matches!(command, Command::Diff(_) | Command::Status(_));
    let author = if is_read_only {
        String::new()
    } else {
        author()?
    };
    let context = Context::new(client, env, author, write_timeout)?;
    match command {
        Command::Apply(apply) => document::apply(&context, &apply.file, apply.force).await,
        Command::Diff(diff) => document::diff_file(&context, &diff.file).await,
        Command::Status(_) => status::show(&context).await,
        Command::Dc(dc) => match &dc.command {
            Some(DcCommand::Out(data_centre)) => {
                evacuations::evacuate(&context, &data_centre.name, data_centre.force).await
            }
            Some(DcCommand::In(data_centre)) => {
                evacuations::restore(&context, &data_centre.name, data_centre.force).await
            }
            None => Err(Failure::new(
                FailureKind::Usage,
                "dc needs out or in; run monsoonctl dc --help",
            )),
        },
        Command::Check(_) | Command::Promote(_) | Command::Histogram(_) | Command::Explain(_) => {
            Err(Failure::new(
                FailureKind::Usage,
                "the command is unknown; run monsoonctl --help",
            ))
        }
    }
}

fn store_addresses(arguments: &Arguments) -> Result<Vec<SocketAddr>, Failure> {
    if !arguments.store.is_empty() {
        return Ok(arguments.store.clone());
    }
    let usage = |message: String| Failure::new(FailureKind::Usage, message);
    let text = std::env::var("MONSOON_STORE").unwrap_or_default();
    let entries = text
        .split(',')
        .map(str::trim)
        .filter(|entry| !entry.is_empty());
    let parse = |entry: &str| {
        entry.parse().map_err(|error| {
            usage(format!(
                "MONSOON_STORE: \"{entry}\": {error}; write IP:port, comma-separated"
            ))
        })
    };
    let stores = entries.map(parse).collect::<Result<Vec<_>, _>>()?;
    if stores.is_empty() {
        return Err(usage(
            "no store is given; add --store IP:port or set MONSOON_STORE".to_owned(),
        ));
    }
    Ok(stores)
}

fn author(arguments: &Arguments) -> Result<String, Failure> {
    let author = arguments
        .author
        .clone()
        .or_else(|| std::env::var("USER").ok());
    author
        .filter(|name| !name.trim().is_empty())
        .ok_or_else(|| {
            let message = "no author is given; add --author NAME or set USER";
            Failure::new(FailureKind::Usage, message)
        })
}
