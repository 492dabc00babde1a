//! Where each session goes: every decision of a larklink proxy, with no I/O, clock or wire.
//!
//! Make one [`Balancer`] a proxy, hand it the server list ([`Balancer::heard_list`]), ask where a session
//! goes ([`Balancer::place`]) and whether again ([`Balancer::settled`]), tell what else is seen (`stood`,
//! `noted`, `probed`, `left`). After each call, and at [`Balancer::due`], do what [`Balancer::poll`] returns.
//! The ordinary path is the bucket table of `docs/design.md`, where a row stands for each departure below.
use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Beta, Distribution};
use slab::Slab;
use xxhash_rust::xxh3::xxh3_64;

use crate::action::{Action, Decision, HealthSummary, LogEvent};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::discovery_schedule::DiscoverySchedule;
use crate::event::{AttemptOutcome, EndpointEntry, EndpointState, ListScope, Observation, SessionRequest};
use crate::ids::{EndpointIndex, SessionHandle, TickDuration, Timestamp};
use crate::random::round_randomly;
use crate::retry_budget::RetryBudget;
use crate::settings::{DeduplicationGroup, Idempotency, Listener, Settings};

/// Buckets of the table, alike at every proxy.
const BUCKETS: u64 = 4096;
/// "Clearly more than the mean": so many times it, and one session on top for chance.
const CLEARLY: f64 = 1.3;
/// How far a session walks down its bucket's ranking past servers that are there but full.
const WALK: usize = 3;
/// The first near server among so many of a ranking goes first; not among all, as a zone may have too few.
const NEAR: usize = 2 * WALK;
/// A server is probed after so many connect time-outs of silence, over the root of what it holds; one that
/// tells its load, silent or not, over what it holds: sooner at first, as its crowd came with our sessions.
const QUIET: u64 = 64;
/// And a server that missed once, after so many; twice as many for each further miss, up to so many times.
const DOUBTED: u64 = 2;
const SELDOM: u64 = 8;
/// Failures in a row, with no sign of life between, after which a server counts as silent.
const SILENT: u32 = 2;
/// Share of a silent server's sessions that is moved off it each connect time-out.
const MOVED: f64 = 0.5;
/// A draining server's leave evenly over so many drain graces, as it serves until it stops: all at once jam
/// the store. It may hurt where a drain is shorter: what is left then breaks and comes again all at once.
const LEAVE: u64 = 5;
/// A server counts as crowded when it tells that so much of what it can do is asked of it,
const FULL: f64 = 0.6;
/// and gives up sessions down to so much.
const BRIM: f64 = 0.75;
/// A session of so many mean loads goes before the others, who would all have to go in its place.
const HEAVY: f64 = 4.0;
/// The share of those who come again after a break or a move that passes over a server not met yet.
const AGAIN: f64 = 0.5;
/// Each move takes this share of the hope that a further one earns; a second gives half as much back.
const HOPE: f64 = 0.1;
/// A delay note comes once a second while messages take long, and moves sessions as often.
const NOTE: TickDuration = 10_000;
/// Share of a crowded server's load that is moved off it each time, for each doubling of the delay.
const EASED: f64 = 0.08;
/// A cap on the load of a server is never less than this: it has to grow first before a session fits, for
/// three quarters of a minute. It may hurt where a server was emptied by a crowd that does not come back.
const LEAST: f64 = 0.25;
/// That cap grows back by this share a second.
const REGROW: f64 = 0.03;
/// Failures are forgotten by this share a second.
const FORGET: f64 = 0.1;
/// Load notes over which the mean load of a session is taken; a listener's over its root.
const MEMORY: f64 = 256.0;
/// Pairs of one group and pairs in all that are supposed to have been seen before any is: a proxy of a few
/// sessions takes two that share a group by chance for no large one. It may hurt where all are of one group.
const SUPPOSED: (f64, f64) = (1.0, 50.0);
/// The same where a group may come all at once to a server that has just started.
const UNSEEN: (f64, f64) = (3.0, 50.0);
/// Among so many proxies each meets those who want to go to a cold server often enough to go by them alone.
const SEVERAL: f64 = 20.0;
/// The most successes that speak for a server.
const TRUSTED: f64 = 8.0;

/// All that is known of one server.
#[derive(Clone, Debug, Default)]
struct Server {
    entry: EndpointEntry,
    /// When we were told that it drains or is gone.
    told: Option<Timestamp>,
    /// It was listed as draining, and not as ready since.
    drained: bool,
    /// When it joined our list; 0: from the first.
    joined: Timestamp,
    /// Sessions of ours that stand there or are being dialled, and their load in mean loads of a session.
    held: u32,
    load: f64,
    /// When the first of those that are held without a break came.
    met: Timestamp,
    /// The posterior of its chance of success: successes and failures, the prior included.
    good: f64,
    bad: f64,
    /// Failures since its last sign of life, and when a set-up last hung.
    misses: u32,
    /// A connection to it failed since then, and when one served after that: lists say it late or never.
    down: bool,
    back: Timestamp,
    hung: Timestamp,
    heard: Timestamp,
    probed: Option<Timestamp>,
    /// The latest probe to it is out.
    asked: bool,
    /// Up to when it counts as crowded, and when sessions were last moved off it for that.
    crowded: Timestamp,
    eased: Timestamp,
    /// The share of its load that is too much, by the last word on it.
    excess: f64,
    /// The most load of ours that it bears, learned when it was crowded.
    cap: f64,
    /// When a session last wanted to go there while it was cold, and what part of one was due there then.
    wanted: (TickDuration, f64),
}

impl Server {
    fn new() -> Self {
        Self { good: 2.0, bad: 1.0, cap: f64::INFINITY, ..Self::default() }
    }

    fn ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// It is to get nothing new. Where only drains bind, one that the list has merely lost keeps what stands
    /// there until our own evidence speaks against it. It leaves the table, which the list alone makes.
    fn barred(&self, only_drains: bool) -> bool {
        !self.ready() && (self.drained || !only_drains)
    }

    /// The time since its last start, if that was of late, or since it came back as far as we saw ourselves.
    fn age(&self, now: Timestamp) -> TickDuration {
        let last = self.entry.started_at.max(self.back);
        if last == 0 { Timestamp::MAX } else { now.saturating_sub(last) }
    }

    /// A sign of life: the process answers. It may take connections and drop them, so this is no success.
    fn heard(&mut self, now: Timestamp) {
        self.forget(if self.misses > 0 { 0.5 } else { 0.0 });
        self.back = if std::mem::take(&mut self.down) { now } else { self.back };
        (self.heard, self.misses) = (now, 0);
    }

    /// It serves a session dialled at `since`; who stood there before set-ups hung tells nothing of new ones.
    fn served(&mut self, now: Timestamp, since: Timestamp) {
        self.heard(now);
        let tells = f64::from(u8::from(since >= self.hung));
        self.good = (self.good + tells).min(TRUSTED);
        self.forget(tells / 2.0);
    }

    /// Drops a share of its failures, down to the prior.
    fn forget(&mut self, share: f64) {
        self.bad = 1.0 + (self.bad - 1.0) * (1.0 - share);
    }

    /// What the end of a dial, a connection or a probe says of it.
    fn ended(&mut self, now: Timestamp, how: AttemptOutcome, probe: bool) {
        match how {
            AttemptOutcome::Succeeded if !probe => return self.served(now, now),
            AttemptOutcome::Succeeded | AttemptOutcome::AtCapacity => return self.heard(now),
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                (self.misses, self.down) = (self.misses + 1, true)
            }
            AttemptOutcome::TimedOut if probe => self.misses += 1,
            AttemptOutcome::TimedOut => self.hung = now,
            AttemptOutcome::Failed if !probe => {}
            _ => return,
        }
        (self.good, self.bad) = (1.0 + (self.good - 1.0) / 2.0, (self.bad + 1.0).min(TRUSTED));
    }

    /// Its process has started anew: what was learned of the old one is void.
    fn restart(&mut self, now: Timestamp) {
        (self.bad, self.misses, self.heard, self.crowded, self.cap) = (1.0, 0, now, 0, f64::INFINITY);
    }

    fn take(&mut self, now: Timestamp, load: f64) {
        self.met = if self.held == 0 { now } else { self.met };
        (self.held, self.load) = (self.held + 1, self.load + load);
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Phase {
    #[default]
    Idle,
    Waits,
    Dials,
    Stands,
}

#[derive(Clone, Debug, Default)]
struct Sess {
    ask: SessionRequest,
    bucket: u64,
    /// When the client gives up.
    until: Timestamp,
    phase: Phase,
    /// When its latest dial was sent, and where to.
    sent: Timestamp,
    server: EndpointIndex,
    dials: u32,
    /// Probes that were made for it.
    probes: usize,
    /// In mean loads of a session: what was told of it, else its listener's mean.
    load: f64,
    /// For its turn at cold servers: the time since the session before it, and a share of 1 drawn by chance.
    turn: (f64, f64),
    /// The first dial that may have run: its server and when it was sent.
    may_have_run: Option<(EndpointIndex, TickDuration)>,
}

/// What differs by listener.
struct Row {
    listener: Listener,
    /// The mean load of its sessions.
    load: f64,
}

/// Weighted rendezvous: a server's claim on a bucket is -weight / ln(hash of bucket and id as a share of 1).
fn claim(bucket: u64, id: u32, weight: f64) -> f64 {
    let key = (u128::from(bucket) | u128::from(id) << 64).to_le_bytes();
    let share = ((xxh3_64(&key[..12]) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / share.ln()
}

pub struct Balancer {
    set: Settings,
    rows: Vec<Row>,
    rng: ChaCha8Rng,
    servers: Vec<Server>,
    sessions: Slab<Sess>,
    /// Each bucket's ranking of the ready servers, worked out when first asked for.
    table: BTreeMap<u64, Vec<EndpointIndex>>,
    /// A list has come since the last poll.
    relisted: bool,
    /// How many of our sessions are of each bucket, and how many ordered pairs of them share one.
    mates: Vec<u32>,
    pairs: u64,
    /// The same over those that came since the start, the latest most: pairs in all, and in one bucket.
    seen: (f64, f64),
    /// The mean load that was told, and by how many notes.
    unit: (f64, f64),
    /// Sessions that servers told they hold, and for how much weight at full load, over the latest answers.
    bears: (f64, f64),
    /// When a session last came, or this process started: what was due earlier its forerunner has spent.
    came: Timestamp,
    concurrency_limit: ConcurrencyLimit,
    retry_budget: RetryBudget,
    discovery: DiscoverySchedule,
    /// What moving on promises: falls with each session moved, comes back with time.
    hope: f64,
    /// Sessions that wait for the answer to a probe.
    waiting: Vec<SessionHandle>,
    next_tick: Timestamp,
    /// What the next poll returns.
    todo: Vec<Action>,
}

impl Balancer {
    pub fn new(set: Settings, seed: u64, now: Timestamp) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            rows: set.listeners.iter().map(|l| Row { listener: *l, load: 1.0 }).collect(),
            concurrency_limit: ConcurrencyLimit::new(&set, now),
            retry_budget: RetryBudget::new(&set),
            discovery: DiscoverySchedule::new(&set, now),
            // Proxies that start together do not look after the servers in step.
            next_tick: now + rng.random_range(0..=set.connect_timeout),
            set,
            rng,
            servers: Vec::new(),
            sessions: Slab::new(),
            table: BTreeMap::new(),
            relisted: false,
            mates: vec![0; BUCKETS as usize],
            pairs: 0,
            seen: (0.0, 0.0),
            unit: (0.0, 0.0),
            bears: (0.0, 0.0),
            came: now,
            hope: 1.0,
            waiting: Vec::new(),
            todo: Vec::new(),
        }
    }

    /// The server list, or what changed in it.
    pub fn update_endpoints(&mut self, now: Timestamp, scope: ListScope, entries: &[EndpointEntry]) {
        if scope != ListScope::Changes {
            let listed: BTreeSet<_> = entries.iter().map(|e| e.endpoint).collect();
            let missing = |s: &&mut Server| s.ready() && !listed.contains(&s.entry.endpoint);
            for s in self.servers.iter_mut().filter(missing) {
                (s.entry.state, s.told) = (EndpointState::Removed, Some(now));
            }
        }
        for &entry in entries {
            let s = self.server(entry.endpoint);
            if entry.started_at > s.entry.started_at {
                s.restart(now);
            }
            if entry.state == EndpointState::Ready && !s.ready() {
                s.joined = if scope == ListScope::Cached { 0 } else { now };
            }
            s.entry = entry;
            s.told = if s.ready() { None } else { s.told.or(Some(now)) };
            s.drained = !s.ready() && (s.drained || entry.state == EndpointState::Draining);
        }
        self.relisted = true;
        self.table.clear();
        self.discovery.record_list(scope);
    }

    /// A call for the list failed, or the subscription broke: ask again, after a wait drawn by chance so that
    /// the proxies do not come back together, well before this one counts as told of what it could not hear.
    pub fn discovery_failed(&mut self, now: Timestamp) {
        self.discovery.record_failure(now, &mut self.rng);
    }

    /// A connection that already runs through this proxy.
    pub fn adopt_established(
        &mut self,
        now: Timestamp,
        ask: SessionRequest,
        server: EndpointIndex,
    ) -> SessionHandle {
        let ix = self.enter(now, ask);
        let sess = &mut self.sessions[ix];
        (sess.phase, sess.server, sess.dials) = (Phase::Stands, server, 1);
        let load = sess.load;
        self.server(server).take(now, load);
        ix
    }

    /// Another process of this proxy has been taking its sessions until now, and may still dial for them:
    /// what is free of the retry budget counts as spent until the last of those dials has left the window.
    pub fn take_over(&mut self, now: Timestamp) {
        self.retry_budget.take_over(now, self.set.max_dial_timeout);
    }

    /// Where to send this one.
    pub fn place(&mut self, now: Timestamp, ask: SessionRequest) -> (SessionHandle, Decision) {
        let ix = self.enter(now, ask);
        self.retry_budget.record_session(now);
        let gap = (now - std::mem::replace(&mut self.came, now)).min(self.set.overload_window);
        self.sessions[ix].turn = (gap as f64, self.rng.random());
        (ix, self.next(now, ix))
    }

    /// A dial or a connection ended. Where the session is not over, says what comes next.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        ix: SessionHandle,
        how: AttemptOutcome,
        over: bool,
    ) -> Option<Decision> {
        let sess = self.sessions.get_mut(ix)?;
        let (server, load, phase) = (sess.server, sess.load, std::mem::take(&mut sess.phase));
        let (sent, dials, patience) = (sess.sent, sess.dials, sess.ask.dial_timeout);
        if !how.never_ran() {
            sess.may_have_run.get_or_insert((server, sess.sent));
        }
        self.let_go(server, load, phase);
        if matches!(how, AttemptOutcome::Failed | AttemptOutcome::TimedOut) {
            self.record_attempt(now, server, how, patience, patience);
        }
        self.servers[server].ended(now, how, false);
        if how == AttemptOutcome::NotSent && dials > 1 {
            self.retry_budget.refund(sent);
        }
        if over {
            self.remove(ix);
        }
        (!over).then(|| self.next(now, ix))
    }

    /// The dial's connection stands.
    pub fn established(&mut self, now: Timestamp, ix: SessionHandle) {
        let Some(sess) = self.sessions.get_mut(ix) else { return };
        sess.phase = Phase::Stands;
        self.concurrency_limit.attempt_left_flight();
        let (server, took, patience) = (sess.server, now - sess.sent, sess.ask.dial_timeout);
        // Who goes on mid-flow asked the store for nothing: prompt, he opened windows before a jammed one.
        let asked = !sess.ask.established || sess.dials > 1;
        self.servers[server].heard(now);
        if asked {
            self.record_attempt(now, server, AttemptOutcome::Succeeded, took, patience);
        }
    }

    /// Adjusts the concurrency limit to the result of an attempt.
    fn record_attempt(
        &mut self,
        now: Timestamp,
        endpoint: EndpointIndex,
        outcome: AttemptOutcome,
        took: TickDuration,
        dial_timeout: TickDuration,
    ) {
        if self.concurrency_limit.record_attempt(now, endpoint, outcome, took, dial_timeout) {
            self.todo.push(Action::Log(LogEvent::AttemptsLimited));
        }
    }

    /// The client has left, or was moved: the session is over.
    pub fn client_left(&mut self, ix: SessionHandle) {
        let Some(sess) = self.remove(ix) else { return };
        if matches!(sess.phase, Phase::Dials | Phase::Stands) {
            self.let_go(sess.server, sess.load, sess.phase);
        }
    }

    /// A dial or a connection of ours is no more.
    fn let_go(&mut self, server: EndpointIndex, load: f64, phase: Phase) {
        if phase == Phase::Dials {
            self.concurrency_limit.attempt_left_flight();
        }
        let s = &mut self.servers[server];
        s.held = s.held.saturating_sub(1);
        s.load = if s.held == 0 { 0.0 } else { (s.load - load).max(0.0) };
    }

    /// Word on an open connection.
    pub fn observe(&mut self, now: Timestamp, ix: SessionHandle, note: Observation) {
        let Some(sess) = self.sessions.get_mut(ix) else { return };
        let (s, before) = (&mut self.servers[sess.server], sess.load);
        if note == Observation::Unresponsive {
            // No failure yet, but a doubt: it is probed soon, however lately its sessions spoke of it.
            return s.misses = s.misses.max(1);
        }
        if let Observation::Load(load) = note {
            self.unit.1 = (self.unit.1 + 1.0).min(MEMORY);
            self.unit.0 += (load - self.unit.0) / self.unit.1;
            sess.load = if self.unit.0 > 0.0 { load / self.unit.0 } else { 1.0 };
            let row = &mut self.rows[sess.ask.listener];
            row.load += (sess.load - row.load) / MEMORY.sqrt();
        }
        let (change, half) = (sess.load - before, self.set.message_objective / 2);
        s.load = (s.load + change).max(0.0);
        if matches!(note, Observation::MessageLatency(delay) if delay > self.set.max_dial_timeout) {
            // No client would be accepted there in time: as silent as one that answers no probe.
            s.misses = SILENT - 1;
            return s.ended(now, AttemptOutcome::TimedOut, true);
        }
        s.served(now, sess.sent);
        if let Observation::MessageLatency(delay) = note {
            // More for each doubling of what a message takes: what is piled up has to be worked off too.
            let slow = EASED * (delay as f64 / half as f64).log2().max(1.0);
            (s.crowded, s.excess) = if delay > half { (now + NOTE * 3 / 2, slow) } else { (0, 0.0) };
        }
    }

    /// The answer to a probe; `load` is what is asked of a server over what it can do, `holds` its sessions.
    pub fn health_checked(
        &mut self,
        now: Timestamp,
        server: EndpointIndex,
        how: AttemptOutcome,
        took: TickDuration,
        load: f64,
        holds: f64,
    ) {
        let (target, tells, cold) =
            (self.set.message_objective, self.set.load_reports, self.set.slow_start_duration);
        if self.server(server).age(now) >= cold {
            let weight = self.weight(&self.servers[server]);
            self.bears.0 += holds - self.bears.0 / MEMORY;
            self.bears.1 += load * weight - self.bears.1 / MEMORY;
        }
        let s = self.server(server);
        s.asked = false;
        if how == AttemptOutcome::Succeeded {
            // Where the load is told, a slow answer tells of the way there only, as a first one's connection.
            if load > FULL || !tells && took > target / 2 {
                s.crowded = s.crowded.max(now + NOTE * 3 / 2);
                s.cap = s.cap.min(s.load).max(LEAST);
            } else if tells {
                // It bears as much more from each of us, who may have had little there so far.
                s.cap = s.cap.max((s.load + 2.0) * FULL / load);
            }
            // Lines come back at once even where no message is answered in time: only the load tells.
            s.excess = s.excess.max(1.0 - BRIM / load);
        }
        s.ended(now, how, true);
    }

    /// How many servers the list has, and how many are avoided now: they drain, are silent, or mostly failed.
    pub fn health_summary(&self) -> HealthSummary {
        let listed = self.servers.iter().filter(|s| s.entry.state != EndpointState::Removed);
        let avoided = |s: &&Server| !s.ready() || s.misses >= SILENT || s.bad > s.good;
        HealthSummary { listed: listed.clone().count(), avoided: listed.filter(avoided).count() }
    }

    /// When [`Balancer::poll`] wants to be called next.
    pub fn next_wakeup(&self) -> Timestamp {
        self.discovery.next_poll_at().min(self.next_tick)
    }

    /// Housekeeping: asks for the list, probes the quiet, moves sessions off servers.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Action> {
        // Where connecting takes longer than a drain's grace, new work came after it: what is not sent goes
        // elsewhere, mid-flow sessions keep half the grace. It may hurt where all drain, as the dial counts.
        let relisted = std::mem::take(&mut self.relisted);
        for (ix, x) in self.sessions.iter().filter(|(_, x)| relisted && x.phase == Phase::Dials) {
            if self.servers[x.server].barred(self.set.removal_not_binding) {
                let by = if x.ask.established && x.dials == 1 { self.permit(x, x.server) } else { now };
                self.todo.push(Action::LimitSendDeadline(ix, by));
            }
        }
        for ix in std::mem::take(&mut self.waiting) {
            let Some(x) = self.sessions.get(ix).filter(|x| x.phase == Phase::Waits) else { continue };
            if self.servers[x.server].asked {
                if now < x.sent + self.set.connect_timeout {
                    self.waiting.push(ix);
                    continue;
                }
                self.sessions[ix].probes = WALK;
            }
            let verdict = self.next(now, ix);
            self.todo.push(Action::Decided(ix, verdict));
        }
        if self.discovery.take_due_poll(now) {
            self.todo.push(Action::PollEndpointList);
        }
        if self.next_tick <= now {
            self.next_tick = now + self.set.connect_timeout;
            self.tick(now);
        }
        std::mem::take(&mut self.todo)
    }

    /// Looks after each server, once a connect time-out.
    fn tick(&mut self, now: Timestamp) {
        let (round, probing) = (self.set.connect_timeout, self.set.health_checks);
        self.hope += (1.0 - self.hope) * HOPE / 2.0 * round as f64 / NOTE as f64;
        for ix in 0..self.servers.len() {
            let s = &mut self.servers[ix];
            s.forget(FORGET * round as f64 / NOTE as f64);
            s.cap *= 1.0 + REGROW * round as f64 / NOTE as f64;
            let (held, quiet, probed) = (u64::from(s.held.max(1)), round * QUIET, s.probed.unwrap_or(0));
            let often = (quiet as f64 / s.load.max(held as f64)) as TickDuration;
            let (last, wait) = match (s.misses, self.set.load_reports) {
                (0, true) => {
                    let known = probed.saturating_sub(s.met);
                    (probed, often.min(round * DOUBTED + known).max(round * DOUBTED))
                }
                (0, false) => (s.heard.max(probed), quiet / held.isqrt()),
                // All proxies ask a lost zone's servers: the more they missed, the less often.
                _ => {
                    let doubled = 1 << s.misses.saturating_sub(SILENT).min(u64::BITS / 2);
                    let most = round * DOUBTED * SELDOM.min(doubled);
                    (s.heard.max(probed), self.rng.random_range(most / 2..=most))
                }
            };
            let barred = s.barred(self.set.removal_not_binding);
            if probing && !barred && (s.held > 0 || s.misses > 0) && last + wait <= now {
                (s.probed, s.asked) = (Some(now), true);
                self.todo.push(Action::CheckHealth(ix));
            }
            let share = match s.told {
                Some(told) if s.misses < SILENT && s.entry.state == EndpointState::Draining => {
                    round as f64 / (told + self.set.drain_grace * LEAVE).saturating_sub(now).max(round) as f64
                }
                _ => MOVED,
            };
            if s.held > 0 && (s.misses >= SILENT || barred) {
                // A silent server's sessions hang until the list notices, a draining one's break at its stop.
                if s.misses == SILENT {
                    s.misses += 1;
                    let (endpoint_id, sessions) = (s.entry.id, s.held);
                    self.todo.push(Action::Log(LogEvent::EndpointEjected { endpoint_id, sessions }));
                }
                let pace = round_randomly(held as f64 * share, &mut self.rng) as usize;
                let moves: Vec<_> = self.standing(ix).take(pace).map(|(i, _)| Action::Migrate(i)).collect();
                self.todo.extend(moves);
            } else if s.ready() && s.excess > 0.0 && s.crowded > now && s.eased + NOTE <= now {
                self.ease(now, ix);
            }
        }
    }

    /// A server where messages take long serves nobody well: moves sessions of the groups with the weakest
    /// claim to it, the same at every proxy, a few at a time: whole groups only carry the crowd on.
    fn ease(&mut self, now: Timestamp, ix: EndpointIndex) {
        let s = &self.servers[ix];
        let ready = self.servers.iter().filter(|o| o.ready());
        let (room, none): (Vec<_>, Vec<_>) = ready.partition(|o| o.crowded <= now && o.misses == 0);
        if room.is_empty() && s.excess <= EASED * 3.0 {
            return;
        }
        // Where no load is told, a new session is the test of a server of which its proxy knows nothing else.
        let share = room.len() as f64 / (room.len() + none.len()) as f64 / f64::from(s.held).powi(2);
        let bounce = if self.set.load_reports {
            0.0
        } else {
            self.hope * share * self.concurrency_limit.fraction_of_one()
        };
        let (most, weight, id) = (s.load * s.excess.min(0.5), self.weight(s), s.entry.id);
        let order = |x: &Sess| if x.load > HEAVY { 0.0 } else { claim(x.bucket, id, weight) };
        let mut claims: Vec<_> = self.standing(ix).map(|(i, x)| (order(x), i)).collect();
        claims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        // With hundreds of proxies each holds a session or two there: one each would empty it at once.
        let (mut seen, mut moved) = (0.0, 0.0);
        for (_, sess) in claims {
            let x = &self.sessions[sess];
            let (load, new, heavy) = (x.load, x.sent + 2 * NOTE > now, x.load > HEAVY && seen < most);
            let least = if new { bounce } else { 0.0 };
            let fits = if heavy { 1.0 } else { ((most - seen) / load).clamp(least, 1.0) };
            seen += load;
            if round_randomly(fits, &mut self.rng) > 0.0 {
                moved += load;
                self.hope *= 1.0 - HOPE;
                self.todo.push(Action::Migrate(sess));
            }
        }
        let s = &mut self.servers[ix];
        // Held to what it is left with, else new sessions refill it as fast.
        (s.eased, s.excess, s.cap) = (now, 0.0, s.cap.min(s.load - moved).max(LEAST));
    }

    /// Our sessions that stand on a server.
    fn standing(&self, ix: EndpointIndex) -> impl Iterator<Item = (SessionHandle, &Sess)> {
        self.sessions.iter().filter(move |(_, x)| x.phase == Phase::Stands && x.server == ix)
    }

    /// The record of a server; one that no list has named yet counts as gone.
    fn server(&mut self, ix: EndpointIndex) -> &mut Server {
        if self.servers.len() <= ix {
            self.servers.resize_with(ix + 1, Server::new);
        }
        &mut self.servers[ix]
    }

    fn weight(&self, s: &Server) -> f64 {
        if self.set.weighted && s.entry.weight > 0.0 { s.entry.weight } else { 1.0 }
    }

    fn enter(&mut self, now: Timestamp, ask: SessionRequest) -> SessionHandle {
        // A session with neither key draws its bucket.
        let bucket = match (ask.group_key, ask.client_key) {
            (0, 0) => self.rng.random_range(0..BUCKETS),
            (0, key) | (key, _) => xxh3_64(&key.to_le_bytes()) % BUCKETS,
        };
        let (until, load) = (now + ask.dial_timeout, self.rows[ask.listener].load);
        let mates = &mut self.mates[bucket as usize];
        let keep = 1.0 - 1.0 / MEMORY.powi(2);
        self.seen.0 = self.seen.0 * keep + 2.0 * self.sessions.len() as f64;
        self.seen.1 = self.seen.1 * keep + 2.0 * f64::from(*mates);
        (self.pairs, *mates) = (self.pairs + 2 * u64::from(*mates), *mates + 1);
        self.sessions.insert(Sess { ask, bucket, until, load, sent: now, ..Sess::default() })
    }

    fn remove(&mut self, ix: SessionHandle) -> Option<Sess> {
        let sess = self.sessions.try_remove(ix)?;
        let mates = &mut self.mates[sess.bucket as usize];
        (self.pairs, *mates) = (self.pairs - 2 * u64::from(*mates - 1), *mates - 1);
        Some(sess)
    }

    /// What share of all sessions, at all proxies, are of a bucket, and the mean of that share: one of
    /// hundreds that holds a few knows the size of groups by how many of the pairs that met share one.
    fn share(&self, bucket: u64, shared: f64, met: f64, supposed: (f64, f64)) -> (f64, f64) {
        let others = (self.sessions.len() as f64 - 1.0).max(1.0);
        let mean = (2.0 * supposed.0 + shared) / (met + supposed.1);
        (f64::from(self.mates[bucket as usize]) / (others + 1.0 / mean), mean)
    }

    /// Of the first servers of a ranking, the first that is near goes before the others.
    fn near_first(&self, mut ranking: Vec<EndpointIndex>) -> Vec<EndpointIndex> {
        let near = |ix: &EndpointIndex| self.set.local_zone == Some(self.servers[*ix].entry.zone);
        if let Some(n) = ranking.iter().take(NEAR).position(near) {
            ranking[..=n].rotate_right(1);
        }
        ranking
    }

    /// The servers in the order of their claims on a bucket.
    fn rank(&self, bucket: u64, keep: impl Fn(&Server) -> bool) -> Vec<EndpointIndex> {
        let mut claims: Vec<_> = (self.servers.iter().filter(|s| keep(s)))
            .map(|s| (claim(bucket, s.entry.id, self.weight(s)), s.entry.id, s.entry.endpoint))
            .collect();
        claims.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        claims.into_iter().map(|(_, _, ix)| ix).collect()
    }

    /// How many first servers of a ranking have no more than so much weight together.
    fn within(&self, ranking: &[EndpointIndex], mut weight: f64) -> usize {
        let fits = |ix: &&EndpointIndex| {
            weight -= self.weight(&self.servers[**ix]);
            weight >= 0.0
        };
        ranking.iter().take_while(fits).count()
    }

    /// Sends a session on, or gives it its final answer at once.
    fn next(&mut self, now: Timestamp, ix: SessionHandle) -> Decision {
        let sess = self.sessions[ix].clone();
        let left = sess.until.saturating_sub(now);
        let Listener { handshake_objective: target, idempotency: kind, .. } =
            self.rows[sess.ask.listener].listener;
        let fits = left > 0 && (sess.dials == 0 || left > self.set.connect_timeout / 4);
        let fits = fits && sess.dials < self.set.max_attempts;
        // Mid-flow it goes on at its server, which asks the store for nothing.
        let goes_on = sess.ask.established && sess.dials == 0;
        if fits
            && (goes_on || self.concurrency_limit.admits(now, &mut self.rng))
            && let Some(server) = self.choose(now, &sess)
            && (sess.dials == 0 || self.spared(now, &sess, server))
        {
            if self.unknown(now, &sess, server) {
                let x = &mut self.sessions[ix];
                (x.phase, x.server, x.sent, x.probes) = (Phase::Waits, server, now, x.probes + 1);
                self.waiting.push(ix);
                let s = &mut self.servers[server];
                if !std::mem::replace(&mut s.asked, true) {
                    s.probed = Some(now);
                    self.todo.push(Action::CheckHealth(server));
                }
                return Decision::Wait;
            }
            // The store still works on what a dial that ran out of time had asked of it, and jams by dials
            // that are made again: only one to a server in doubt leaves room for another.
            let limit = if self.servers[server].misses == 0 { left } else { target.min(left) };
            self.concurrency_limit.attempt_started(now);
            self.servers[server].take(now, sess.load);
            let x = &mut self.sessions[ix];
            (x.phase, x.server, x.sent, x.dials) = (Phase::Dials, server, now, x.dials + 1);
            let by = self.permit(&sess, server).min(now + limit);
            return Decision::Connect { endpoint: server, timeout: limit, send_deadline: by };
        }
        self.concurrency_limit.record_rejection();
        self.remove(ix);
        let harmless = match (kind, sess.may_have_run) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            // Who comes again after the longest wait has to find his reference still known, else he has
            // effect twice. It may hurt where windows are shorter than such waits: all these are torn down.
            (Idempotency::WithKey { group: DeduplicationGroup::All, window }, Some((_, sent))) => {
                now + self.set.max_retry_after < sent + window
            }
            _ => false,
        };
        if !harmless {
            return Decision::Fail;
        }
        // While the store is behind, later: who comes again sooner is refused again, with fewer tries left.
        let least = if self.concurrency_limit.is_below_one() { 0.75 } else { 0.25 };
        let wait = (self.set.max_retry_after as f64 * self.rng.random_range(least..1.0)) as TickDuration;
        Decision::Reject { retry_after: if self.set.retry_after_allowed { wait } else { 0 } }
    }

    /// Whether the retry budget has a further dial to that server for this session.
    fn spared(&mut self, now: Timestamp, sess: &Sess, ix: EndpointIndex) -> bool {
        let most = self.rows.iter().map(|r| r.listener.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
        let left = sess.until.saturating_sub(now) as f64 / sess.ask.dial_timeout.max(1) as f64;
        let s = &self.servers[ix];
        let worth =
            self.rows[sess.ask.listener].listener.priority_weight / most * left * s.good / (s.good + s.bad);
        self.retry_budget.try_acquire(now, worth)
    }

    /// With hundreds of proxies none sees by its own sessions what a server bears: it asks before its first.
    fn unknown(&self, now: Timestamp, sess: &Sess, ix: EndpointIndex) -> bool {
        let (s, wait) = (&self.servers[ix], self.set.connect_timeout);
        let free = self.set.health_checks && sess.dials == 0 && !sess.ask.established && sess.probes < WALK;
        let known = !s.asked && s.misses == 0 && s.probed.is_some_and(|t| now < t + NOTE);
        free && s.held == 0 && !known && sess.until > now + wait * 2
    }

    /// The first server down the bucket's ranking that nothing speaks against.
    fn choose(&mut self, now: Timestamp, sess: &Sess) -> Option<EndpointIndex> {
        if sess.ask.established && sess.dials == 0 {
            // The earlier owner: one that joined or started of late did not hold this connection, one that
            // drains may. Where many proxies die a restarted one would get all that its bucket has elsewhere.
            let (grace, keep) = (self.set.drain_grace / 2, self.set.slow_start_duration);
            let earlier = |s: &Server| match s.told {
                Some(t) if s.barred(self.set.removal_not_binding) => {
                    s.entry.state == EndpointState::Draining && now <= t + grace
                }
                Some(t) => now <= t + keep,
                None => s.ready() && (s.joined == 0 || s.joined + keep <= now) && s.age(now) >= keep,
            };
            let owner = self.near_first(self.rank(sess.bucket, earlier)).first().copied();
            if owner.is_some_and(|ix| self.servers[ix].misses < SILENT) {
                return owner;
            }
        }
        if !self.table.contains_key(&sess.bucket) {
            self.table.insert(sess.bucket, self.rank(sess.bucket, Server::ready));
        }
        let mut ranking = self.near_first(self.table[&sess.bucket].clone());
        let ready = self.servers.iter().filter(|s| s.ready());
        let (load, weight) = ready.fold((0.0, 0.0), |(l, w), s| (l + s.load, w + self.weight(s)));
        // Its group makes the mean load of so many servers: where none tells a load it starts at any of them.
        let all = self.sessions.len() as f64;
        let (share, _) = self.share(sess.bucket, self.pairs as f64, all * (all - 1.0).max(1.0), SUPPOSED);
        let breadth = self.within(&ranking, share * weight);
        if breadth > 1 && !self.set.load_reports {
            let all: f64 = ranking[..breadth].iter().map(|ix| self.weight(&self.servers[*ix])).sum();
            let start = self.rng.random::<f64>() * all;
            let start = self.within(&ranking[..breadth - 1], start);
            ranking[..breadth].rotate_left(start);
        }
        let (mut crowded, mut doubtful, mut full) = (Vec::new(), None, 0);
        for &ix in ranking.iter() {
            // Each server that holds any of a group pays for it, so a crowd must not scatter its groups: the
            // walk ends early. A group as large as several servers' mean load may walk on by as many.
            if full >= WALK + breadth {
                break;
            }
            if !self.allowed(now, sess, ix) || !self.within_budget(now, sess, ix, (load, weight, full)) {
                continue;
            }
            let s = &self.servers[ix];
            if s.load + sess.load > s.cap {
                full += 1;
                continue;
            }
            // A client that comes again after a break or a move tells of a crowd that this proxy has not met.
            let unmet = sess.ask.reconnecting && sess.dials == 0 && s.held == 0 && !self.set.load_reports;
            let most = CLEARLY * load / weight * self.weight(s) + 1.0;
            let over = s.crowded > now || s.load >= most || unmet && self.rng.random_bool(AGAIN * self.hope);
            // A doubtful server's work is drawn from the posterior of its chance of success.
            let chance = Beta::new(s.good, s.bad).expect("both above 0");
            if sess.dials > 0 && ix == sess.server || s.bad > 1.5 && chance.sample(&mut self.rng) < 0.5 {
                doubtful = doubtful.or(Some(ix));
            } else if over {
                full += 1;
                crowded.push(ix);
            } else {
                return Some(ix);
            }
        }
        // All are crowded: the less so of the first two, ties by chance.
        crowded.truncate(2);
        crowded.shuffle(&mut self.rng);
        let share = |ix: &EndpointIndex| self.servers[*ix].load / self.weight(&self.servers[*ix]);
        crowded.into_iter().min_by(|a, b| share(a).total_cmp(&share(b))).or(doubtful.filter(|_| full == 0))
    }

    /// Up to when a dial's first byte may go to a server: while the grace of its drain lasts, and while a
    /// session that may have run is still known there. Connecting takes time, in which either may end.
    fn permit(&self, sess: &Sess, ix: EndpointIndex) -> TickDuration {
        let s = &self.servers[ix];
        let told = s.told.filter(|_| s.barred(self.set.removal_not_binding));
        let drains = told.map_or(Timestamp::MAX, |t| t + self.set.drain_grace / 2);
        match (self.rows[sess.ask.listener].listener.idempotency, sess.may_have_run) {
            (Idempotency::WithKey { window, .. }, Some((_, sent))) => drains.min(sent + window),
            _ => drains,
        }
    }

    /// A session that may have run goes again only to servers that drop its repeats, while they know it.
    fn allowed(&self, now: Timestamp, sess: &Sess, ix: EndpointIndex) -> bool {
        let Some((first, sent)) = sess.may_have_run else { return true };
        let (a, b) = (&self.servers[first].entry, &self.servers[ix].entry);
        match self.rows[sess.ask.listener].listener.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::OnceOnly => false,
            Idempotency::WithKey { window, .. } if now >= sent + window => false,
            Idempotency::WithKey { group: DeduplicationGroup::All, .. } => true,
            Idempotency::WithKey { group: DeduplicationGroup::Zone, .. } => a.zone == b.zone,
            Idempotency::WithKey { group: DeduplicationGroup::Cell, .. } => a.cell == b.cell,
        }
    }

    /// A cold server takes no more than a share of what it can do, guessed from what warm servers tell that
    /// they bear, else from what they hold of ours. All proxies share that: what is due there from each grows
    /// between those who want to go there, from a part of a session drawn by chance, until it makes one.
    fn within_budget(
        &mut self,
        now: Timestamp,
        sess: &Sess,
        ix: EndpointIndex,
        ready: (f64, f64, usize),
    ) -> bool {
        let ((load, weight, full), s) = (ready, &self.servers[ix]);
        let (cold, start, age) = (self.set.slow_start_duration, self.set.initial_capacity, s.age(now));
        if age >= cold {
            return true;
        }
        let share = start + (1.0 - start) * age as f64 / cold as f64;
        let told = self.bears.0 / self.bears.1 / f64::from(self.set.proxy_count);
        let fill = share * self.weight(s) * if told.is_normal() { told } else { load / weight };
        // In the span in which a fall is counted all may send n, and 2 x root of n + 2 by chance. A few
        // proxies send n, in turn; each of hundreds draws, and the deviation of that over n is left free. It
        // may hurt where n is small: half of 1 is used, three quarters of 9.
        let (all, span) = (f64::from(self.set.proxy_count.max(1)), self.set.overload_window.max(1) as f64);
        let n = self.set.overload_multiple * fill * all / cold as f64 * span;
        let rate = n / (1.0 + ((1.0 - n.min(SEVERAL / 5.0) / all).max(0.0) / n).sqrt()) / span / all;
        // A group comes at once and to one server, from hundreds of proxies: none takes it for smaller than
        // all that it has seen are on the mean. It may hurt where sessions share none: young processes wait.
        let (own, mean) = self.share(sess.bucket, self.seen.1, self.seen.0, UNSEEN);
        let group = if sess.ask.group_key == 0 { 0.0 } else { own.max(mean) };
        // Each walks on to it where those before it are full: it counts by how many they were.
        let share = (self.weight(s) / weight).max(group) * (full + 1) as f64;
        // The time since one wanted to go there bounds the sum, of groups too. After a span one of hundreds
        // goes by that share of what comes; of few each would be due one. Who waited for a probe had a turn.
        let ((last, due), (gap, draw)) = (s.wanted, sess.turn);
        let since = now.saturating_sub(last) as f64;
        let (seen, lone) = (since.min(age as f64).min(span), span * (all / SEVERAL).powi(2));
        let lone = (gap / share).min(lone).max(seen);
        let due = if since < span { due + rate * seen } else { 1.0 - draw + rate * lone };
        let had = sess.probes > 0 && sess.dials == 0 && sess.server == ix;
        self.servers[ix].wanted = (now, due.fract());
        (had || due >= 1.0) && self.servers[ix].load < fill + 1.0
    }
}
