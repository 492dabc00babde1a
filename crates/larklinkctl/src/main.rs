//! `larklinkctl`.
use std::process::ExitCode;

fn main() -> ExitCode {
    larklinkctl::main()
}
