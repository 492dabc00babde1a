//! Case: a fleet of 3,200 servers, a quiet list, and sessions of many groups: the proxy's memory.
use std::io::Result;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

use crate::kit::{
    Client, Discovery, Entry, Folder, MEMORY_LIMIT_MB, Proxy, Record, Server, Settings, Verdict,
    free_address, wait_for_pong,
};

/// "Fleets with up to sixteen times the servers (3,200 at most)."
const SERVERS: usize = 3200;
/// A sixteenth of it.
const USUAL_SERVERS: usize = 200;
/// How many stand-in servers there are; each serves the addresses of several entries of the list.
const STANDINS: usize = 100;
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// How many sessions come, from how many threads, and how often from each.
const SESSIONS: usize = 7500;
const THREADS: usize = 10;
const INTERVAL: Duration = Duration::from_millis(100);
/// How many clients stay for the whole run.
const STANDING: u64 = 10;

#[derive(Default)]
struct Counts {
    accepted: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    unanswered: AtomicUsize,
}

/// A number that looks random, for the key of the n-th session.
fn scatter(n: u64) -> u64 {
    let mixed = (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}

fn first_line(id: u64) -> String {
    let key = scatter(id);
    format!("OPEN {id:016x} {key:016x} c=orders,t=depot,d=2000,g={key:x}")
}

fn send_sessions(proxy: std::net::SocketAddr, next: &AtomicU64, counts: &Counts) {
    for _ in 0..SESSIONS / THREADS {
        let id = next.fetch_add(1, Relaxed);
        let answer = Client::connect(proxy).map_or_else(
            |error| error.to_string(),
            |mut client| client.ask(&first_line(id), Duration::from_secs(3)),
        );
        let count = match answer.split(' ').next() {
            Some("UP") => &counts.accepted,
            Some("BUSY") => &counts.refused,
            Some("ERR") => &counts.failed,
            _ => &counts.unanswered,
        };
        count.fetch_add(1, Relaxed);
        thread::sleep(INTERVAL);
    }
}

pub fn run(folder: &Folder, case: &Path, record: &Record, trouble: bool) -> Result<Verdict> {
    let standins = (0..STANDINS)
        .map(|number| Server::start_quiet(record, &format!("standin-{number}")))
        .collect::<Result<Vec<_>>>()?;
    let count = if trouble { SERVERS } else { USUAL_SERVERS };
    let entries: Vec<_> = (0..count)
        .map(|number| Entry {
            name: format!("s-{:08x}", (number as u32).wrapping_mul(2_654_435_761)),
            address: standins[number % STANDINS].address,
            status: "up",
        })
        .collect();
    let discovery = Discovery::start(record, "agent", 41, entries.clone())?;
    let settings = Settings {
        listen: free_address()?,
        discovery: discovery.address,
        known_index: 41,
        known: entries,
        drain_grace: DRAIN_GRACE,
        asked: false,
        proxies: 1,
    };
    let config = folder.0.join("config.json");
    settings.write(&config)?;
    let mut proxy = Proxy::start(record, "proxy", &config, folder, &case.join("proxy.log"))?;
    proxy.wait_until_ready(Duration::from_secs(10))?;
    wait_for_pong(settings.listen, Duration::from_secs(5))?;
    record.say(&format!(
        "{count} servers in the list; the proxy has {} MB when it is ready, and may have {MEMORY_LIMIT_MB}",
        proxy.memory_mb().unwrap_or(0)
    ));

    let mut standing = Vec::new();
    for id in 0..STANDING {
        let mut client = Client::connect(settings.listen)?;
        let answer = client.ask(&first_line(1_000_000 + id), Duration::from_secs(3));
        record.note(&format!("standing client {id}: \"{answer}\""));
        standing.push(client);
    }
    let (next, counts) = (Arc::new(AtomicU64::new(1)), Arc::new(Counts::default()));
    let clients: Vec<_> = (0..THREADS)
        .map(|_| {
            let (to, next, counts) = (settings.listen, Arc::clone(&next), Arc::clone(&counts));
            thread::spawn(move || send_sessions(to, &next, &counts))
        })
        .collect();

    // The platform: "Over `memory_mb` the proxy is killed."
    let mut killed = false;
    let mut most = 0;
    let mut noted_at = record.now();
    while !killed && clients.iter().any(|client| !client.is_finished()) {
        thread::sleep(Duration::from_millis(50));
        if !proxy.runs() {
            record.say("the proxy has ended by itself");
            return Ok(Verdict::Broken);
        }
        most = most.max(proxy.memory_mb().unwrap_or(0));
        if record.now() > noted_at + Duration::from_secs(5) {
            noted_at = record.now();
            record.note(&format!("proxy: {most} MB after {} sessions", next.load(Relaxed)));
        }
        if most > MEMORY_LIMIT_MB {
            record.say(&format!("proxy: {most} MB after {} sessions, over its limit", next.load(Relaxed)));
            proxy.signal("KILL")?;
            proxy.wait()?;
            killed = true;
        }
    }
    if !killed {
        for client in clients {
            let _ = client.join();
        }
    }
    let lost = standing
        .iter_mut()
        .filter_map(|client| (client.ask("hello", Duration::from_secs(2)) != "OK hello").then_some(()))
        .count();
    record.say(&format!(
        "{} sessions accepted, {} refused, {} failed, {} without an answer; most memory {most} MB; {lost} of {STANDING} \
         standing clients cut off",
        counts.accepted.load(Relaxed),
        counts.refused.load(Relaxed),
        counts.failed.load(Relaxed),
        counts.unanswered.load(Relaxed)
    ));
    Ok(if killed { Verdict::Broken } else { Verdict::Held })
}
