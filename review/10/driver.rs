//! Case 10: an indented list of 3,200 servers, of which one begins to drain.
#[path = "../standin-2/common.rs"]
mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// The most servers that the pages name.
const SERVERS: usize = 3200;
/// How many spaces each level is indented by.
const INDENT: usize = 8;
const DRAIN_GRACE_MS: u64 = 500;
const SOCKET_SLACK_MS: u64 = 50;
/// How long sessions go on coming after the drain has been told.
const AFTER: Duration = Duration::from_secs(15);

fn main() {
    let (case, root) = folders();
    let folder = std::path::PathBuf::from(std::env::var_os("TMPDIR").expect("TMPDIR"));
    let record = Record::new();
    let arrivals: Arrivals = Arrivals::default();
    let servers = start_many(SERVERS, &record, &arrivals);
    let discovery = Discovery::with_indent(&servers, &record, trouble().then_some(INDENT));
    let agent = discovery.start_agent("n0");
    let (listen, console) = (free_address(), free_address());
    let config = folder.join("n0.json");
    let settings = settings(1, DRAIN_GRACE_MS, "idempotent", "");
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
    let mut proxy = Proxy::start(&options, "n0.log");
    proxy.wait_until_ready();
    thread::sleep(millis(2000));
    // Sessions of one group go to one server, which is the one that drains.
    let session = || {
        let id = next_id();
        let line = format!("OPEN {id:016x} {id:016x} c=pick-list,t=jet-park,d=3000,g=5c0f6e1a2b3d4c59");
        matches!(open(listen, &line, 3000, &record).0, Answer::Up(_))
    };
    let mut up = u32::from(session());
    let Some(first) = arrivals.lock().unwrap().first().cloned() else { cannot_run("no session came up") };
    let told_at = discovery.set_status(&first.server, "draining");
    let started = Instant::now();
    let mut sessions = 1;
    while started.elapsed() < AFTER {
        thread::sleep(millis(100));
        sessions += 1;
        up += u32::from(session());
    }
    let limit = (DRAIN_GRACE_MS + SOCKET_SLACK_MS) * 1000;
    let mut late = 0;
    for arrival in arrivals.lock().unwrap().iter() {
        if arrival.server == first.server && arrival.at > told_at + limit {
            late += 1;
            let ms = (arrival.at - told_at) / 1000;
            record.note_at(
                arrival.at,
                format!(
                    "BROKEN drain: {} gets OPEN {} {ms} ms after it was told",
                    arrival.server, arrival.id
                ),
            );
        }
    }
    let summary = format!("{sessions} sessions, {up} up, {late} sent to the draining server too late");
    record.note(summary.clone());
    println!("{summary}");
    let running = proxy.is_running();
    drop(proxy);
    record.write(&case.join("record.txt"));
    if !running || up * 2 < sessions {
        cannot_run("the proxy has ended, or fewer than half of the sessions came up");
    }
    std::process::exit(i32::from(late > 0));
}
