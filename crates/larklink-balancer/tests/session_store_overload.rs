//! Simulation of a fleet whose proxies are restarted a tenth at a time, with a session store shared by all
//! endpoints. Guards against an overload of the store that outlasts the restarts. The store has a fixed rate,
//! processes its queue in order, and also processes attempts whose clients have left. Rejected and timed-out
//! clients retry a bounded number of times, and new ones keep arriving. A restarted proxy does not know that
//! the store is overloaded.
use std::collections::BTreeSet;
use std::ops::Range;

use larklink_balancer::{
    Action, AttemptOutcome, Balancer, Decision, EndpointEntry, EndpointIndex, EndpointState, Idempotency,
    ListScope, Listener, SessionHandle, SessionRequest, Settings, TickDuration, Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(since_start: TickDuration) -> Timestamp {
    Timestamp::ZERO + since_start
}

fn ticks(count: u64) -> TickDuration {
    TickDuration::from_ticks(count)
}

fn random_duration(rng: &mut ChaCha8Rng, range: Range<TickDuration>) -> TickDuration {
    ticks(rng.random_range(range.start.as_ticks()..range.end.as_ticks()))
}

const SECOND: TickDuration = TickDuration::from_secs(1);
/// The number of proxies and the handshakes per second that the store can process. Below about 0.4 handshakes
/// per second and proxy, the half-open attempts, one in four seconds per proxy, would use most of the
/// capacity.
const STORE_CAPACITY: [(usize, u64); 2] = [(30, 120), (300, 240)];
const ENDPOINTS: usize = 40;
/// One in this many endpoints hangs all the time.
const HANGING_PERIOD: usize = 20;
/// The number of sessions established at the start.
const ESTABLISHED: usize = 3000;
/// The rate of new sessions from the first restart on, as a multiple of the store's capacity. Before it, half
/// of that rate.
const OFFERED_LOAD: f64 = 1.3;
/// The number of attempts after which a client gives up, including the first.
const MAX_CLIENT_ATTEMPTS: u32 = 10;
/// The time between restarts of a tenth of the proxies.
const RESTART_STEP: TickDuration = TickDuration::from_millis(1_600);
const FIRST_RESTART: Timestamp = Timestamp::from_ticks(200_000);
const LAST_RESTART: Timestamp = Timestamp::from_ticks(200_000 + 9 * 16_000);
const END: Timestamp = Timestamp::from_ticks(LAST_RESTART.as_ticks() + 150_000);

fn settings(proxies: usize, dial_timeout: TickDuration) -> Settings {
    Settings {
        listeners: vec![Listener {
            idempotency: Idempotency::Idempotent,
            handshake_objective: dial_timeout / 3,
            priority_weight: 1.0,
        }],
        proxy_count: proxies as u32,
        drain_grace: SECOND / 7,
        initial_capacity: 0.3,
        slow_start_duration: 8 * SECOND,
        overload_multiple: 2.0,
        overload_window: SECOND * 7 / 10,
        connect_timeout: SECOND / 5,
        max_attempts: 5,
        max_retry_after: SECOND * 6 / 10,
        retry_after_allowed: true,
        health_checks: true,
        max_dial_timeout: dial_timeout,
        message_objective: ticks(600),
        ..Settings::default()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client arrives after a number of retries.
    ClientArrives(u32),
    /// The store has completed the handshake of an attempt.
    HandshakeDone {
        proxy: usize,
        incarnation: u32,
        handle: SessionHandle,
        attempt: u32,
    },
    AttemptTimedOut {
        proxy: usize,
        incarnation: u32,
        handle: SessionHandle,
        attempt: u32,
    },
    HealthChecked {
        proxy: usize,
        incarnation: u32,
        endpoint: EndpointIndex,
    },
    Poll(usize),
    Restart(usize),
}

struct Proxy {
    balancer: Balancer,
    incarnation: u32,
    /// By handle of the session: the number of the client's earlier retries and the number of the latest
    /// attempt.
    sessions: std::collections::BTreeMap<SessionHandle, (u32, u32)>,
}

struct Fleet {
    settings: Settings,
    rng: ChaCha8Rng,
    entries: Vec<EndpointEntry>,
    proxies: Vec<Proxy>,
    events: BTreeSet<(Timestamp, u64, Event)>,
    count: u64,
    capacity: u64,
    /// For each proxy, the start and the number of its rejections since the latest attempt.
    rejections: Vec<(Timestamp, u32)>,
    /// The proxies that rejected all sessions, at least fifteen, for four seconds.
    rejecting_all: BTreeSet<usize>,
    /// When the store has processed its queue.
    store_free_at: Timestamp,
    /// When the store completed each handshake.
    served: Vec<Timestamp>,
}

impl Fleet {
    fn schedule(&mut self, time: Timestamp, event: Event) {
        self.count += 1;
        self.events.insert((time, self.count, event));
    }

    fn retry_later(&mut self, now: Timestamp, retries: u32, wait: TickDuration) {
        if retries + 1 < MAX_CLIENT_ATTEMPTS {
            let backoff = random_duration(&mut self.rng, SECOND / 50..SECOND * 15 / 100);
            // Seven in ten clients respect Retry-After.
            let wait = if self.rng.random_bool(0.7) { wait.max(backoff) } else { backoff };
            self.schedule(now + wait, Event::ClientArrives(retries + 1));
        }
    }

    fn carry_out(&mut self, now: Timestamp, p: usize, handle: SessionHandle, decision: Decision) {
        let incarnation = self.proxies[p].incarnation;
        match decision {
            Decision::Connect { timeout, endpoint, .. } => {
                self.rejections[p].1 = 0;
                let session = self.proxies[p].sessions.get_mut(&handle).expect("an open session");
                session.1 += 1;
                let attempt = session.1;
                let hangs = endpoint.0 % HANGING_PERIOD == 0;
                self.store_free_at = self.store_free_at.max(now)
                    + if hangs { TickDuration::ZERO } else { SECOND / self.capacity };
                // The network and the endpoint add some milliseconds.
                let done_at = self.store_free_at + ticks(self.rng.random_range(30..60));
                if done_at < now + timeout && !hangs {
                    self.schedule(done_at, Event::HandshakeDone { proxy: p, incarnation, handle, attempt });
                } else {
                    self.schedule(
                        now + timeout,
                        Event::AttemptTimedOut { proxy: p, incarnation, handle, attempt },
                    );
                }
            }
            Decision::Wait => {}
            Decision::Reject { retry_after } => {
                let (since, n) = &mut self.rejections[p];
                *since = if *n == 0 { now } else { *since };
                *n += 1;
                if *n >= 15 && *since + 4 * SECOND <= now {
                    self.rejecting_all.insert(p);
                }
                let (retries, _) = self.proxies[p].sessions.remove(&handle).expect("an open session");
                self.retry_later(now, retries, retry_after);
            }
            Decision::Fail => {
                let (retries, _) = self.proxies[p].sessions.remove(&handle).expect("an open session");
                self.retry_later(now, retries, TickDuration::ZERO);
            }
        }
    }

    fn poll(&mut self, now: Timestamp, p: usize) {
        let incarnation = self.proxies[p].incarnation;
        for action in self.proxies[p].balancer.poll(now) {
            match action {
                Action::CheckHealth(endpoint) => {
                    self.schedule(now + ticks(20), Event::HealthChecked { proxy: p, incarnation, endpoint })
                }
                Action::Decided(handle, decision) => self.carry_out(now, p, handle, decision),
                // The clients of migrated sessions reconnect.
                Action::Migrate(handle) => {
                    if let Some((_, _)) = self.proxies[p].sessions.remove(&handle) {
                        self.proxies[p].balancer.client_left(handle);
                        self.retry_later(now, 0, TickDuration::ZERO);
                    }
                }
                _ => {}
            }
        }
    }

    /// Returns a new process of a proxy.
    fn new_process(&mut self, now: Timestamp, p: usize) -> Proxy {
        let mut balancer = Balancer::new(self.settings.clone(), self.rng.random(), now);
        balancer.update_endpoints(now, ListScope::Cached, &self.entries);
        let incarnation = self.proxies.get(p).map_or(0, |old| old.incarnation + 1);
        Proxy { balancer, incarnation, sessions: Default::default() }
    }

    fn request(&mut self, reconnecting: bool) -> SessionRequest {
        let (client_key, dial_timeout) = (self.rng.random(), self.settings.max_dial_timeout);
        SessionRequest { client_key, dial_timeout, reconnecting, ..SessionRequest::default() }
    }

    fn handle_event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::ClientArrives(retries) => {
                let (p, request) = (self.rng.random_range(0..self.proxies.len()), self.request(false));
                let (handle, decision) = self.proxies[p].balancer.place(now, request);
                self.proxies[p].sessions.insert(handle, (retries, 0));
                self.carry_out(now, p, handle, decision);
                self.poll(now, p);
            }
            Event::HandshakeDone { proxy, incarnation, handle, attempt }
            | Event::AttemptTimedOut { proxy, incarnation, handle, attempt } => {
                let state = &mut self.proxies[proxy];
                if state.incarnation != incarnation
                    || state.sessions.get(&handle).is_none_or(|s| s.1 != attempt)
                {
                    return;
                }
                if matches!(event, Event::HandshakeDone { .. }) {
                    state.balancer.established(now, handle);
                    self.served.push(now);
                } else {
                    let (retries, _) = state.sessions.remove(&handle).expect("an open session");
                    state.balancer.attempt_ended(now, handle, AttemptOutcome::TimedOut, true);
                    self.retry_later(now, retries, TickDuration::ZERO);
                }
                self.poll(now, proxy);
            }
            Event::HealthChecked { proxy, incarnation, endpoint } => {
                if self.proxies[proxy].incarnation == incarnation {
                    let outcome = if endpoint.0 % HANGING_PERIOD == 0 {
                        AttemptOutcome::TimedOut
                    } else {
                        AttemptOutcome::Succeeded
                    };
                    self.proxies[proxy].balancer.health_checked(now, endpoint, outcome, ticks(20), 0.3, 30.0);
                    self.poll(now, proxy);
                }
            }
            Event::Poll(p) => {
                self.poll(now, p);
                self.schedule(now + SECOND / 5, Event::Poll(p));
            }
            Event::Restart(p) => {
                let new = self.new_process(now, p);
                self.rejections[p].1 = 0;
                let old = std::mem::replace(&mut self.proxies[p], new);
                // The clients of the old process reconnect within a second, to any proxy.
                for _ in old.sessions {
                    let back = now + random_duration(&mut self.rng, SECOND * 6 / 100..SECOND * 9 / 10);
                    self.schedule(back, Event::ClientArrives(0));
                }
            }
        }
    }
}

/// Runs the simulation. Returns the handshakes completed in each second as fractions of the store's capacity,
/// and the number of proxies that rejected all sessions for a time.
fn simulate(proxy_count: usize, capacity: u64, dial_timeout: TickDuration, seed: u64) -> (Vec<f64>, usize) {
    let (settings, rng) = (settings(proxy_count, dial_timeout), ChaCha8Rng::seed_from_u64(seed));
    let entry = |s: usize| EndpointEntry {
        index: EndpointIndex(s),
        id: 77 + 1000 * s as u32,
        state: EndpointState::Ready,
        ..EndpointEntry::default()
    };
    let entries = (0..ENDPOINTS).map(entry).collect();
    let (proxies, events, served) = (Vec::new(), BTreeSet::new(), Vec::new());
    let (rejections, rejecting_all) = (vec![(Timestamp::ZERO, 0); proxy_count], BTreeSet::new());
    let mut fleet = Fleet {
        settings,
        rng,
        entries,
        proxies,
        events,
        count: 0,
        capacity,
        rejections,
        rejecting_all,
        store_free_at: Timestamp::ZERO,
        served,
    };
    for p in 0..proxy_count {
        let new = fleet.new_process(Timestamp::ZERO, p);
        fleet.proxies.push(new);
        // Staggers the polls of the proxies.
        fleet.schedule(at(ticks(fleet.count % 200 * 10)), Event::Poll(p));
        fleet.schedule(FIRST_RESTART + (p * 10 / proxy_count) as u64 * RESTART_STEP, Event::Restart(p));
    }
    for n in 0..ESTABLISHED {
        let request = fleet.request(false);
        let proxy = &mut fleet.proxies[n % proxy_count];
        let handle =
            proxy.balancer.adopt_established(Timestamp::ZERO, request, EndpointIndex(n * 7 % ENDPOINTS));
        proxy.sessions.insert(handle, (0, 0));
    }
    let gap = TickDuration::from_ticks_f64(SECOND.as_ticks_f64() / (capacity as f64 * OFFERED_LOAD));
    let arrivals_until = |end: Timestamp| end.as_ticks() / gap.as_ticks();
    (0..arrivals_until(FIRST_RESTART) / 2)
        .for_each(|n| fleet.schedule(at(n * gap * 2), Event::ClientArrives(0)));
    (arrivals_until(FIRST_RESTART)..arrivals_until(END))
        .for_each(|n| fleet.schedule(at(n * gap), Event::ClientArrives(0)));
    while let Some((now, _, event)) = fleet.events.pop_first().filter(|e| e.0 < END) {
        fleet.handle_event(now, event);
    }
    let completed =
        |from: Timestamp| fleet.served.iter().filter(|t| (from..from + SECOND).contains(*t)).count() as f64;
    (
        (0..END.as_ticks() / SECOND.as_ticks())
            .map(|s| completed(at(s * SECOND)) / capacity as f64)
            .collect(),
        fleet.rejecting_all.len(),
    )
}

/// Restarted proxies must treat timeouts as overload of the store. Otherwise their attempts keep its queue
/// full forever.
#[test]
fn overload_caused_by_restarts_ends_after_them() {
    let second = |time: Timestamp| (time.as_ticks() / SECOND.as_ticks()) as usize;
    let seconds = |from: Timestamp, to: Timestamp| second(from)..second(to);
    for ((proxies, capacity), dial_timeout) in STORE_CAPACITY.iter().flat_map(|b| [(*b, 9), (*b, 32)]) {
        for seed in 1..=20 {
            let (served, rejecting_all) = simulate(proxies, capacity, dial_timeout * SECOND / 10, seed);
            let name = format!(
                "{proxies} proxies, dial timeout of {dial_timeout} tenths of a second, seed {seed}: {served:.2?}"
            );
            let mean = |s: std::ops::Range<usize>| served[s.clone()].iter().sum::<f64>() / s.len() as f64;
            // The fraction of the load that is served: half of `OFFERED_LOAD` arrives before the restarts.
            let before = mean(seconds(at(3 * SECOND), FIRST_RESTART)) / OFFERED_LOAD * 2.0;
            assert!(before > 0.97, "{before:.2} of the load is served before the restarts, {name}");
            assert!(rejecting_all * 10 <= proxies, "{rejecting_all} proxies reject all sessions, {name}");
            for from in seconds(LAST_RESTART + 5 * SECOND, END - 2 * SECOND) {
                assert!(mean(from..from + 3) >= 0.9, "{from} s, {name}");
            }
        }
    }
}
