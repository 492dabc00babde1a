//! Case 6: after an outage of discovery, sends to servers that the agent has listed as draining.
#[path = "../standin-2/common.rs"]
mod common;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use common::*;

const PROXIES: usize = 2;
const SERVERS: usize = 9;
/// `safety.drain_grace_ns` of the settings, and what the pages add to each limit on sockets.
const DRAIN_GRACE_MS: u64 = 500;
const SOCKET_SLACK_MS: u64 = 50;
/// Sessions a second, over both proxies, and how long each stays open.
const SESSIONS_PER_S: u64 = 40;
const SESSION_MS: u64 = 1000;
/// Each round: quiet time, an outage of discovery, and a server that drains at its end.
const ROUNDS: usize = 5;
const QUIET_MS: u64 = 3000;
const OUTAGE_MS: u64 = 10_000;
const AFTER_MS: u64 = 4000;

fn main() {
    let (case, root) = folders();
    let folder = std::path::PathBuf::from(std::env::var_os("TMPDIR").expect("TMPDIR"));
    let record = Record::new();
    let arrivals: Arrivals = Arrivals::default();
    let servers: Vec<_> =
        (0..SERVERS).map(|i| Server::start(&format!("s-{i}"), &record, &arrivals)).collect();
    let discovery = Discovery::new(&servers, &record);
    let mut proxies = Vec::new();
    for number in 0..PROXIES {
        let name = format!("n{number}");
        let agent = discovery.start_agent(&name);
        let (listen, console) = (free_address(), free_address());
        let config = folder.join(format!("{name}.json"));
        let settings = settings(PROXIES, DRAIN_GRACE_MS, "idempotent", "");
        write_config(&config, &name, listen, agent, console, &discovery.known(), &settings);
        let options = ProxyOptions {
            root: &root,
            folder: &folder,
            name: &name,
            listen,
            console,
            config: &config,
            discovery: agent,
        };
        let mut proxy = Proxy::start(&options, &format!("{name}.log"));
        proxy.wait_until_ready();
        proxies.push(proxy);
    }
    let listens: Vec<_> = proxies.iter().map(|proxy| proxy.listen).collect();

    let stop = Stop::default();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let traffic = {
        let (stop, record, answers) = (Arc::clone(&stop), Arc::clone(&record), Arc::clone(&answers));
        thread::spawn(move || {
            let mut rng = Rng(0x9e37_79b9_7f4a_7c15);
            let started = Instant::now();
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let due = started + millis(number * 1000 / SESSIONS_PER_S);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let line = format!(
                    "OPEN {:016x} {:016x} c=pick-list,t=jet-park,d=3000,g={:016x}",
                    next_id(),
                    rng.next(),
                    rng.next()
                );
                let listen = listens[number as usize % PROXIES];
                let (record, answers) = (Arc::clone(&record), Arc::clone(&answers));
                thread::spawn(move || {
                    let (answer, lines) = open(listen, &line, 3000, &record);
                    answers.lock().unwrap().push(answer);
                    thread::sleep(millis(SESSION_MS));
                    drop(lines);
                });
            }
        })
    };

    let mut told = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(millis(QUIET_MS));
        if trouble() {
            discovery.go_down();
        }
        thread::sleep(millis(OUTAGE_MS));
        let name = format!("s-{round}");
        let at = discovery.set_status(&name, "draining");
        told.push((name, at));
        thread::sleep(millis(AFTER_MS));
    }
    stop.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    thread::sleep(millis(500));

    let limit = (DRAIN_GRACE_MS + SOCKET_SLACK_MS) * 1000;
    let mut late = 0;
    for arrival in arrivals.lock().unwrap().iter() {
        let Some((_, told_at)) = told.iter().find(|(name, _)| *name == arrival.server) else { continue };
        if arrival.at > told_at + limit {
            late += 1;
            let ms = (arrival.at - told_at) as f64 / 1000.0;
            let text = format!(
                "BROKEN drain: {} gets OPEN {} {ms:.0} ms after it was told",
                arrival.server, arrival.id
            );
            record.note_at(arrival.at, text.clone());
            println!("{text}");
        }
    }
    let running = proxies.iter_mut().all(Proxy::is_running);
    let answers = answers.lock().unwrap();
    let up = answers.iter().filter(|answer| matches!(answer, Answer::Up(_))).count();
    let summary = format!("{} sessions, {up} up, {late} sent to a draining server too late", answers.len());
    record.note(summary.clone());
    println!("{summary}");
    drop(proxies);
    record.write(&case.join("record.txt"));
    if !running || up * 2 < answers.len() || answers.is_empty() {
        cannot_run("a proxy has ended, or fewer than half of the sessions came up");
    }
    std::process::exit(i32::from(late > 0));
}
