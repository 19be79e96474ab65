//! `coursestand`: the command-line tool for operators and for the testbed.

mod arguments;
mod commands;
mod error;

use std::process::ExitCode;

use gumdrop::Options;

use crate::arguments::{Arguments, Command};
use crate::commands::{bundle, control, demo, drain, explain, inspect, key, lab, schema};

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!("{}", Arguments::usage());
        return ExitCode::from(error::USAGE);
    };
    let result = match command {
        Command::Demo(options) => demo::run(options).await,
        Command::Bundle(options) => bundle::run(options).await,
        Command::Control(options) => control::run(options).await,
        Command::Drain(options) => drain::run(options, true).await,
        Command::Restore(options) => drain::run(options, false).await,
        Command::Dump(options) => inspect::dump(options).await,
        Command::Lookup(options) => inspect::lookup(options).await,
        Command::Explain(options) => explain::run(&options),
        Command::Key(options) => key::run(&options),
        Command::Lab(options) => lab::run(options).await,
        Command::Schema(options) => schema::run(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("coursestand: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
