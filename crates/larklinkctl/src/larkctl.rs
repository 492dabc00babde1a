//! `larkctl`, the earlier name of `larklinkctl`: works for one version, and says the new name.
use std::process::ExitCode;

fn main() -> ExitCode {
    eprintln!("larkctl: this command is now called larklinkctl; the old name goes with the next version");
    larklinkctl::main()
}
