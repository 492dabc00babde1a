//! Hosts proxies on the simulator's wire: batches in on standard input, replies out on standard output.
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use larklink_adapter::proxy::Proxies;
use larklink_adapter::wire::{Batch, Malformed};

fn main() -> ExitCode {
    match run() {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(Malformed(text))) => {
            eprintln!("larklink-adapter: malformed input: {text}");
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("larklink-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> io::Result<Result<(), Malformed>> {
    let (mut input, mut output) = (BufReader::new(io::stdin().lock()), io::stdout().lock());
    let mut proxies = Proxies::default();
    loop {
        let reply = match Batch::read(&mut input)? {
            Ok(Some(batch)) => proxies.answer(&batch),
            Ok(None) => return Ok(Ok(())),
            Err(e) => Err(e),
        };
        match reply {
            Ok(frame) => output.write_all(&frame).and_then(|()| output.flush())?,
            Err(e) => return Ok(Err(e)),
        }
    }
}
