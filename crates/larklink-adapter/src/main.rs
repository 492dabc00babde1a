//! Runs simulated proxies: reads batches of events from standard input and writes a reply to each to standard output.
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use larklink_adapter::error::ReadError;
use larklink_adapter::proxies::Proxies;
use larklink_adapter::wire::Batch;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("larklink-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), ReadError> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut proxies = Proxies::default();
    while let Some(batch) = Batch::read(&mut input)? {
        let frame = proxies.handle_batch(&batch)?;
        output.write_all(&frame)?;
        output.flush()?;
    }
    Ok(())
}
