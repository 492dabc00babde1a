//! A session store that all servers share, behind a fleet whose proxies are restarted in turn: it bears a told rate,
//! serves its queue in order, and works on for dials whose clients have gone. Clients that are refused or late come again
//! a bounded number of times, and new ones keep coming. Each restarted proxy knows nothing of the jam that it meets.
use std::collections::BTreeSet;

use larklink_balancer::{
    Action, AttemptOutcome, Balancer, Decision, EndpointEntry, EndpointIndex, EndpointState, Idempotency,
    ListScope, Listener, SessionHandle, SessionRequest, Settings, TickDuration, Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: TickDuration = 10_000;
/// Set-ups a second that the store bears, at 30 proxies and at 300. Below some 0.4 a second for each of hundreds what
/// none may go without, a dial in four seconds, is most of what it bears: at 120 before 300 it came back to 0.6.
const BEARS: [(usize, u64); 2] = [(30, 120), (300, 240)];
const SERVERS: usize = 40;
/// Each of so many servers hangs all day.
const HANGS: usize = 20;
/// So many sessions stand at first, and new ones come at this share of what the store bears, all day.
const STAND: usize = 3000;
const COME: f64 = 1.3;
/// A client that is refused or late comes again so often.
const TRIES: u32 = 10;
/// A tenth of the proxies is stopped each step, which reaches all in ten.
const STEP: TickDuration = 16 * SECOND / 10;
const BEGIN: TickDuration = 20 * SECOND;
const LAST: TickDuration = BEGIN + 9 * STEP;
const END: TickDuration = LAST + 15 * SECOND;

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
        message_objective: 600,
        ..Settings::default()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client comes; so often before.
    Comes(u32),
    /// The store is through with a dial of this proxy's generation and session; else its client's time is over.
    Through {
        proxy: usize,
        life: u32,
        ix: SessionHandle,
        dial: u32,
    },
    Over {
        proxy: usize,
        life: u32,
        ix: SessionHandle,
        dial: u32,
    },
    Probed {
        proxy: usize,
        life: u32,
        server: EndpointIndex,
    },
    Round(usize),
    Restart(usize),
}

struct Proxy {
    b: Balancer,
    life: u32,
    /// Sessions by their handle: tries of the client before this one, and the number of their latest dial.
    sessions: std::collections::BTreeMap<SessionHandle, (u32, u32)>,
}

struct Day {
    set: Settings,
    rng: ChaCha8Rng,
    entries: Vec<EndpointEntry>,
    fleet: Vec<Proxy>,
    events: BTreeSet<(TickDuration, u64, Event)>,
    count: u64,
    bears: u64,
    /// When each proxy turned a session away first since its last dial, and how many since then; and who has turned away
    /// all that it got, fifteen or more, for four seconds on end.
    turned: Vec<(TickDuration, u32)>,
    shut: BTreeSet<usize>,
    /// When the store is through with all that it was asked.
    free: TickDuration,
    served: Vec<TickDuration>,
}

impl Day {
    fn at(&mut self, time: TickDuration, event: Event) {
        self.count += 1;
        self.events.insert((time, self.count, event));
    }

    fn again(&mut self, now: Timestamp, tries: u32, wait: TickDuration) {
        if tries + 1 < TRIES {
            let own = self.rng.random_range(SECOND / 50..SECOND * 15 / 100);
            // Seven in ten do as they are told.
            let wait = if self.rng.random_bool(0.7) { wait.max(own) } else { own };
            self.at(now + wait, Event::Comes(tries + 1));
        }
    }

    fn does(&mut self, now: Timestamp, p: usize, ix: SessionHandle, verdict: Decision) {
        let life = self.fleet[p].life;
        match verdict {
            Decision::Connect { timeout: limit, endpoint: server, .. } => {
                self.turned[p].1 = 0;
                let x = self.fleet[p].sessions.get_mut(&ix).expect("a session of ours");
                x.1 += 1;
                let dial = x.1;
                // The way there and back and the server's own work take some milliseconds besides.
                let hangs = server % HANGS == 0;
                self.free = self.free.max(now) + if hangs { 0 } else { SECOND / self.bears };
                let through = self.free + self.rng.random_range(30..60);
                if through < now + limit && !hangs {
                    self.at(through, Event::Through { proxy: p, life, ix, dial });
                } else {
                    self.at(now + limit, Event::Over { proxy: p, life, ix, dial });
                }
            }
            Decision::Wait => {}
            Decision::Reject { retry_after } => {
                let (since, n) = &mut self.turned[p];
                *since = if *n == 0 { now } else { *since };
                *n += 1;
                if *n >= 15 && *since + 4 * SECOND <= now {
                    self.shut.insert(p);
                }
                let (tries, _) = self.fleet[p].sessions.remove(&ix).expect("a session of ours");
                self.again(now, tries, retry_after);
            }
            Decision::Fail => {
                let (tries, _) = self.fleet[p].sessions.remove(&ix).expect("a session of ours");
                self.again(now, tries, 0);
            }
        }
    }

    fn poll(&mut self, now: Timestamp, p: usize) {
        let life = self.fleet[p].life;
        for chore in self.fleet[p].b.poll(now) {
            match chore {
                Action::CheckHealth(server) => self.at(now + 20, Event::Probed { proxy: p, life, server }),
                Action::Decided(ix, verdict) => self.does(now, p, ix, verdict),
                // Standing sessions that are moved are dialled anew by their clients.
                Action::Migrate(ix) => {
                    if let Some((_, _)) = self.fleet[p].sessions.remove(&ix) {
                        self.fleet[p].b.client_left(ix);
                        self.again(now, 0, 0);
                    }
                }
                _ => {}
            }
        }
    }

    fn restarted(&mut self, now: Timestamp, p: usize) -> Proxy {
        let mut b = Balancer::new(self.set.clone(), self.rng.random(), now);
        b.update_endpoints(now, ListScope::Cached, &self.entries);
        let life = self.fleet.get(p).map_or(0, |old| old.life + 1);
        Proxy { b, life, sessions: Default::default() }
    }

    fn ask(&mut self, reconnecting: bool) -> SessionRequest {
        let (client_key, dial_timeout) = (self.rng.random(), self.set.max_dial_timeout);
        SessionRequest { client_key, dial_timeout, reconnecting, ..SessionRequest::default() }
    }

    fn event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Comes(tries) => {
                let (p, ask) = (self.rng.random_range(0..self.fleet.len()), self.ask(false));
                let (ix, verdict) = self.fleet[p].b.place(now, ask);
                self.fleet[p].sessions.insert(ix, (tries, 0));
                self.does(now, p, ix, verdict);
                self.poll(now, p);
            }
            Event::Through { proxy, life, ix, dial } | Event::Over { proxy, life, ix, dial } => {
                let x = &mut self.fleet[proxy];
                if x.life != life || x.sessions.get(&ix).is_none_or(|s| s.1 != dial) {
                    return;
                }
                if matches!(event, Event::Through { .. }) {
                    x.b.established(now, ix);
                    self.served.push(now);
                } else {
                    let (tries, _) = x.sessions.remove(&ix).expect("just seen");
                    x.b.attempt_ended(now, ix, AttemptOutcome::TimedOut, true);
                    self.again(now, tries, 0);
                }
                self.poll(now, proxy);
            }
            Event::Probed { proxy, life, server } => {
                if self.fleet[proxy].life == life {
                    let how = if server % HANGS == 0 {
                        AttemptOutcome::TimedOut
                    } else {
                        AttemptOutcome::Succeeded
                    };
                    self.fleet[proxy].b.health_checked(now, server, how, 20, 0.3, 30.0);
                    self.poll(now, proxy);
                }
            }
            Event::Round(p) => {
                self.poll(now, p);
                self.at(now + SECOND / 5, Event::Round(p));
            }
            Event::Restart(p) => {
                let new = self.restarted(now, p);
                self.turned[p].1 = 0;
                let old = std::mem::replace(&mut self.fleet[p], new);
                // Its clients come again within a second, wherever they like.
                for _ in old.sessions {
                    let back = now + self.rng.random_range(SECOND * 6 / 100..SECOND * 9 / 10);
                    self.at(back, Event::Comes(0));
                }
            }
        }
    }
}

/// Set-ups that were served in each second of a day, as shares of what the store bears, and how many proxies served nobody.
fn day(proxies: usize, bears: u64, dial_timeout: TickDuration, seed: u64) -> (Vec<f64>, usize) {
    let (set, rng) = (settings(proxies, dial_timeout), ChaCha8Rng::seed_from_u64(seed));
    let entry = |s| EndpointEntry {
        endpoint: s,
        id: 77 + 1000 * s as u32,
        state: EndpointState::Ready,
        ..EndpointEntry::default()
    };
    let entries = (0..SERVERS).map(entry).collect();
    let (fleet, events, served) = (Vec::new(), BTreeSet::new(), Vec::new());
    let (turned, shut) = (vec![(0, 0); proxies], BTreeSet::new());
    let mut d = Day { set, rng, entries, fleet, events, count: 0, bears, turned, shut, free: 0, served };
    for p in 0..proxies {
        let new = d.restarted(0, p);
        d.fleet.push(new);
        d.at(d.count % 200 * 10, Event::Round(p));
        d.at(BEGIN + (p * 10 / proxies) as TickDuration * STEP, Event::Restart(p));
    }
    for n in 0..STAND {
        let ask = d.ask(false);
        let x = &mut d.fleet[n % proxies];
        let ix = x.b.adopt_established(0, ask, n * 7 % SERVERS);
        x.sessions.insert(ix, (0, 0));
    }
    let gap = (SECOND as f64 / (bears as f64 * COME)) as TickDuration;
    (0..BEGIN / gap / 2).for_each(|n| d.at(n * gap * 2, Event::Comes(0)));
    (BEGIN / gap..END / gap).for_each(|n| d.at(n * gap, Event::Comes(0)));
    while let Some((now, _, event)) = d.events.pop_first().filter(|e| e.0 < END) {
        d.event(now, event);
    }
    let share =
        |from: Timestamp| d.served.iter().filter(|t| (from..from + SECOND).contains(*t)).count() as f64;
    ((0..END / SECOND).map(|s| share(s * SECOND) / bears as f64).collect(), d.shut.len())
}

/// Reported from a rolling restart of the full fleet: restarted proxies took no late dial for a sign of the store, and
/// what they sent kept its queue full until the day's end, ten seconds after the last restart.
#[test]
fn a_jam_that_restarts_begin_ends_with_them() {
    let seconds = |from: Timestamp, to: TickDuration| (from / SECOND) as usize..(to / SECOND) as usize;
    for ((proxies, bears), dial_timeout) in BEARS.iter().flat_map(|b| [(*b, 9), (*b, 32)]) {
        for seed in 1..=20 {
            let (served, shut) = day(proxies, bears, dial_timeout * SECOND / 10, seed);
            let name = format!(
                "{proxies} proxies, dial timeout of {dial_timeout} tenths of a second, seed {seed}: {served:.2?}"
            );
            let mean = |s: std::ops::Range<usize>| served[s.clone()].iter().sum::<f64>() / s.len() as f64;
            let calm = mean(seconds(3 * SECOND, BEGIN)) / COME * 2.0;
            assert!(calm > 0.97, "{calm:.2} of those who come in the calm, {name}");
            assert!(shut * 10 <= proxies, "{shut} serve nobody, {name}");
            for from in seconds(LAST + 5 * SECOND, END - 2 * SECOND) {
                assert!(mean(from..from + 3) >= 0.9, "{from} s, {name}");
            }
        }
    }
}
