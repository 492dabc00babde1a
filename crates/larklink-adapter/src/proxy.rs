//! The proxies of one process: turns the wire's events into calls of the engine, and its actions into the
//! wire's.
use std::collections::{BTreeSet, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};

use larklink_balancer::{
    AttemptOutcome, EndpointEntry, EndpointState, ListScope, Observation, SessionRequest, TickDuration,
    Timestamp,
};
use larklink_engine::engine::{Engine, ProxyAction};
use larklink_engine::settings::ProxySettings;
use larklink_engine::units::ticks_from_nanos;

use crate::wire::{Batch, Fields, Malformed, Reply};

const FAILED_LIST: u8 = 3;
const CACHED_LIST: u8 = 2;
const WHOLE_LIST: u8 = 1;
const RETRY: u16 = 2;
const MID_FLOW: u16 = 8;
const AGAIN: u16 = 16;

struct Proxy {
    engine: Engine,
    alarm: Option<TickDuration>,
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
                    let facts = ProxySettings::from_json(batch.text(event, 14)?);
                    let facts = facts.map_err(|e| Malformed(format!("settings: {e}")))?;
                    let proxy = Proxy { engine: Engine::new(&facts, event.u64(6), now), alarm: None };
                    self.running.insert(instance, proxy);
                }
                1090 => {
                    self.running.remove(&instance);
                    touched.remove(&instance);
                    continue;
                }
                1010..=1110 if code % 10 == 0 => {
                    let Some(proxy) = self.running.get_mut(&instance) else { continue };
                    let action = guarded(instance, &mut reply, || proxy.hear(now, batch, event));
                    if let Some(action) = action.unwrap_or(Ok(None))? {
                        act(instance, action, &mut reply);
                    }
                }
                _ => return Err(Malformed(format!("no event has code {code}"))),
            }
            touched.insert(instance);
        }
        for instance in touched {
            let Some(proxy) = self.running.get_mut(&instance) else { continue };
            let actions = guarded(instance, &mut reply, || proxy.engine.poll(now)).unwrap_or_default();
            actions.into_iter().for_each(|action| act(instance, action, &mut reply));
            proxy.set_alarm(now, instance, &mut reply);
        }
        Ok(reply.frame(batch.number))
    }
}

/// A panic of the decision module is told to the simulator.
fn guarded<T>(instance: u32, reply: &mut Reply, call: impl FnOnce() -> T) -> Option<T> {
    catch_unwind(AssertUnwindSafe(call))
        .map_err(|cause| {
            let text = cause.downcast_ref::<String>().map(String::as_str);
            let text =
                text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("the decision module panicked");
            reply.say(1070, instance, text);
        })
        .ok()
}

impl Proxy {
    fn hear(&mut self, now: Timestamp, batch: &Batch, e: Fields) -> Result<Option<ProxyAction>, Malformed> {
        match e.u16(0) {
            1010 => {
                let scope = match e.u8(6) {
                    FAILED_LIST => {
                        self.engine.discovery_failed(now);
                        return Ok(None);
                    }
                    CACHED_LIST => ListScope::Cached,
                    WHOLE_LIST => ListScope::Complete,
                    _ => ListScope::Changes,
                };
                self.engine.update_endpoints(now, scope, batch.entries(e, 11)?.map(entry).collect());
            }
            1020 => {
                let ask = SessionRequest {
                    group_key: e.u64(10),
                    established: e.u16(22) & MID_FLOW != 0,
                    reconnecting: e.u16(22) & AGAIN != 0,
                    client_retry: e.u16(22) & RETRY != 0,
                    dial_timeout: ticks_from_nanos(e.time(24)),
                    client_key: e.u64(32),
                    listener: self.listener(e.u8(40))?,
                };
                return Ok(self.engine.open_session(now, e.u32(6), ask));
            }
            1100 => {
                let ask = SessionRequest {
                    listener: self.listener(e.u8(10))?,
                    client_key: e.u64(15),
                    dial_timeout: ticks_from_nanos(e.time(23)),
                    group_key: e.u64(39),
                    ..SessionRequest::default()
                };
                self.engine.adopt_established(now, e.u32(6), ask, e.u32(49));
            }
            1030 => self.engine.established(now, e.u32(6), e.u8(10)),
            1040 => {
                return Ok(self.engine.attempt_ended(now, e.u32(6), e.u8(24), how(e.u8(22)), e.u8(23) != 0));
            }
            1050 => self.engine.client_left(e.u32(6)),
            1070 => {
                let report: Vec<_> =
                    (0..e.u8(19).min(4)).map(|n| e.f32(20 + 4 * n as usize).into()).collect();
                self.engine.health_checked(
                    now,
                    e.u32(15),
                    how(e.u8(6)),
                    ticks_from_nanos(e.time(7)),
                    &report,
                );
            }
            1110 => {
                let amount = f64::from(e.f32(16));
                let note = match e.u8(15) {
                    1 => Observation::Load(amount),
                    2 => Observation::MessageLatency((amount * 10.0) as TickDuration),
                    _ => return Ok(None),
                };
                self.engine.observe(now, e.u32(6), e.u8(10), note);
            }
            // A timer needs no more than the poll that follows each batch; nobody here sends memos.
            _ => {}
        }
        Ok(None)
    }

    fn set_alarm(&mut self, now: Timestamp, i: u32, reply: &mut Reply) {
        let due = self.engine.next_wakeup().max(now + 1);
        if due != Timestamp::MAX && self.alarm.is_none_or(|t| t <= now || due < t) {
            self.alarm = Some(due);
            reply.act(1010, i, &[&(due * 100_000).to_le_bytes(), &due.to_le_bytes()]);
        }
    }

    fn listener(&self, class: u8) -> Result<usize, Malformed> {
        let known = self.engine.has_listener(class.into());
        known.then_some(class.into()).ok_or_else(|| Malformed(format!("no class {class} in the settings")))
    }
}

fn act(i: u32, action: ProxyAction, reply: &mut Reply) {
    match action {
        ProxyAction::Connect { session, endpoint: server, timeout: limit, .. } => {
            let limit = (limit * 100_000).to_le_bytes();
            reply.act(1090, i, &[&session.to_le_bytes(), &server.to_le_bytes(), &limit]);
        }
        ProxyAction::Reject { session, retry_after } => {
            reply.act(1080, i, &[&session.to_le_bytes(), &(retry_after * 100_000).to_le_bytes()]);
        }
        ProxyAction::Fail { session } => reply.act(1100, i, &[&session.to_le_bytes()]),
        ProxyAction::Migrate { session } => reply.act(1120, i, &[&session.to_le_bytes()]),
        ProxyAction::CheckHealth { endpoint: server } => reply.act(1110, i, &[&server.to_le_bytes()]),
        // What is sent here has been sent in that moment.
        ProxyAction::LimitSendDeadline { .. } => {}
        ProxyAction::PollEndpointList => reply.act(1040, i, &[&[1]]),
        ProxyAction::Log(event) => reply.say(1030, i, &event.to_string()),
    }
}

fn entry(e: Fields) -> EndpointEntry {
    let came_up = e.time(15);
    EndpointEntry {
        endpoint: 0,
        id: e.u32(0),
        zone: e.u16(4),
        cell: e.u16(8),
        state: match e.u8(10) {
            0 => EndpointState::Ready,
            2 => EndpointState::Removed,
            _ => EndpointState::Draining,
        },
        weight: f64::from(e.f32(11)),
        started_at: if came_up > 0 { ticks_from_nanos(came_up).max(1) } else { 0 },
    }
}

fn how(code: u8) -> AttemptOutcome {
    match code {
        0 => AttemptOutcome::Succeeded,
        254 => AttemptOutcome::AtCapacity,
        253 => AttemptOutcome::TimedOut,
        252 => AttemptOutcome::ConnectFailed,
        251 => AttemptOutcome::Reset,
        250 => AttemptOutcome::Cancelled,
        249 => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Failed,
    }
}
