//! The proxies of one process: turns the wire's events into calls of the decision module, and what it returns
//! into the wire's actions. Ids become small indices here, times whole tenths of a millisecond.
use std::collections::{BTreeSet, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};

use larklink::balancer::Balancer;
use larklink::types::*;

use crate::settings::{self, tenths};
use crate::wire::{Batch, Fields, Malformed, Reply};

const FAILED_LIST: u8 = 3;
const CACHED_LIST: u8 = 2;
const WHOLE_LIST: u8 = 1;
const MID_FLOW: u16 = 8;
const AGAIN: u16 = 16;

struct Proxy {
    balancer: Balancer,
    listeners: usize,
    /// Where a load report holds the load asked of a server over what it can do.
    load_at: Option<usize>,
    servers: HashMap<u32, ServerIx>,
    ids: Vec<u32>,
    sessions: HashMap<u32, (SessIx, u8)>,
    /// The wire's id of each session, by its handle.
    rids: HashMap<SessIx, u32>,
    alarm: Option<Time>,
}

#[derive(Default)]
pub struct Proxies {
    running: HashMap<u32, Proxy>,
}

impl Proxies {
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, Malformed> {
        let mut reply = Reply::default();
        let mut touched = BTreeSet::new();
        let now = batch.clock / 100_000;
        for event in batch.events() {
            let (code, instance) = (event.u16(0), event.u32(2));
            match code {
                1000 => {
                    let info = batch.text(event, 14)?;
                    let set = settings::read(info).map_err(|e| Malformed(format!("settings: {e}")))?;
                    self.running.insert(instance, Proxy::new(set, event.u64(6), now));
                }
                1090 => {
                    self.running.remove(&instance);
                    touched.remove(&instance);
                    continue;
                }
                1010..=1110 if code % 10 == 0 => {
                    let Some(proxy) = self.running.get_mut(&instance) else { continue };
                    guarded(instance, &mut reply, |reply| proxy.hear(now, instance, batch, event, reply))
                        .unwrap_or(Ok(()))?;
                }
                _ => return Err(Malformed(format!("no event has code {code}"))),
            }
            touched.insert(instance);
        }
        for instance in touched {
            let Some(proxy) = self.running.get_mut(&instance) else { continue };
            guarded(instance, &mut reply, |reply| proxy.chores(now, instance, reply));
        }
        Ok(reply.frame(batch.number))
    }
}

/// A panic of the decision module is told to the simulator.
fn guarded<T>(instance: u32, reply: &mut Reply, call: impl FnOnce(&mut Reply) -> T) -> Option<T> {
    catch_unwind(AssertUnwindSafe(|| call(reply)))
        .map_err(|cause| {
            let text = cause.downcast_ref::<String>().map(String::as_str);
            let text =
                text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("the decision module panicked");
            reply.say(1070, instance, text);
        })
        .ok()
}

impl Proxy {
    fn new((set, load_at): (Settings, Option<usize>), seed: u64, now: Time) -> Self {
        Self {
            load_at,
            listeners: set.listeners.len(),
            balancer: Balancer::new(set, seed, now),
            servers: HashMap::new(),
            ids: Vec::new(),
            sessions: HashMap::new(),
            rids: HashMap::new(),
            alarm: None,
        }
    }

    fn hear(
        &mut self,
        now: Time,
        i: u32,
        batch: &Batch,
        e: Fields,
        reply: &mut Reply,
    ) -> Result<(), Malformed> {
        match e.u16(0) {
            1010 => {
                let scope = match e.u8(6) {
                    FAILED_LIST => {
                        self.balancer.list_failed(now);
                        return Ok(());
                    }
                    CACHED_LIST => Scope::Cached,
                    WHOLE_LIST => Scope::Whole,
                    _ => Scope::Changes,
                };
                let entries: Vec<_> = batch.entries(e, 11)?.map(|entry| self.entry(entry)).collect();
                self.balancer.heard_list(now, scope, &entries);
            }
            1020 => {
                let ask = Session {
                    group_key: e.u64(10),
                    mid_flow: e.u16(22) & MID_FLOW != 0,
                    again: e.u16(22) & AGAIN != 0,
                    patience: tenths(e.time(24)),
                    client_key: e.u64(32),
                    listener: self.listener(e.u8(40))?,
                };
                let rid = e.u32(6);
                let (sess, verdict) = self.balancer.place(now, ask);
                self.enter(rid, sess, 0);
                self.tell(i, rid, verdict, reply);
            }
            1100 => {
                let ask = Session {
                    listener: self.listener(e.u8(10))?,
                    client_key: e.u64(15),
                    patience: tenths(e.time(23)),
                    group_key: e.u64(39),
                    mid_flow: false,
                    again: false,
                };
                let server = self.server(e.u32(49));
                let sess = self.balancer.adopt(now, ask, server);
                self.enter(e.u32(6), sess, 1);
            }
            1030 => {
                if let Some(sess) = self.current(e.u32(6), e.u8(10)) {
                    self.balancer.stood(now, sess);
                }
            }
            1040 => {
                let (rid, over) = (e.u32(6), e.u8(23) != 0);
                if let Some(sess) = self.current(rid, e.u8(24)) {
                    let verdict = self.balancer.settled(now, sess, how(e.u8(22)), over);
                    match verdict {
                        Some(verdict) => self.tell(i, rid, verdict, reply),
                        None => self.forget(rid),
                    }
                }
            }
            1050 => {
                if let Some(&(sess, _)) = self.sessions.get(&e.u32(6)) {
                    self.balancer.left(sess);
                    self.forget(e.u32(6));
                }
            }
            1070 => {
                if let Some(&server) = self.servers.get(&e.u32(15)) {
                    let load = self.load_at.filter(|&at| at < e.u8(19) as usize);
                    let load = load.map_or(0.0, |at| f64::from(e.f32(20 + 4 * at)));
                    self.balancer.probed(now, server, how(e.u8(6)), tenths(e.time(7)), load);
                }
            }
            1110 => {
                let amount = f64::from(e.f32(16));
                let note = match e.u8(15) {
                    1 => Note::Load(amount),
                    2 => Note::Delay((amount * 10.0) as Time),
                    _ => return Ok(()),
                };
                if let Some(sess) = self.current(e.u32(6), e.u8(10)) {
                    self.balancer.noted(now, sess, note);
                }
            }
            // A timer needs no more than the chores that follow each batch; nobody here sends memos.
            _ => {}
        }
        Ok(())
    }

    fn chores(&mut self, now: Time, i: u32, reply: &mut Reply) {
        for chore in self.balancer.chores(now) {
            match chore {
                Chore::Probe(server) => reply.act(1110, i, &[&self.ids[server].to_le_bytes()]),
                Chore::Move(sess) => {
                    let rid = self.rids[&sess];
                    reply.act(1120, i, &[&rid.to_le_bytes()]);
                    self.balancer.left(sess);
                    self.forget(rid);
                }
                Chore::Tell(sess, verdict) => self.tell(i, self.rids[&sess], verdict, reply),
                Chore::Subscribe => reply.act(1040, i, &[&[1]]),
                Chore::Log(text) => reply.say(1030, i, &text),
            }
        }
        let due = self.balancer.due().max(now + 1);
        if due != Time::MAX && self.alarm.is_none_or(|t| t <= now || due < t) {
            self.alarm = Some(due);
            reply.act(1010, i, &[&(due * 100_000).to_le_bytes(), &due.to_le_bytes()]);
        }
    }

    fn tell(&mut self, i: u32, rid: u32, verdict: Verdict, reply: &mut Reply) {
        let id = rid.to_le_bytes();
        match verdict {
            Verdict::Dial { server, limit } => {
                self.sessions.entry(rid).and_modify(|(_, dials)| *dials += 1);
                reply.act(1090, i, &[&id, &self.ids[server].to_le_bytes(), &(limit * 100_000).to_le_bytes()]);
                return;
            }
            Verdict::Wait => return,
            Verdict::Refuse { retry_after } => {
                reply.act(1080, i, &[&id, &(retry_after * 100_000).to_le_bytes()])
            }
            Verdict::TearDown => reply.act(1100, i, &[&id]),
        }
        self.forget(rid);
    }

    fn enter(&mut self, rid: u32, sess: SessIx, dials: u8) {
        self.sessions.insert(rid, (sess, dials));
        self.rids.insert(sess, rid);
    }

    fn forget(&mut self, rid: u32) {
        if let Some((sess, _)) = self.sessions.remove(&rid) {
            self.rids.remove(&sess);
        }
    }

    /// The session of which this is the latest dial; word on any other is ignored.
    fn current(&self, rid: u32, dial: u8) -> Option<SessIx> {
        self.sessions.get(&rid).filter(|(_, dials)| dial + 1 == *dials).map(|&(sess, _)| sess)
    }

    fn listener(&self, class: u8) -> Result<usize, Malformed> {
        let known = (class as usize) < self.listeners;
        known.then_some(class as usize).ok_or_else(|| Malformed(format!("no class {class} in the settings")))
    }

    fn server(&mut self, id: u32) -> ServerIx {
        *self.servers.entry(id).or_insert_with(|| {
            self.ids.push(id);
            self.ids.len() - 1
        })
    }

    fn entry(&mut self, e: Fields) -> Entry {
        let id = e.u32(0);
        let came_up = e.time(15);
        Entry {
            server: self.server(id),
            id,
            zone: e.u16(4),
            cell: e.u16(8),
            state: match e.u8(10) {
                0 => State::Ready,
                2 => State::Gone,
                _ => State::Draining,
            },
            weight: f64::from(e.f32(11)),
            came_up: if came_up > 0 { tenths(came_up).max(1) } else { 0 },
        }
    }
}

fn how(code: u8) -> How {
    match code {
        0 => How::Accepted,
        254 => How::Full,
        253 => How::Late,
        252 => How::Unmade,
        251 => How::Broken,
        250 => How::CalledOff,
        249 => How::Unsent,
        _ => How::Error,
    }
}
