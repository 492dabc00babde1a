//! A session store shared by all endpoints, behind a fleet whose proxies are restarted in turn. It has a fixed rate,
//! serves its queue in order, and goes on with attempts whose clients have gone. Rejected and timed-out clients retry a
//! bounded number of times, and new ones keep arriving. A restarted proxy knows nothing of the overload that it meets.
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
/// Handshakes a second that the store can do, at 30 proxies and at 300. Under about 0.4 a second for each proxy the
/// half-open attempts alone, one in four seconds, are most of it.
const STORE_CAPACITY: [(usize, u64); 2] = [(30, 120), (300, 240)];
const ENDPOINTS: usize = 40;
/// One in so many endpoints hangs all the time.
const HANGING_PERIOD: usize = 20;
/// Sessions established at the start; new ones come at OFFERED_LOAD times the capacity of the store.
const ESTABLISHED: usize = 3000;
const OFFERED_LOAD: f64 = 1.3;
/// The most retries of a client.
const MAX_CLIENT_RETRIES: u32 = 10;
/// A tenth of the proxies is restarted each step.
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
    /// A client arrives, after so many retries.
    ClientArrives(u32),
    /// The store has finished the handshake of an attempt.
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
    /// Sessions by their handle: retries of the client before this one, and the number of their latest attempt.
    sessions: std::collections::BTreeMap<SessionHandle, (u32, u32)>,
}

struct Fleet {
    set: Settings,
    rng: ChaCha8Rng,
    entries: Vec<EndpointEntry>,
    proxies_state: Vec<Proxy>,
    events: BTreeSet<(Timestamp, u64, Event)>,
    count: u64,
    capacity: u64,
    /// Since when each proxy has rejected sessions without an attempt, and how many; and which proxies rejected
    /// everything, fifteen sessions or more, for four seconds.
    rejections: Vec<(Timestamp, u32)>,
    rejecting_all: BTreeSet<usize>,
    /// When the queue of the store is empty.
    store_free_at: Timestamp,
    served: Vec<Timestamp>,
}

impl Fleet {
    fn schedule(&mut self, time: Timestamp, event: Event) {
        self.count += 1;
        self.events.insert((time, self.count, event));
    }

    fn retry_later(&mut self, now: Timestamp, retries: u32, wait: TickDuration) {
        if retries + 1 < MAX_CLIENT_RETRIES {
            let own = random_duration(&mut self.rng, SECOND / 50..SECOND * 15 / 100);
            // Seven in ten clients respect Retry-After.
            let wait = if self.rng.random_bool(0.7) { wait.max(own) } else { own };
            self.schedule(now + wait, Event::ClientArrives(retries + 1));
        }
    }

    fn carry_out(&mut self, now: Timestamp, p: usize, handle: SessionHandle, decision: Decision) {
        let incarnation = self.proxies_state[p].incarnation;
        match decision {
            Decision::Connect { timeout: limit, endpoint, .. } => {
                self.rejections[p].1 = 0;
                let proxy_state = self.proxies_state[p].sessions.get_mut(&handle).expect("a session of ours");
                proxy_state.1 += 1;
                let attempt = proxy_state.1;
                // The network and the endpoint take some milliseconds besides.
                let hangs = endpoint.0 % HANGING_PERIOD == 0;
                self.store_free_at = self.store_free_at.max(now)
                    + if hangs { TickDuration::ZERO } else { SECOND / self.capacity };
                let through = self.store_free_at + ticks(self.rng.random_range(30..60));
                if through < now + limit && !hangs {
                    self.schedule(through, Event::HandshakeDone { proxy: p, incarnation, handle, attempt });
                } else {
                    self.schedule(
                        now + limit,
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
                let (retries, _) = self.proxies_state[p].sessions.remove(&handle).expect("a session of ours");
                self.retry_later(now, retries, retry_after);
            }
            Decision::Fail => {
                let (retries, _) = self.proxies_state[p].sessions.remove(&handle).expect("a session of ours");
                self.retry_later(now, retries, TickDuration::ZERO);
            }
        }
    }

    fn poll(&mut self, now: Timestamp, p: usize) {
        let incarnation = self.proxies_state[p].incarnation;
        for action in self.proxies_state[p].balancer.poll(now) {
            match action {
                Action::CheckHealth(endpoint) => {
                    self.schedule(now + ticks(20), Event::HealthChecked { proxy: p, incarnation, endpoint })
                }
                Action::Decided(handle, decision) => self.carry_out(now, p, handle, decision),
                // The clients of migrated sessions reconnect.
                Action::Migrate(handle) => {
                    if let Some((_, _)) = self.proxies_state[p].sessions.remove(&handle) {
                        self.proxies_state[p].balancer.client_left(handle);
                        self.retry_later(now, 0, TickDuration::ZERO);
                    }
                }
                _ => {}
            }
        }
    }

    fn restarted(&mut self, now: Timestamp, p: usize) -> Proxy {
        let mut balancer = Balancer::new(self.set.clone(), self.rng.random(), now);
        balancer.update_endpoints(now, ListScope::Cached, &self.entries);
        let incarnation = self.proxies_state.get(p).map_or(0, |old| old.incarnation + 1);
        Proxy { balancer, incarnation, sessions: Default::default() }
    }

    fn request(&mut self, reconnecting: bool) -> SessionRequest {
        let (client_key, dial_timeout) = (self.rng.random(), self.set.max_dial_timeout);
        SessionRequest { client_key, dial_timeout, reconnecting, ..SessionRequest::default() }
    }

    fn event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::ClientArrives(retries) => {
                let (p, request) = (self.rng.random_range(0..self.proxies_state.len()), self.request(false));
                let (handle, decision) = self.proxies_state[p].balancer.place(now, request);
                self.proxies_state[p].sessions.insert(handle, (retries, 0));
                self.carry_out(now, p, handle, decision);
                self.poll(now, p);
            }
            Event::HandshakeDone { proxy, incarnation, handle, attempt }
            | Event::AttemptTimedOut { proxy, incarnation, handle, attempt } => {
                let proxy_state = &mut self.proxies_state[proxy];
                if proxy_state.incarnation != incarnation
                    || proxy_state.sessions.get(&handle).is_none_or(|s| s.1 != attempt)
                {
                    return;
                }
                if matches!(event, Event::HandshakeDone { .. }) {
                    proxy_state.balancer.established(now, handle);
                    self.served.push(now);
                } else {
                    let (retries, _) = proxy_state.sessions.remove(&handle).expect("just seen");
                    proxy_state.balancer.attempt_ended(now, handle, AttemptOutcome::TimedOut, true);
                    self.retry_later(now, retries, TickDuration::ZERO);
                }
                self.poll(now, proxy);
            }
            Event::HealthChecked { proxy, incarnation, endpoint } => {
                if self.proxies_state[proxy].incarnation == incarnation {
                    let outcome = if endpoint.0 % HANGING_PERIOD == 0 {
                        AttemptOutcome::TimedOut
                    } else {
                        AttemptOutcome::Succeeded
                    };
                    self.proxies_state[proxy].balancer.health_checked(
                        now,
                        endpoint,
                        outcome,
                        ticks(20),
                        0.3,
                        30.0,
                    );
                    self.poll(now, proxy);
                }
            }
            Event::Poll(p) => {
                self.poll(now, p);
                self.schedule(now + SECOND / 5, Event::Poll(p));
            }
            Event::Restart(p) => {
                let new = self.restarted(now, p);
                self.rejections[p].1 = 0;
                let old = std::mem::replace(&mut self.proxies_state[p], new);
                // Its clients reconnect within a second, to any proxy.
                for _ in old.sessions {
                    let back = now + random_duration(&mut self.rng, SECOND * 6 / 100..SECOND * 9 / 10);
                    self.schedule(back, Event::ClientArrives(0));
                }
            }
        }
    }
}

/// Handshakes done in each second, as shares of the capacity of the store, and how many proxies rejected everything.
fn simulate(proxies: usize, capacity: u64, dial_timeout: TickDuration, seed: u64) -> (Vec<f64>, usize) {
    let (set, rng) = (settings(proxies, dial_timeout), ChaCha8Rng::seed_from_u64(seed));
    let entry = |s: usize| EndpointEntry {
        endpoint: EndpointIndex(s),
        id: 77 + 1000 * s as u32,
        state: EndpointState::Ready,
        ..EndpointEntry::default()
    };
    let entries = (0..ENDPOINTS).map(entry).collect();
    let (proxies_state, events, served) = (Vec::new(), BTreeSet::new(), Vec::new());
    let (rejections, rejecting_all) = (vec![(Timestamp::ZERO, 0); proxies], BTreeSet::new());
    let mut d = Fleet {
        set,
        rng,
        entries,
        proxies_state,
        events,
        count: 0,
        capacity,
        rejections,
        rejecting_all,
        store_free_at: Timestamp::ZERO,
        served,
    };
    for p in 0..proxies {
        let new = d.restarted(Timestamp::ZERO, p);
        d.proxies_state.push(new);
        d.schedule(at(ticks(d.count % 200 * 10)), Event::Poll(p));
        d.schedule(FIRST_RESTART + (p * 10 / proxies) as u64 * RESTART_STEP, Event::Restart(p));
    }
    for n in 0..ESTABLISHED {
        let request = d.request(false);
        let proxy_state = &mut d.proxies_state[n % proxies];
        let handle = proxy_state.balancer.adopt_established(
            Timestamp::ZERO,
            request,
            EndpointIndex(n * 7 % ENDPOINTS),
        );
        proxy_state.sessions.insert(handle, (0, 0));
    }
    let gap = TickDuration::from_f64(SECOND.as_f64() / (capacity as f64 * OFFERED_LOAD));
    let arrivals_until = |end: Timestamp| end.as_ticks() / gap.as_ticks();
    (0..arrivals_until(FIRST_RESTART) / 2).for_each(|n| d.schedule(at(n * gap * 2), Event::ClientArrives(0)));
    (arrivals_until(FIRST_RESTART)..arrivals_until(END))
        .for_each(|n| d.schedule(at(n * gap), Event::ClientArrives(0)));
    while let Some((now, _, event)) = d.events.pop_first().filter(|e| e.0 < END) {
        d.event(now, event);
    }
    let share =
        |from: Timestamp| d.served.iter().filter(|t| (from..from + SECOND).contains(*t)).count() as f64;
    (
        (0..END.as_ticks() / SECOND.as_ticks()).map(|s| share(at(s * SECOND)) / capacity as f64).collect(),
        d.rejecting_all.len(),
    )
}

/// Restarted proxies must take timeouts for a sign of the store: else what they send keeps its queue full for good.
#[test]
fn overload_that_restarts_begin_ends_with_them() {
    let second = |time: Timestamp| (time.as_ticks() / SECOND.as_ticks()) as usize;
    let seconds = |from: Timestamp, to: Timestamp| second(from)..second(to);
    for ((proxies, capacity), dial_timeout) in STORE_CAPACITY.iter().flat_map(|b| [(*b, 9), (*b, 32)]) {
        for seed in 1..=20 {
            let (served, rejecting_all) = simulate(proxies, capacity, dial_timeout * SECOND / 10, seed);
            let name = format!(
                "{proxies} proxies, dial timeout of {dial_timeout} tenths of a second, seed {seed}: {served:.2?}"
            );
            let mean = |s: std::ops::Range<usize>| served[s.clone()].iter().sum::<f64>() / s.len() as f64;
            let calm = mean(seconds(at(3 * SECOND), FIRST_RESTART)) / OFFERED_LOAD * 2.0;
            assert!(calm > 0.97, "{calm:.2} of the load before the restarts, {name}");
            assert!(rejecting_all * 10 <= proxies, "{rejecting_all} reject everything, {name}");
            for from in seconds(LAST_RESTART + 5 * SECOND, END - 2 * SECOND) {
                assert!(mean(from..from + 3) >= 0.9, "{from} s, {name}");
            }
        }
    }
}
