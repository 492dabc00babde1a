//! What all proxies together send to each endpoint in slow start when seven in ten of them are killed, half of the
//! endpoints have started lately, one after another, and all clients reconnect within a second, large groups each to
//! one owner. The killed proxies come back one by one, and each learns of the new endpoints at its own time.
use std::collections::{BTreeMap, BTreeSet};

use larklink_balancer::{
    AttemptOutcome, Balancer, Decision, EndpointEntry, EndpointIndex, EndpointState, Idempotency, ListScope,
    Listener, SessionHandle, SessionRequest, Settings, TickDuration,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: TickDuration = 10_000;
const NOW: TickDuration = 100 * SECOND;
/// The sessions that an endpoint can take after its slow start, and its mean number.
const CAPACITY: f64 = 60.0;
const MEAN_SESSIONS: usize = 25;

/// What the settings allow: the overload multiple, the overload window and the slow-start duration.
type Allowed = (f64, TickDuration, TickDuration);
const USUAL: Allowed = (3.0, 2 * SECOND, 20 * SECOND);

fn settings(proxies: u32, (overload_multiple, overload_window, slow_start): Allowed) -> Settings {
    Settings {
        listeners: vec![Listener {
            idempotency: Idempotency::Idempotent,
            handshake_objective: SECOND / 2,
            priority_weight: 1.0,
        }],
        proxy_count: proxies,
        drain_grace: SECOND / 2,
        initial_capacity: 0.2,
        slow_start_duration: slow_start,
        overload_multiple,
        overload_window,
        connect_timeout: SECOND / 5,
        max_attempts: 3,
        load_reports: true,
        max_dial_timeout: 2 * SECOND,
        message_objective: 500,
        ..Settings::default()
    }
}

/// How many sessions an endpoint of that age may be sent within the overload window.
fn limit(set: &Settings, age: TickDuration) -> f64 {
    let share =
        set.initial_capacity + (1.0 - set.initial_capacity) * age as f64 / set.slow_start_duration as f64;
    let n = set.overload_multiple * share * CAPACITY / set.slow_start_duration as f64
        * set.overload_window as f64;
    n + 2.0 * n.sqrt() + 2.0
}

/// A fleet, how many sessions share a key, and what the settings allow. In `step`, all proxies are back and notified
/// when the clients reconnect; else each at its own time. Without a `budget` proxies know of no slow start.
#[derive(Clone, Copy)]
struct FleetModel {
    proxies: usize,
    endpoints: usize,
    group: usize,
    allowed: Allowed,
    step: bool,
    budget: bool,
}

/// One run of a seed: the most that an endpoint in slow start was sent, over its limit; the sessions sent to endpoints in
/// slow start, and the sessions that arrived.
fn mass_restart(
    FleetModel { proxies, endpoints, group, allowed, step, budget }: FleetModel,
    seed: u64,
) -> (f64, usize, usize) {
    let (set, mut rng) = (settings(proxies as u32, allowed), ChaCha8Rng::seed_from_u64(seed));
    let known =
        Settings { slow_start_duration: if budget { set.slow_start_duration } else { 0 }, ..set.clone() };
    let entries: Vec<_> = (0..endpoints)
        .map(|s| {
            let age = (s as u64 / 2 * 7 % 16) * set.slow_start_duration / 40 + set.slow_start_duration / 40;
            let started_at = if s % 2 == 0 { NOW - age } else { 0 };
            EndpointEntry {
                endpoint: s,
                id: 77 + 1000 * s as u32,
                state: EndpointState::Ready,
                started_at,
                ..EndpointEntry::default()
            }
        })
        .collect();
    let established: Vec<_> = entries.iter().filter(|e| e.started_at == 0).copied().collect();
    // Three in ten proxies survive, with their sessions, which are on endpoints after their slow start.
    let survivors = proxies.div_ceil(3);
    // When each starts, and when it is notified of the new endpoints: a survivor may be notified late.
    let times: Vec<_> = (0..proxies)
        .map(|n| {
            let moment = if step { NOW } else { NOW + rng.random_range(0..SECOND / 2) };
            if n < survivors { (0, moment) } else { (moment, 0) }
        })
        .collect();
    let mut fleet: Vec<_> = (0..proxies)
        .map(|n| {
            let (started, notified_at) = times[n];
            let mut balancer = Balancer::new(known.clone(), seed * 1000 + n as u64, started);
            balancer.update_endpoints(
                started,
                ListScope::Cached,
                if notified_at == 0 { &entries } else { &established },
            );
            balancer.health_checked(
                started.max(NOW - SECOND),
                1,
                AttemptOutcome::Succeeded,
                10,
                0.5,
                CAPACITY / 2.0,
            );
            balancer
        })
        .collect();
    let sessions = endpoints * MEAN_SESSIONS;
    let request = |n: usize, again| SessionRequest {
        listener: 0,
        group_key: 1 + (seed * 100_000) + (n / group) as u64,
        client_key: 1 + n as u64,
        dial_timeout: 2 * SECOND,
        reconnecting: again,
        ..SessionRequest::default()
    };
    for n in 0..sessions * 3 / 10 {
        let balancer = &mut fleet[rng.random_range(0..survivors)];
        balancer.adopt_established(NOW - SECOND, request(n, false), 1 + 2 * (n % (endpoints / 2)));
    }
    let come = (sessions * 3 / 10..sessions).map(|n| (NOW + rng.random_range(0..SECOND), n, 0));
    let mut queue: BTreeSet<_> = come.collect();
    let (mut sent, arrived): (BTreeMap<_, Vec<TickDuration>>, _) = (BTreeMap::new(), queue.len());
    let mut notified = BTreeSet::new();
    while let Some((now, n, retries)) = queue.pop_first() {
        let proxy = rng.random_range(0..proxies);
        let (started, notified_at) = times[proxy];
        if now < started {
            // The proxy is down: the client tries another one at once.
            queue.insert((now + SECOND / 20, n, retries));
            continue;
        }
        if now >= notified_at && notified.insert(proxy) {
            fleet[proxy].update_endpoints(now, ListScope::Changes, &entries);
        }
        // Every other one was reset and reconnects; the rest are redirected and look new.
        let (handle, decision) = fleet[proxy].place(now, request(n, n % 2 == 0));
        match decision {
            Decision::Connect { endpoint, .. } => {
                // Handshakes are prompt: only the quota limits an endpoint in slow start.
                fleet[proxy].established(now, handle);
                if endpoint % 2 == 0 {
                    sent.entry(endpoint).or_default().push(now);
                }
            }
            Decision::Reject { .. } if retries < 3 => drop(queue.insert((now + SECOND / 3, n, retries + 1))),
            _ => {}
        }
    }
    (worst_overload(&set, &entries, &sent), sent.values().map(Vec::len).sum(), arrived)
}

/// The most that an endpoint in slow start was sent, over its limit.
fn worst_overload(
    set: &Settings,
    entries: &[EndpointEntry],
    sent: &BTreeMap<EndpointIndex, Vec<TickDuration>>,
) -> f64 {
    let over = |(endpoint, times): (&usize, &Vec<TickDuration>)| {
        // The limit is taken in the middle of the window, since capacity grows within it, and only while the slow start
        // lasts: a short one is over before the last sessions arrive.
        let age = |t: TickDuration| t - entries[*endpoint].started_at;
        let slow_start: Vec<_> =
            times.iter().copied().filter(|t| age(*t) < set.slow_start_duration).collect();
        let sent = |t: TickDuration| {
            slow_start.iter().filter(|u| (t..t + set.overload_window).contains(*u)).count() as f64
        };
        slow_start
            .iter()
            .map(|t| sent(*t) / limit(set, age(*t + set.overload_window / 2)))
            .fold(0.0, f64::max)
    };
    sent.iter().map(over).fold(0.0, f64::max)
}

/// Every other endpoint starts, one after another, during a burst of four seconds, and all proxies survive: groups arrive
/// within a tenth of a second, and sessions end soon, so that capacity never limits an endpoint in slow start.
fn burst(
    FleetModel { proxies, endpoints, group, allowed, budget, .. }: FleetModel,
    seed: u64,
) -> (f64, usize, usize) {
    let (set, mut rng) = (settings(proxies as u32, allowed), ChaCha8Rng::seed_from_u64(seed));
    let known =
        Settings { slow_start_duration: if budget { set.slow_start_duration } else { 0 }, ..set.clone() };
    let entries: Vec<_> = (0..endpoints)
        .map(|s| {
            let started_at = if s % 2 == 0 { NOW - SECOND + (s as u64 * 7 % 16) * SECOND / 4 } else { 0 };
            EndpointEntry {
                endpoint: s,
                id: 77 + 1000 * s as u32,
                state: EndpointState::Ready,
                started_at,
                ..EndpointEntry::default()
            }
        })
        .collect();
    let established: Vec<_> = entries.iter().filter(|e| e.started_at == 0).copied().collect();
    let mut fleet: Vec<_> = (0..proxies)
        .map(|n| {
            let mut balancer = Balancer::new(known.clone(), seed * 1000 + n as u64, 0);
            balancer.update_endpoints(0, ListScope::Cached, &established);
            balancer.health_checked(NOW - 6 * SECOND, 1, AttemptOutcome::Succeeded, 10, 0.5, CAPACITY / 2.0);
            balancer
        })
        .collect();
    // A proxy is notified of an endpoint; a session arrives, or ends.
    #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
    enum Event {
        ListUpdate(usize, EndpointIndex),
        SessionArrives(usize, u32),
        SessionEnds(usize, SessionHandle),
    }
    let mut queue = BTreeSet::new();
    for (s, e) in entries.iter().enumerate().filter(|(_, e)| e.started_at > 0) {
        queue.extend(
            (0..proxies).map(|p| (e.started_at + rng.random_range(0..SECOND / 5), Event::ListUpdate(p, s))),
        );
    }
    let mut n = 0;
    for (begin, length, arrived) in [(NOW - 5 * SECOND, 5, MEAN_SESSIONS), (NOW, 4, 3 * MEAN_SESSIONS)] {
        let all = (endpoints * arrived * length).div_ceil(group) * group;
        for _ in 0..all / group {
            let moment = begin + rng.random_range(0..length as u64 * SECOND);
            for _ in 0..group {
                n += 1;
                queue.insert((moment + rng.random_range(0..SECOND / 10), Event::SessionArrives(n, 0)));
            }
        }
    }
    let mut sent: BTreeMap<_, Vec<TickDuration>> = BTreeMap::new();
    while let Some((now, event)) = queue.pop_first() {
        match event {
            Event::ListUpdate(p, s) => fleet[p].update_endpoints(now, ListScope::Changes, &entries[s..=s]),
            Event::SessionEnds(p, handle) => fleet[p].client_left(handle),
            Event::SessionArrives(n, retries) => {
                let p = rng.random_range(0..proxies);
                let request = SessionRequest {
                    listener: 0,
                    group_key: 1 + seed * 100_000 + ((n - 1) / group) as u64,
                    client_key: 1 + n as u64,
                    dial_timeout: 2 * SECOND,
                    reconnecting: n % 2 == 0,
                    ..SessionRequest::default()
                };
                match fleet[p].place(now, request) {
                    (handle, Decision::Connect { endpoint, .. }) => {
                        if endpoint % 2 == 0 {
                            sent.entry(endpoint).or_default().push(now);
                        }
                        queue.insert((now + SECOND / 2, Event::SessionEnds(p, handle)));
                    }
                    (_, Decision::Reject { .. }) if retries < 3 => {
                        queue.insert((now + SECOND / 3, Event::SessionArrives(n, retries + 1)));
                    }
                    _ => {}
                }
            }
        }
    }
    (worst_overload(&set, &entries, &sent), sent.values().map(Vec::len).sum(), n)
}

fn run_seeds(
    play: fn(FleetModel, u64) -> (f64, usize, usize),
    model: FleetModel,
    seeds: u64,
) -> (f64, usize, usize) {
    (1..=seeds)
        .map(|seed| play(model, seed))
        .fold((0.0, 0, 0), |sum, d| (d.0.max(sum.0), sum.1 + d.1, sum.2 + d.2))
}

/// A group of 150 must not come to its owner at several times the limit, although each proxy has seen few of it.
#[test]
fn no_size_of_fleet_overloads_an_endpoint_in_slow_start() {
    let sizes = [
        (1, 12, 24),
        (4, 12, 24),
        (20, 30, 16),
        (30, 30, 16),
        (40, 60, 12),
        (300, 90, 8),
        (350, 200, 4),
        (350, 400, 4),
    ];
    for (proxies, endpoints, seeds) in sizes {
        for group in [1, 50, 150] {
            let model = FleetModel { proxies, endpoints, group, allowed: USUAL, step: true, budget: true };
            let (worst_overload, slow_start, arrived) = run_seeds(mass_restart, model, seeds);
            let name = format!("{proxies} proxies, {endpoints} endpoints, groups of {group}");
            assert!(worst_overload <= 1.0, "{name}: {worst_overload:.2} of the limit");
            assert!(
                slow_start * 100 > arrived,
                "{name}: {slow_start} of {arrived} to endpoints in slow start, which stay idle"
            );
            let (worst_overload, ..) = run_seeds(mass_restart, FleetModel { step: false, ..model }, seeds);
            assert!(worst_overload <= 1.0, "{name}, each at its own time: {worst_overload:.2} of the limit");
        }
    }
}

/// The least and the greatest overload multiple, with the shortest and the longest window and slow start; without the
/// quota the model is overloaded.
#[test]
fn no_settings_let_a_fleet_overload_an_endpoint_in_slow_start() {
    for (proxies, endpoints) in [(4, 12), (20, 30), (30, 30), (300, 90)] {
        for multiple in [1.5, 8.0] {
            for (span, slow_start) in
                [(SECOND / 2, 3 * SECOND), (SECOND / 2, 30 * SECOND), (3 * SECOND, 8 * SECOND)]
            {
                let allowed = (multiple, span, slow_start);
                let model = FleetModel { proxies, endpoints, group: 150, allowed, step: false, budget: true };
                let name = format!(
                    "{proxies} proxies, multiple {multiple}, span {span}, slow start of {slow_start}"
                );
                for group in [1, 50, 150] {
                    let (worst_overload, ..) = run_seeds(mass_restart, FleetModel { group, ..model }, 6);
                    assert!(
                        worst_overload <= 1.0,
                        "{name}, groups of {group}: {worst_overload:.2} of the limit"
                    );
                }
                let (worst_overload, ..) = run_seeds(mass_restart, FleetModel { budget: false, ..model }, 2);
                assert!(
                    slow_start < 10 * SECOND || worst_overload > 1.0,
                    "{name}: no overload without a quota"
                );
            }
        }
    }
}

/// Twenty to thirty proxies together send an endpoint in slow start no more than its quota, in a burst as well.
#[test]
fn no_burst_overloads_an_endpoint_in_slow_start() {
    for (proxies, endpoints) in [(20, 12), (30, 12), (20, 40), (30, 40)] {
        for group in [1, 50, 150] {
            let model = FleetModel { proxies, endpoints, group, allowed: USUAL, step: true, budget: true };
            let name = format!("{proxies} proxies, {endpoints} endpoints, groups of {group}");
            let (worst_overload, slow_start, arrived) = run_seeds(burst, model, 8);
            assert!(worst_overload <= 1.0, "{name}: {worst_overload:.2} of the limit");
            assert!(
                slow_start * 400 > arrived,
                "{name}: {slow_start} of {arrived} to endpoints in slow start, which stay idle"
            );
            let (worst_overload, ..) = run_seeds(burst, FleetModel { budget: false, ..model }, 1);
            assert!(worst_overload > 1.0, "{name}: no overload without a quota");
        }
    }
}
