//! The `larklinkctl` binary.
use std::process::ExitCode;

fn main() -> ExitCode {
    larklinkctl::main()
}
