//! Where each session goes: every decision of a larklink proxy, with no I/O, clock or wire.
//!
//! How to call it. Make one [`Balancer`] a proxy, hand it the server list with [`Balancer::heard_list`], then ask:
//! [`Balancer::place`] says where a session goes, [`Balancer::settled`] whether it goes again. Tell it what it could
//! not see otherwise: [`Balancer::stood`], [`Balancer::noted`], [`Balancer::probed`], [`Balancer::left`]. Call
//! [`Balancer::chores`] when [`Balancer::due`] has come, and carry out what it returns. Every call takes the time
//! now; none blocks. The values that go in and out, this module's interface, are defined in `types.rs`.
//!
//! The ordinary path is the bucket table of `docs/design.md`; a paragraph there stands for each departure below.
use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Beta, Distribution};
use slab::Slab;
use xxhash_rust::xxh3::xxh3_64;

use crate::types::*;

/// Buckets of the table, alike at every proxy.
const BUCKETS: u64 = 4096;
/// "Clearly more than the mean": so many times it, and one connection on top for chance.
const CROWDED: f64 = 1.3;
/// A server that we hold sessions on is probed when it has said nothing for so many connect time-outs.
const QUIET: u64 = 8;
/// Housekeeping comes round once in this share of a connect time-out.
const ROUNDS: u64 = 1;
/// Failures in a row, with no sign of life between, after which a server counts as silent.
const SILENT: u32 = 2;
/// Share of a silent server's sessions that is moved off in one round.
const MOVED: f64 = 0.25;
/// Share of a crowded server's sessions that is moved off it at a time.
const EASED: f64 = 0.08;
/// Of what a server held when it dropped a session, the share that it is held to thereafter.
const SHED: f64 = 0.9;
/// That cap grows by this share each message target times a hundred.
const REGROW: f64 = 0.05;

/// Load notes over which the mean load of a session is taken; a listener's over its root.
const MEMORY: f64 = 256.0;

/// All that is known of one server.
#[derive(Clone, Debug)]
struct Server {
    entry: Entry,
    /// When we were told that it drains or is gone.
    told: Option<Time>,
    /// When it joined the ready servers of our list.
    joined: Time,
    /// Sessions of ours that stand there or are being dialled.
    held: u32,
    /// Their load, in mean loads of a session.
    load: f64,
    /// Evidence of its health, the prior included.
    good: f64,
    bad: f64,
    /// Failures since its last sign of life.
    misses: u32,
    heard: Time,
    probed: Option<Time>,
    /// Up to when it counts as crowded.
    crowded: Time,
    /// When sessions were last moved off it for that.
    eased: Time,
    /// The most sessions of ours that it bears, learned from those it dropped.
    cap: f64,
    /// Sends that its cold budget still allows.
    budget: f64,
    refilled: Time,
}

impl Server {
    fn alive(&mut self, now: Time) {
        (self.heard, self.misses, self.bad) = (now, 0, 1.0);
        self.good = (self.good + 1.0).min(8.0);
    }

    fn missed(&mut self) {
        self.misses += 1;
        self.bad += 1.0;
        self.good = 1.0 + (self.good - 1.0) / 2.0;
    }

    fn take(&mut self, load: f64) {
        (self.held, self.load) = (self.held + 1, self.load + load);
    }

    fn release(&mut self, load: f64) {
        self.held = self.held.saturating_sub(1);
        self.load = if self.held == 0 { 0.0 } else { (self.load - load).max(0.0) };
    }

    fn ready(&self) -> bool {
        self.entry.state == State::Ready
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Waits,
    Dials,
    Stands,
}

#[derive(Clone, Debug)]
struct Sess {
    ask: Session,
    bucket: u64,
    /// When the client gives up.
    until: Time,
    server: ServerIx,
    dials: u32,
    phase: Phase,
    /// Its load in mean loads of a session: what was told, else its listener's mean.
    load: f64,
    /// The first dial that may have run: its server and when it was sent.
    may_have_run: Option<(ServerIx, Time)>,
    sent: Time,
}

/// Weighted rendezvous: a server's claim on a bucket is -weight / ln(hash of bucket and id as a share of 1).
fn claim(bucket: u64, id: u32, weight: f64) -> f64 {
    let mut key = [0; 12];
    key[..8].copy_from_slice(&bucket.to_le_bytes());
    key[8..].copy_from_slice(&id.to_le_bytes());
    let share = ((xxh3_64(&key) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / share.ln()
}

/// What differs by listener.
struct Row {
    kind: Kind,
    handshake_target: Time,
    /// Its mean load, in mean loads of a session.
    load: f64,
}

pub struct Balancer {
    set: Settings,
    rows: Vec<Row>,
    /// The mean load that was told, and by how many notes.
    unit: f64,
    told: f64,
    rng: ChaCha8Rng,
    servers: Vec<Option<Server>>,
    sessions: Slab<Sess>,
    /// Each bucket's ranking of the ready servers, worked out when first asked for.
    table: BTreeMap<u64, Vec<ServerIx>>,
    /// Dials out, and how many may be while the session store answers with errors.
    out: f64,
    window: f64,
    /// Sessions that wait for their turn in it.
    waiting: VecDeque<SessIx>,
    /// Where setting up last ended in an error.
    failed_at: Option<ServerIx>,
    /// What setting up takes of late, over all servers.
    setup: f64,
    next_round: Time,
    next_ask: Option<Time>,
    started: Time,
    logs: Vec<Chore>,
}

impl Balancer {
    pub fn new(set: Settings, seed: u64, now: Time) -> Self {
        let row = |l: &Listener| Row { kind: l.kind, handshake_target: l.handshake_target, load: 1.0 };
        let rows = set.listeners.iter().map(row).collect();
        let (unit, told) = (0.0, 0.0);
        let next_ask = set.on_request.then_some(now);
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (servers, sessions, table) = (Vec::new(), Slab::new(), BTreeMap::new());
        let (setup, logs) = (0.0, Vec::new());
        let (out, window) = (0.0, f64::INFINITY);
        Self {
            set,
            rows,
            unit,
            told,
            rng,
            servers,
            sessions,
            table,
            out,
            window,
            waiting: VecDeque::new(),
            failed_at: None,
            setup,
            next_round: now,
            next_ask,
            started: now,
            logs,
        }
    }

    /// The server list, or what changed in it.
    pub fn heard_list(&mut self, now: Time, scope: Scope, entries: &[Entry]) {
        if scope != Scope::Changes {
            for s in self.servers.iter_mut().flatten() {
                if s.ready() && !entries.iter().any(|e| e.server == s.entry.server) {
                    (s.entry.state, s.told) = (State::Gone, Some(now));
                }
            }
        }
        for &entry in entries {
            if self.servers.len() <= entry.server {
                self.servers.resize(entry.server + 1, None);
            }
            let fresh = Server {
                entry,
                told: None,
                joined: now,
                held: 0,
                load: 0.0,
                good: 2.0,
                bad: 1.0,
                misses: 0,
                heard: now,
                probed: None,
                crowded: 0,
                eased: 0,
                cap: f64::INFINITY,
                budget: 0.0,
                refilled: now,
            };
            let s = self.servers[entry.server].get_or_insert(fresh);
            let was_ready = s.ready();
            if entry.came_up > s.entry.came_up {
                (s.budget, s.refilled, s.misses, s.bad, s.heard) = (0.0, now, 0, 1.0, now);
                s.cap = f64::INFINITY;
            }
            s.entry = entry;
            match (was_ready, s.ready()) {
                (false, true) => (s.told, s.joined) = (None, now),
                (true, false) => s.told = Some(now),
                (false, false) => s.told = s.told.or(Some(now)),
                (true, true) => {}
            }
        }
        self.table.clear();
        if scope == Scope::Whole {
            self.next_ask = self.next_ask.map(|_| Time::MAX);
        }
    }

    /// A call for the list failed, or the subscription broke: ask again, after a wait drawn by chance.
    pub fn list_failed(&mut self, now: Time) {
        if self.set.on_request {
            let wait = self.set.must_ask_in / 8;
            self.next_ask = Some(now + self.rng.random_range(wait / 4..=wait));
        }
    }

    /// A connection that already runs through this proxy.
    pub fn adopt(&mut self, now: Time, ask: Session, server: ServerIx) -> SessIx {
        let load = self.rows[ask.listener].load;
        let bucket = self.bucket(&ask);
        if let Some(s) = self.server(server) {
            s.take(load);
        }
        let until = now + ask.patience;
        let sess = Sess {
            ask,
            bucket,
            until,
            server,
            dials: 1,
            phase: Phase::Stands,
            load,
            may_have_run: None,
            sent: now,
        };
        self.sessions.insert(sess)
    }

    /// Where to send this one.
    pub fn place(&mut self, now: Time, ask: Session) -> (SessIx, Verdict) {
        let (bucket, load) = (self.bucket(&ask), self.rows[ask.listener].load);
        let until = now + ask.patience;
        let sess = Sess {
            ask,
            bucket,
            until,
            server: 0,
            dials: 0,
            phase: Phase::Waits,
            load,
            may_have_run: None,
            sent: now,
        };
        let ix = self.sessions.insert(sess);
        let verdict = self.next(now, ix);
        (ix, verdict)
    }

    /// A dial or a connection ended. Where the session is not over, says what comes next.
    pub fn settled(&mut self, now: Time, ix: SessIx, how: How, took: Time, over: bool) -> Option<Verdict> {
        let sess = self.sessions.get_mut(ix)?;
        let (server, stood, sent, load) = (sess.server, sess.phase == Phase::Stands, sess.sent, sess.load);
        sess.phase = Phase::Waits;
        if !stood {
            self.out -= 1.0;
            if how == How::Error {
                self.store_failed(server);
            }
        }
        let sess = self.sessions.get_mut(ix)?;
        if !how.never_ran() {
            sess.may_have_run.get_or_insert((server, sent));
        }
        if let Some(s) = self.server(server) {
            s.release(load);
            match how {
                How::Accepted => s.alive(now),
                How::Full => s.alive(now),
                // A crowded server drops sessions, whose clients come again at once and crowd it further: take
                // that for the most that it bears, so that the drops are not made good there.
                How::Broken if stood => {
                    s.missed();
                    s.cap = s.cap.min((s.load * SHED).max(1.0));
                }
                How::Unmade | How::Broken => s.missed(),
                How::Late | How::Error => s.bad += 1.0,
                How::CalledOff | How::Unsent => {}
            }
        }
        if how == How::Late && !stood {
            self.setup += (took as f64 - self.setup) / 4.0;
        }
        if over {
            self.sessions.try_remove(ix);
            return None;
        }
        Some(self.next(now, ix))
    }

    /// The dial's connection stands.
    pub fn stood(&mut self, now: Time, ix: SessIx, took: Time) {
        let Some(sess) = self.sessions.get_mut(ix) else { return };
        sess.phase = Phase::Stands;
        self.out -= 1.0;
        let server = sess.server;
        self.window += 1.0 / self.window.max(1.0);
        self.setup += (took as f64 - self.setup) / 4.0;
        if let Some(s) = self.server(server) {
            s.alive(now);
        }
    }

    /// The client has left, or was moved: the session is over.
    pub fn left(&mut self, ix: SessIx) {
        let Some(sess) = self.sessions.try_remove(ix) else { return };
        match sess.phase {
            Phase::Waits => return self.waiting.retain(|&w| w != ix),
            Phase::Dials => self.out -= 1.0,
            Phase::Stands => {}
        }
        if let Some(s) = self.server(sess.server) {
            s.release(sess.load);
        }
    }

    pub fn noted(&mut self, now: Time, ix: SessIx, note: Note) {
        let Some(sess) = self.sessions.get_mut(ix) else { return };
        let mut change = 0.0;
        if let Note::Load(load) = note {
            self.told = (self.told + 1.0).min(MEMORY);
            self.unit += (load - self.unit) / self.told;
            let (load, row) = (load / self.unit, &mut self.rows[sess.ask.listener]);
            row.load += (load - row.load) / MEMORY.sqrt();
            change = load - sess.load;
            sess.load = load;
        }
        let (server, target) = (sess.server, self.set.message_target);
        let Some(s) = self.server(server) else { return };
        s.alive(now);
        match note {
            Note::Delay(d) if d > target / 2 => s.crowded = now + 15_000,
            Note::Delay(_) => s.crowded = 0,
            Note::Load(_) => s.load = (s.load + change).max(0.0),
        }
    }

    pub fn probed(&mut self, now: Time, server: ServerIx, how: How) {
        let Some(s) = self.server(server) else { return };
        s.probed = None;
        match how {
            How::Accepted | How::Full => s.alive(now),
            How::Unmade | How::Late | How::Broken => s.missed(),
            _ => {}
        }
    }

    /// When [`Balancer::chores`] wants to be called next.
    pub fn due(&self) -> Time {
        self.next_ask.map_or(self.next_round, |t| t.min(self.next_round))
    }

    /// Housekeeping: asks for the list, probes the quiet, moves sessions off the silent.
    pub fn chores(&mut self, now: Time) -> Vec<Chore> {
        let mut out = std::mem::take(&mut self.logs);
        if self.next_ask.is_some_and(|t| t <= now) {
            self.next_ask = Some(now + self.set.must_ask_in / 2);
            out.push(Chore::Subscribe);
        }
        while self.out < self.window
            && let Some(ix) = self.waiting.pop_front()
        {
            let verdict = self.next(now, ix);
            out.push(Chore::Answer(ix, verdict));
        }
        if now < self.next_round {
            return out;
        }
        let round = self.set.connect_timeout / ROUNDS;
        let late = |x: &Sess| {
            now >= x.sent + self.rows[x.ask.listener].handshake_target || now + 2 * round >= x.until
        };
        let (given_up, waiting): (Vec<_>, Vec<_>) =
            self.waiting.iter().partition(|&&ix| late(&self.sessions[ix]));
        self.waiting = waiting.into();
        out.extend(given_up.into_iter().map(|ix| Chore::Answer(ix, self.give_up(ix))));
        self.next_round = now + round;
        for ix in 0..self.servers.len() {
            let (quiet, probing) = (self.set.connect_timeout * QUIET, self.set.probing);
            let regrow = 1.0 + REGROW * round as f64 / 10_000.0;
            let Some(s) = self.server(ix) else { continue };
            s.cap *= regrow;
            if !s.ready() {
                continue;
            }
            let wait = if s.misses > 0 { quiet / 4 } else { quiet };
            if probing
                && s.probed.is_none_or(|t| t + quiet < now)
                && s.heard.max(s.probed.unwrap_or(0)) + wait <= now
            {
                s.probed = Some(now);
                out.push(Chore::Probe(ix));
            }
            if s.misses >= SILENT && s.held > 0 {
                // A silent server's sessions hang until the list notices: send their clients elsewhere now.
                let pace = (s.held as f64 * MOVED).ceil() as usize;
                let moved = self.sessions.iter().filter(|(_, x)| x.phase == Phase::Stands && x.server == ix);
                out.extend(moved.take(pace).map(|(i, _)| Chore::Move(i)));
            } else {
                self.ease(now, ix, &mut out);
            }
        }
        out
    }

    /// A server where messages take long serves nobody well: moves sessions of the groups with the weakest claim to it,
    /// which are the same at every proxy, while some other server has room. A few at a time: each is set up anew,
    /// and whole groups at once only carry the crowd to the next server.
    fn ease(&mut self, now: Time, ix: ServerIx, out: &mut Vec<Chore>) {
        let s = self.servers[ix].as_ref().expect("asked for one that is there");
        let room = self.servers.iter().flatten().any(|o| o.ready() && o.crowded <= now && o.misses == 0);
        if !room || s.crowded <= now || now < s.eased + 10_000 {
            return;
        }
        let most = s.load * EASED;
        let (weight, id) = (self.weight(s), s.entry.id);
        let mut claims: Vec<(f64, u64, SessIx)> = (self.sessions.iter())
            .filter(|(_, x)| x.phase == Phase::Stands && x.server == ix)
            .map(|(i, x)| (claim(x.bucket, id, weight), x.bucket, i))
            .collect();
        claims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        let mut moved = 0.0;
        for (_, _, sess) in claims {
            if moved >= most {
                break;
            }
            moved += self.sessions[sess].load;
            out.push(Chore::Move(sess));
        }
        let s = self.servers[ix].as_mut().expect("as above");
        (s.eased, s.cap) = (now, s.cap.min((s.load - moved).max(1.0)));
    }

    /// Setting up ended in an error. Two servers in turn point at the store behind all of them, which every further
    /// dial only loads: fewer dials at once. One server alone does not.
    fn store_failed(&mut self, server: ServerIx) {
        if self.failed_at.replace(server).is_some_and(|last| last != server) {
            self.window = (self.window.min(self.out + 1.0) * 0.7).max(1.0);
        }
    }

    fn server(&mut self, ix: ServerIx) -> Option<&mut Server> {
        self.servers.get_mut(ix)?.as_mut()
    }

    /// A session with neither key draws its bucket.
    fn bucket(&mut self, ask: &Session) -> u64 {
        match (ask.group_key, ask.client_key) {
            (0, 0) => self.rng.random_range(0..BUCKETS),
            (0, key) | (key, _) => xxh3_64(&key.to_le_bytes()) % BUCKETS,
        }
    }

    /// The servers in the order of their claims on a bucket.
    fn rank(&self, bucket: u64, keep: impl Fn(&Server) -> bool) -> Vec<ServerIx> {
        let mut scored: Vec<(f64, u32, ServerIx)> = (self.servers.iter().flatten().filter(|s| keep(s)))
            .map(|s| (claim(bucket, s.entry.id, self.weight(s)), s.entry.id, s.entry.server))
            .collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        scored.into_iter().map(|(_, _, ix)| ix).collect()
    }

    fn weight(&self, s: &Server) -> f64 {
        if self.set.weighted && s.entry.weight > 0.0 { s.entry.weight } else { 1.0 }
    }

    /// Sends a session on, or gives it its final answer at once.
    fn next(&mut self, now: Time, ix: SessIx) -> Verdict {
        let sess = self.sessions[ix].clone();
        let left = sess.until.saturating_sub(now);
        let kind = self.rows[sess.ask.listener].kind;
        let again = match (kind, sess.may_have_run) {
            (_, None) | (Kind::Repeatable, _) => true,
            (Kind::Referenced { window, .. }, Some((_, sent))) => now < sent + window,
            (Kind::OnceOnly, _) => false,
        };
        let target = self.rows[sess.ask.listener].handshake_target;
        let fits = left > 0 && (sess.dials == 0 || left > self.set.connect_timeout / 4);
        let again = again && fits && sess.dials < self.set.max_dials;
        if again && self.out >= self.window {
            // Its turn is to come within its handshake target, else it is given up now.
            let turn = self.setup * (self.waiting.len() + 1) as f64 / self.window;
            if turn < target.min(left) as f64 {
                self.waiting.push_back(ix);
                self.sessions[ix].sent = now;
                return Verdict::Wait;
            }
        } else if again && let Some(server) = self.choose(now, &sess) {
            let limit = target.max((6.0 * self.setup) as Time).min(left);
            let s = self.server(server).expect("chosen from the records");
            s.take(sess.load);
            s.budget -= 1.0;
            self.out += 1.0;
            let x = &mut self.sessions[ix];
            (x.phase, x.server, x.sent, x.dials) = (Phase::Dials, server, now, x.dials + 1);
            return Verdict::Dial { server, limit };
        }
        self.give_up(ix)
    }

    /// The final answer to a session that is not sent on: a refusal where that is true.
    fn give_up(&mut self, ix: SessIx) -> Verdict {
        let sess = self.sessions.remove(ix);
        let kind = self.rows[sess.ask.listener].kind;
        let harmless = sess.may_have_run.is_none()
            || matches!(kind, Kind::Repeatable | Kind::Referenced { group: Group::All, .. });
        if !harmless {
            return Verdict::TearDown;
        }
        let wait = (self.set.max_retry_after as f64 * self.rng.random_range(0.25..1.0)) as Time;
        Verdict::Refuse { retry_after: if self.set.retry_after { wait } else { 0 } }
    }

    /// The first server down the bucket's ranking that nothing speaks against.
    fn choose(&mut self, now: Time, sess: &Sess) -> Option<ServerIx> {
        let grace = self.set.drain_grace / 2;
        let ranking = if sess.ask.mid_flow && sess.dials == 0 {
            // The earlier owner: one that joined of late did not hold this connection, one that drains may.
            let keep = self.set.cold;
            let earlier = |s: &Server| match s.told {
                Some(t) => s.entry.state == State::Draining && now <= t + grace,
                None => s.joined + keep <= now || s.joined <= self.started,
            };
            let old = self.rank(sess.bucket, earlier);
            let s = old.first().and_then(|&ix| self.servers[ix].as_ref());
            if let Some(s) = s.filter(|s| s.misses < SILENT) {
                return Some(s.entry.server);
            }
            self.rank(sess.bucket, Server::ready)
        } else if let Some(row) = self.table.get(&sess.bucket) {
            row.clone()
        } else {
            let row = self.rank(sess.bucket, Server::ready);
            self.table.insert(sess.bucket, row.clone());
            row
        };
        let fenced: Vec<ServerIx> = ranking.into_iter().filter(|&ix| self.allowed(sess, ix)).collect();
        let (mut held, mut weight) = (0.0, 0.0);
        for s in self.servers.iter().flatten().filter(|s| s.ready()) {
            held += s.load;
            weight += self.weight(s);
        }
        let mean = held / weight;
        let mut open = Vec::new();
        let mut last = None;
        for ix in fenced {
            let s = self.servers[ix].as_ref().expect("ranked from the records");
            if s.load + sess.load > s.cap || !self.within_budget(now, ix, mean) {
                continue;
            }
            let s = self.servers[ix].as_ref().expect("ranked from the records");
            if sess.dials > 0 && ix == sess.server {
                last = last.or(Some(ix));
                continue;
            }
            if s.bad > 1.0 {
                let chance = Beta::new(s.good, s.bad).expect("both above 0").sample(&mut self.rng);
                if chance < 0.5 {
                    last = last.or(Some(ix));
                    continue;
                }
            }
            let s = self.servers[ix].as_ref().expect("ranked from the records");
            if s.crowded <= now && s.load < CROWDED * mean * self.weight(s) + 1.0 {
                return Some(ix);
            }
            open.push(ix);
        }
        // All are crowded: the least so of the first two, ties by chance.
        open.truncate(2);
        open.shuffle(&mut self.rng);
        let load = |ix: &ServerIx| {
            let s = self.servers[*ix].as_ref().expect("ranked from the records");
            s.load / self.weight(s)
        };
        open.into_iter().min_by(|a, b| load(a).total_cmp(&load(b))).or(last)
    }

    /// A session that may have run goes again only to servers that drop its repeats.
    fn allowed(&self, sess: &Sess, ix: ServerIx) -> bool {
        let Some((first, _)) = sess.may_have_run else { return true };
        let (Some(a), Some(b)) = (&self.servers[first], &self.servers[ix]) else { return false };
        match self.rows[sess.ask.listener].kind {
            Kind::Repeatable | Kind::Referenced { group: Group::All, .. } => true,
            Kind::Referenced { group: Group::Zone, .. } => a.entry.zone == b.entry.zone,
            Kind::Referenced { group: Group::Cell, .. } => a.entry.cell == b.entry.cell,
            Kind::OnceOnly => false,
        }
    }

    /// A cold server takes no more than our share of what it can do. Clients that come again after a failure swell
    /// the count of sends but not that of sessions held, so the guess is what warm servers hold, spread over the
    /// warm-up.
    fn within_budget(&mut self, now: Time, ix: ServerIx, mean: f64) -> bool {
        let (cold, start, multiple) = (self.set.cold, self.set.start_capacity, self.set.fall_multiple);
        let (span, s) = (self.set.overload_for as f64, self.servers[ix].as_ref().expect("ranked"));
        let (fill, age) = (mean * self.weight(s), now.saturating_sub(s.entry.came_up));
        if s.entry.came_up == 0 || age >= cold {
            return true;
        }
        let share = start + (1.0 - start) * age as f64 / cold as f64;
        let rate = multiple * share * fill / cold as f64;
        let s = self.servers[ix].as_mut().expect("ranked");
        s.budget = (s.budget + rate * (now - s.refilled) as f64).min(1.0 + rate * span);
        s.refilled = now;
        s.budget >= 1.0 && s.load < share * fill + 1.0
    }
}
