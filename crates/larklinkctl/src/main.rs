//! The operator's command. Each subcommand is a thin shell over a package; exit code 0: done, 1: found wanting,
//! 2: wrongly called or not to be run.
use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod run;

#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run daemons between stand-in servers and scripted clients, and audit every answer.
    #[command(alias = "rehearse")]
    Run(run::Arguments),
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Run(arguments) => run::execute(&arguments),
    }
}
