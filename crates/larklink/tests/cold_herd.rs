//! What all proxies together send to each cold server when seven in ten of them are killed, half of the servers have
//! started of late, one after another, and all clients come back within a second: large groups, each to its one owner.
use std::collections::{BTreeMap, BTreeSet};

use larklink::balancer::Balancer;
use larklink::types::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: Time = 10_000;
const NOW: Time = 100 * SECOND;
/// Sessions that a server bears when it is warm, and holds on the mean.
const BEARS: f64 = 60.0;
const HOLDS: usize = 25;

fn settings(proxies: u32) -> Settings {
    Settings {
        listeners: vec![Listener { kind: Kind::Repeatable, handshake_target: SECOND / 2, utility: 1.0 }],
        proxies,
        drain_grace: SECOND / 2,
        start_capacity: 0.2,
        cold: 20 * SECOND,
        fall_multiple: 3.0,
        overload_for: 2 * SECOND,
        connect_timeout: SECOND / 5,
        max_dials: 3,
        tells_load: true,
        dial_timeout: 2 * SECOND,
        message_target: 500,
        ..Settings::default()
    }
}

/// What a cold server of that age may be sent in the span of the settings before it falls over.
fn limit(set: &Settings, age: Time) -> f64 {
    let share = set.start_capacity + (1.0 - set.start_capacity) * age as f64 / set.cold as f64;
    let n = set.fall_multiple * share * BEARS / set.cold as f64 * set.overload_for as f64;
    n + 3.0 * n.sqrt() + 3.0
}

/// One day of a seed, where `group` sessions share a key: the most that a cold server was sent, over its limit; the
/// sends to cold servers, in all, and the sessions that came.
fn herd(proxies: usize, servers: usize, group: usize, seed: u64) -> (f64, usize, usize) {
    let (set, mut rng) = (settings(proxies as u32), ChaCha8Rng::seed_from_u64(seed));
    let entries: Vec<_> = (0..servers)
        .map(|s| {
            let age = (s as u64 / 2 * 7 % 16) * SECOND / 2 + SECOND / 2;
            let came_up = if s % 2 == 0 { NOW - age } else { 0 };
            Entry { server: s, id: 77 + 1000 * s as u32, state: State::Ready, came_up, ..Entry::default() }
        })
        .collect();
    let mut fleet: Vec<_> = (0..proxies as u64)
        .map(|n| {
            let (lives, seed) = ((n as usize) < proxies.div_ceil(3), seed * 1000 + n);
            let mut b = Balancer::new(set.clone(), seed, if lives { 0 } else { NOW });
            b.heard_list(0, Scope::Cached, &entries);
            b.probed(NOW, 1, How::Accepted, 10, 0.5, BEARS / 2.0);
            b
        })
        .collect();
    let sessions = servers * HOLDS;
    let ask = |n: usize, again| Session {
        listener: 0,
        group_key: 1 + (seed * 100_000) + (n / group) as u64,
        client_key: 1 + n as u64,
        patience: 2 * SECOND,
        again,
        ..Session::default()
    };
    // Three in ten proxies live on, with what they hold: it stands on warm servers.
    let lives = proxies.div_ceil(3);
    for n in 0..sessions * 3 / 10 {
        let b = &mut fleet[rng.random_range(0..lives)];
        b.adopt(NOW - SECOND, ask(n, false), 1 + 2 * (n % (servers / 2)));
    }
    let come = (sessions * 3 / 10..sessions).map(|n| (NOW + rng.random_range(0..SECOND), n, 0));
    let mut queue: BTreeSet<_> = come.collect();
    let (mut sent, came): (BTreeMap<_, Vec<Time>>, _) = (BTreeMap::new(), queue.len());
    while let Some((now, n, tries)) = queue.pop_first() {
        let proxy = rng.random_range(0..proxies);
        // Every other one was reset and comes again; the rest are redirected and look new.
        match fleet[proxy].place(now, ask(n, n % 2 == 0)).1 {
            Verdict::Dial { server, .. } if server % 2 == 0 => sent.entry(server).or_default().push(now),
            Verdict::Refuse { .. } if tries < 3 => drop(queue.insert((now + SECOND / 3, n, tries + 1))),
            _ => {}
        }
    }
    let over = |(server, times): (&usize, &Vec<Time>)| {
        let age = NOW - entries[*server].came_up;
        let most =
            times.iter().map(|t| times.iter().filter(|u| (*t..t + set.overload_for).contains(*u)).count());
        most.max().unwrap_or(0) as f64 / limit(&set, age)
    };
    (sent.iter().map(over).fold(0.0, f64::max), sent.values().map(Vec::len).sum(), came)
}

/// Reported from days of a full fleet: servers that had started of late fell over under what all processes sent
/// together. One group of 150 came to its owner at up to seven times what the settings allow: only those who came
/// again counted as a group, and only as far as their proxy of a few sessions had seen it. What the settings allow is
/// read with the least share and the longest warm-up, so a fifth over it is still within what a server bears.
#[test]
fn no_size_of_fleet_pushes_a_cold_server_over() {
    let sizes = [(1, 12, 12), (4, 12, 12), (40, 60, 6), (300, 90, 4), (350, 200, 2), (350, 400, 2)];
    for (proxies, servers, days) in sizes {
        for group in [1, 50, 150] {
            let days: Vec<_> = (1..=days).map(|seed| herd(proxies, servers, group, seed)).collect();
            let (worst, cold, came) =
                days.iter().fold((0.0, 0, 0), |sum, d| (d.0.max(sum.0), sum.1 + d.1, sum.2 + d.2));
            let name = format!("{proxies} proxies, {servers} servers, groups of {group}");
            assert!(worst < 1.2, "{name}: {worst:.2} of what makes one fall");
            assert!(cold * 100 > came, "{name}: {cold} of {came} to cold servers, which stand idle");
        }
    }
}
