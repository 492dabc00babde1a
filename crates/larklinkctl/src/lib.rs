//! The command line tool for operators. Each subcommand is a thin layer over another package.
//!
//! Exit codes: 0 for success, 1 for findings, 2 for incorrect usage or a run that could not be completed or is invalid.
use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod built_in;
mod run;
mod tables;

#[derive(Parser)]
#[command(name = "larklinkctl", version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run proxies between stand-in servers and scripted clients, and audit every response.
    #[command(alias = "rehearse")]
    Run(run::Arguments),
}

/// Parses the command line and runs the subcommand. Exits the process if the arguments are invalid.
#[must_use]
pub fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Run(arguments) => run::execute(&arguments),
    }
}
