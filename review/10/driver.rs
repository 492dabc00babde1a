//! Case 10: at a planned restart, requests that cross the end of a connection on which nothing had been sent.
#[path = "../standin-2/common.rs"]
mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Restarts in a run.
const ROUNDS: usize = 20;
/// Clients that connect before or shortly after SIGTERM and send their line some time after it.
const CLIENTS: u64 = 120;
/// When they connect, after SIGTERM: new connections come for up to 0.4 s after it. They are spread over 0.2 s.
const CONNECT_AT_MS: u64 = 200;
/// When the first and the last of them send, after SIGTERM.
const FIRST_SEND_MS: u64 = 680;
const LAST_SEND_MS: u64 = 720;
/// One way between clients and proxies, as in the site's `client_ms`.
const CLIENT_DELAY: Duration = Duration::from_micros(1000);
const DIAL_MS: u64 = 3000;

fn main() {
    let (case, root) = folders();
    let folder = std::path::PathBuf::from(std::env::var_os("TMPDIR").expect("TMPDIR"));
    let record = Record::new();
    let arrivals: Arrivals = Arrivals::default();
    let servers: Vec<_> = (0..4).map(|i| Server::start(&format!("s-{i}"), &record, &arrivals)).collect();
    let discovery = Discovery::new(&servers, &record);
    let agent = discovery.start_agent("n0");
    let settings = settings(1, 500, "idempotent", "");
    let (mut lost, mut up, mut other) = (0, 0, 0);
    for round in 0..ROUNDS {
        let (listen, console) = (free_address(), free_address());
        let config = folder.join("n0.json");
        write_config(&config, "n0", listen, agent, console, &discovery.known(), &settings);
        let options = ProxyOptions {
            root: &root,
            folder: &folder,
            name: "n0",
            listen,
            console,
            config: &config,
            discovery: agent,
        };
        let mut proxy = Proxy::start(&options, &format!("n0-{round}.log"));
        proxy.wait_until_ready();
        let front = start_delay(listen);
        let ends = Arc::new(Mutex::new(Vec::new()));
        // SIGTERM is sent at this time.
        let term_at = Instant::now() + millis(300);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let connect_at =
                    term_at + millis(CONNECT_AT_MS) + millis(200) * number as u32 / CLIENTS as u32;
                let span = millis(LAST_SEND_MS - FIRST_SEND_MS);
                let send_at = term_at + millis(FIRST_SEND_MS) + span * number as u32 / CLIENTS as u32;
                let (record, ends) = (Arc::clone(&record), Arc::clone(&ends));
                thread::spawn(move || {
                    if let Some(end) = client(front, connect_at, send_at, &record) {
                        ends.lock().unwrap().push(end);
                    }
                })
            })
            .collect();
        thread::sleep(term_at.saturating_duration_since(Instant::now()));
        if trouble() {
            record.note("SIGTERM to n0");
            proxy.signal(SIGTERM);
        }
        for client in clients {
            let _ = client.join();
        }
        thread::sleep(millis(200));
        if !trouble() && !proxy.is_running() {
            cannot_run("the proxy has ended");
        }
        for end in ends.lock().unwrap().drain(..) {
            match end {
                Answer::Up(_) => up += 1,
                Answer::Ended | Answer::Reset | Answer::None => lost += 1,
                _ => other += 1,
            }
        }
    }
    let summary = format!("{up} up, {other} answered otherwise, {lost} without any answer");
    record.note(summary.clone());
    println!("{summary}");
    record.write(&case.join("record.txt"));
    if up == 0 {
        cannot_run("no session came up");
    }
    std::process::exit(i32::from(lost > 0));
}

/// Connects, rests, and sends its line unless the connection has been seen to end before that. Returns how its request
/// was answered; none if it sent none.
fn client(front: SocketAddr, connect_at: Instant, send_at: Instant, record: &Record) -> Option<Answer> {
    thread::sleep(connect_at.saturating_duration_since(Instant::now()));
    let mut lines = Lines::new(TcpStream::connect(front).ok()?);
    // A client that sees the end or an answer before it has sent its line comes again elsewhere.
    if !matches!(lines.read(Some(send_at)), Read1::TimedOut) {
        return None;
    }
    let id = next_id();
    let line = format!("OPEN {id:016x} {id:016x} c=pick-list,t=jet-park,d={DIAL_MS},g={id:016x}");
    let sent_at = record.now();
    let written = lines.write(&line);
    record.note_at(sent_at, format!("client sends {line}"));
    if !written {
        return None;
    }
    let answer = match lines.read(Some(Instant::now() + millis(DIAL_MS + 500))) {
        Read1::Line(text) if text.starts_with("UP ") => Answer::Up(text),
        Read1::Line(text) if text.starts_with("BUSY") => Answer::Busy,
        Read1::Line(text) => Answer::Failed(text),
        Read1::End => Answer::Ended,
        Read1::Reset => Answer::Reset,
        Read1::TimedOut => Answer::None,
    };
    let lost = matches!(answer, Answer::Ended | Answer::Reset | Answer::None);
    let broken = if lost { "BROKEN lost: " } else { "" };
    record.note(format!("{broken}client {id:016x} is answered {answer:?}"));
    Some(answer)
}

/// Starts a stand-in for the network between clients and a proxy, which delays bytes and ends alike.
fn start_delay(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(proxy) = TcpStream::connect(to) else { continue };
            let _ = (client.set_nodelay(true), proxy.set_nodelay(true));
            let (Ok(client_2), Ok(proxy_2)) = (client.try_clone(), proxy.try_clone()) else { continue };
            thread::spawn(move || delay(client, proxy));
            thread::spawn(move || delay(proxy_2, client_2));
        }
    });
    address
}

fn delay(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0; 4096];
    loop {
        let read = from.read(&mut chunk);
        thread::sleep(CLIENT_DELAY);
        match read {
            Ok(length) if length > 0 => {
                if to.write_all(&chunk[..length]).is_err() {
                    return;
                }
            }
            _ => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}
