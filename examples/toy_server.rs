//! A toy server to try the proxy with: takes sessions, sends each line back, answers probes.
//!
//!     cargo run --example toy_server -- 127.0.0.1:9101 [127.0.0.1:9102 ...]
use std::io::{BufRead, BufReader, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::thread;

/// Sessions that this server says it has room for.
const ROOM: u32 = 100;

fn main() -> Result<()> {
    let addresses: Vec<_> = std::env::args().skip(1).collect();
    if addresses.is_empty() {
        eprintln!("usage: toy_server ADDRESS...");
        std::process::exit(2);
    }
    let servers = addresses.into_iter().map(|address| Ok((TcpListener::bind(&address)?, address)));
    let servers = servers.collect::<Result<Vec<_>>>()?;
    let threads: Vec<_> =
        servers.into_iter().map(|(l, name)| thread::spawn(move || run(&l, &name))).collect();
    threads.into_iter().for_each(|t| drop(t.join()));
    Ok(())
}

fn run(listener: &TcpListener, name: &str) {
    println!("{name} listens");
    let held = Arc::new(AtomicU32::new(0));
    for stream in listener.incoming().flatten() {
        let (held, name) = (Arc::clone(&held), name.to_owned());
        thread::spawn(move || serve(&stream, &held, &name));
    }
}

fn serve(stream: &TcpStream, held: &AtomicU32, name: &str) -> Result<()> {
    // One write a line, sent at once: a second small write would wait for the receipt of the first.
    stream.set_nodelay(true)?;
    let mut out = stream;
    let mut lines = BufReader::new(stream).lines();
    let mut stands = false;
    while let Some(Ok(line)) = lines.next() {
        match line.as_str() {
            _ if stands => out.write_all(format!("{line}\r\n").as_bytes())?,
            "PING" => out.write_all(b"PONG\r\n")?,
            "STATS" => {
                let n = held.load(Relaxed);
                let load = f64::from(n) / f64::from(ROOM);
                out.write_all(format!("PONG inflight={n},util={load},x0={load}\r\n").as_bytes())?;
            }
            head if head.starts_with("OPEN ") => {
                stands = true;
                println!("{name} holds {}: {head}", held.fetch_add(1, Relaxed) + 1);
                out.write_all(format!("UP {name}\r\nLOAD 1000\r\n").as_bytes())?;
            }
            _ => out.write_all(b"SYNTAX\r\n")?,
        }
    }
    if stands {
        println!("{name} holds {}", held.fetch_sub(1, Relaxed) - 1);
    }
    Ok(())
}
