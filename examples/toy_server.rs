//! A toy server for trying out the proxy. It accepts sessions, echoes their lines and answers health checks.
//!
//!     cargo run --example toy_server -- 127.0.0.1:9101 [127.0.0.1:9102 ...]
use std::io::{BufRead, BufReader, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::thread;

/// The number of sessions at which this server reports full load.
const CAPACITY: u32 = 100;

fn main() -> Result<()> {
    let addresses: Vec<_> = std::env::args().skip(1).collect();
    if addresses.is_empty() {
        eprintln!("usage: toy_server ADDRESS...");
        std::process::exit(2);
    }
    let servers = addresses.into_iter().map(|address| Ok((TcpListener::bind(&address)?, address)));
    let servers = servers.collect::<Result<Vec<_>>>()?;
    let threads: Vec<_> =
        servers.into_iter().map(|(listener, name)| thread::spawn(move || run(&listener, &name))).collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
    Ok(())
}

fn run(listener: &TcpListener, name: &str) {
    println!("listening on {name}");
    let sessions = Arc::new(AtomicU32::new(0));
    for stream in listener.incoming().flatten() {
        let (sessions, name) = (Arc::clone(&sessions), name.to_owned());
        thread::spawn(move || serve(&stream, &sessions, &name));
    }
}

fn serve(stream: &TcpStream, sessions: &AtomicU32, name: &str) -> Result<()> {
    // Each line is a single write that is sent immediately: with Nagle's algorithm, a second small write would wait
    // until the first is acknowledged.
    stream.set_nodelay(true)?;
    let mut output = stream;
    let mut lines = BufReader::new(stream).lines();
    let mut established = false;
    while let Some(Ok(line)) = lines.next() {
        match line.as_str() {
            _ if established => output.write_all(format!("{line}\r\n").as_bytes())?,
            "PING" => output.write_all(b"PONG\r\n")?,
            "STATS" => {
                let count = sessions.load(Relaxed);
                let load = f64::from(count) / f64::from(CAPACITY);
                output.write_all(format!("PONG inflight={count},util={load},x0={load}\r\n").as_bytes())?;
            }
            open_line if open_line.starts_with("OPEN ") => {
                established = true;
                let count = sessions.fetch_add(1, Relaxed) + 1;
                println!("{name}: session opened, {count} in total: {open_line}");
                output.write_all(format!("UP {name}\r\nLOAD 1000\r\n").as_bytes())?;
            }
            _ => output.write_all(b"SYNTAX\r\n")?,
        }
    }
    if established {
        println!("{name}: session closed, {} in total", sessions.fetch_sub(1, Relaxed) - 1);
    }
    Ok(())
}
