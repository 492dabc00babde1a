//! `larkctl`, the former name of `larklinkctl`. Prints a deprecation notice and behaves the same; to be removed in the
//! next version.
use std::process::ExitCode;

fn main() -> ExitCode {
    eprintln!(
        "larkctl: this command was renamed to larklinkctl; the old name will be removed in the next version"
    );
    larklinkctl::main()
}
