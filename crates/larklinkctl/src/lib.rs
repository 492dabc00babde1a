//! The operator's command. Each subcommand is a thin shell over a package; exit code 0: done, 1: findings, 2: wrong
//! usage, or a run that could not be made.
use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod run;
mod shipped;
mod tables;

#[derive(Parser)]
#[command(name = "larklinkctl", version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run proxies between stand-in servers and scripted clients, and audit every answer.
    #[command(alias = "rehearse")]
    Run(run::Arguments),
}

/// Parses the arguments of the process and runs the subcommand that they name. Wrong usage ends the process.
#[must_use]
pub fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Run(arguments) => run::execute(&arguments),
    }
}
