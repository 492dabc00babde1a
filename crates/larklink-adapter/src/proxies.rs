//! Hosts the engines of all simulated proxies in this process: passes decoded events to them and encodes their actions.
use std::any::Any;
use std::collections::{BTreeSet, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};

use larklink_balancer::{TickDuration, Timestamp};
use larklink_engine::engine::{Engine, ProxyAction};
use larklink_engine::settings::ProxySettings;
use larklink_engine::units::NANOS_PER_TICK;

use crate::action;
use crate::error::{MalformedFrame, SettingsReadError};
use crate::event::{self, Event, ProxyStart};
use crate::wire::{Batch, Record, Reply};

struct Proxy {
    engine: Engine,
    /// The time of the timer that was last set for it.
    timer_at: Option<Timestamp>,
}

/// The running proxies, by the number that the simulator gave them.
#[derive(Default)]
pub struct Proxies {
    running: HashMap<u32, Proxy>,
}

impl Proxies {
    /// Processes a batch of events and returns the encoded reply.
    ///
    /// # Errors
    /// Returns an error if the batch contains an unknown event, invalid settings or an invalid field.
    pub fn handle_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, MalformedFrame> {
        let mut reply = Reply::default();
        let mut to_poll = BTreeSet::new();
        let now = Timestamp::from_ticks(batch.clock / NANOS_PER_TICK);
        for event in batch.events() {
            let code = event::code(event);
            let proxy_number = event::proxy_number(event);
            match code {
                event::PROXY_STARTED => {
                    self.running.insert(proxy_number, Proxy::start(now, batch, event)?);
                }
                event::PROXY_ENDED => {
                    self.running.remove(&proxy_number);
                    to_poll.remove(&proxy_number);
                    continue;
                }
                _ if event::is_for_running_proxy(code) => {
                    let Some(proxy) = self.running.get_mut(&proxy_number) else { continue };
                    let handled =
                        catch_panic(proxy_number, &mut reply, || proxy.handle_event(now, batch, event));
                    if let Some(action) = handled.unwrap_or(Ok(None))? {
                        action::encode(proxy_number, action, &mut reply);
                    }
                }
                _ => return Err(MalformedFrame::UnknownEvent(code)),
            }
            to_poll.insert(proxy_number);
        }
        for proxy_number in to_poll {
            let Some(proxy) = self.running.get_mut(&proxy_number) else { continue };
            let actions =
                catch_panic(proxy_number, &mut reply, || proxy.engine.poll(now)).unwrap_or_default();
            actions.into_iter().for_each(|action| action::encode(proxy_number, action, &mut reply));
            proxy.set_timer(now, proxy_number, &mut reply);
        }
        Ok(reply.into_frame(batch.number))
    }
}

/// Calls the engine. If it panics, reports that to the simulator and returns `None`. The engine is kept and polled again.
fn catch_panic<T>(proxy_number: u32, reply: &mut Reply, call: impl FnOnce() -> T) -> Option<T> {
    let result = catch_unwind(AssertUnwindSafe(call));
    result.map_err(|payload| action::encode_panic(proxy_number, panic_message(payload.as_ref()), reply)).ok()
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let message = payload.downcast_ref::<String>().map(String::as_str);
    message.or(payload.downcast_ref::<&str>().copied()).unwrap_or("the decision module panicked")
}

impl Proxy {
    fn start(now: Timestamp, batch: &Batch, event: Record) -> Result<Self, MalformedFrame> {
        let start = ProxyStart::decode(batch, event)?;
        let settings =
            ProxySettings::from_json(start.settings).map_err(|error| SettingsReadError(error.to_string()))?;
        Ok(Self { engine: Engine::new(&settings, start.seed, now), timer_at: None })
    }

    fn handle_event(
        &mut self,
        now: Timestamp,
        batch: &Batch,
        event: Record,
    ) -> Result<Option<ProxyAction>, MalformedFrame> {
        let engine = &mut self.engine;
        match Event::decode(batch, event, |listener| engine.has_listener(listener))? {
            Event::DiscoveryFailed => engine.discovery_failed(now),
            Event::EndpointList { scope, entries } => {
                engine.update_endpoints(now, scope, entries);
            }
            Event::SessionOpened { session, request } => {
                return Ok(engine.open_session(now, session, request));
            }
            Event::SessionAdopted { session, request, endpoint } => {
                engine.adopt_established(now, session, request, endpoint);
            }
            Event::Established { session, attempt } => engine.established(now, session, attempt),
            Event::AttemptEnded { session, attempt, outcome, session_over } => {
                return Ok(engine.attempt_ended(now, session, attempt, outcome, session_over));
            }
            Event::ClientLeft { session } => engine.client_left(session),
            Event::HealthChecked { endpoint, outcome, took, load_report } => {
                engine.health_checked(now, endpoint, outcome, took, &load_report);
            }
            Event::Observed { session, attempt, observation } => {
                engine.observe(now, session, attempt, observation);
            }
            Event::Ignored => {}
        }
        Ok(None)
    }

    /// Sets a timer for the engine's next wake-up, unless a pending timer fires early enough.
    fn set_timer(&mut self, now: Timestamp, proxy_number: u32, reply: &mut Reply) {
        let wakes_at = self.engine.next_wakeup().max(now + TickDuration::from_ticks(1));
        let needs_timer = self.timer_at.is_none_or(|timer_at| timer_at <= now || wakes_at < timer_at);
        if wakes_at != Timestamp::MAX && needs_timer {
            self.timer_at = Some(wakes_at);
            action::encode_timer(proxy_number, wakes_at, reply);
        }
    }
}
