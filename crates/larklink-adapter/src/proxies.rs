//! The proxies of one process: turns events of the wire into calls of the engine, and its actions into those of the wire.
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
use crate::wire::{Batch, Fields, Reply};

struct Proxy {
    engine: Engine,
    /// When the simulator was last asked to wake it.
    wakes_at: Option<Timestamp>,
}

/// The proxies that run, by their number on the wire.
#[derive(Default)]
pub struct Proxies {
    running: HashMap<u32, Proxy>,
}

impl Proxies {
    /// The frame of the reply to a batch.
    ///
    /// # Errors
    /// The batch holds what is not allowed on the wire.
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, MalformedFrame> {
        let mut reply = Reply::default();
        let mut touched = BTreeSet::new();
        let now = Timestamp::from_ticks(batch.clock / NANOS_PER_TICK);
        for event in batch.events() {
            let code = event::code(event);
            let instance = event::instance(event);
            match code {
                event::PROXY_STARTED => {
                    self.running.insert(instance, Proxy::start(now, batch, event)?);
                }
                event::PROXY_ENDED => {
                    self.running.remove(&instance);
                    touched.remove(&instance);
                    continue;
                }
                _ if event::is_for_running_proxy(code) => {
                    let Some(proxy) = self.running.get_mut(&instance) else { continue };
                    let handled = guarded(instance, &mut reply, || proxy.handle(now, batch, event));
                    if let Some(action) = handled.unwrap_or(Ok(None))? {
                        action::write(instance, action, &mut reply);
                    }
                }
                _ => return Err(MalformedFrame::UnknownEvent(code)),
            }
            touched.insert(instance);
        }
        for instance in touched {
            let Some(proxy) = self.running.get_mut(&instance) else { continue };
            let actions = guarded(instance, &mut reply, || proxy.engine.poll(now)).unwrap_or_default();
            actions.into_iter().for_each(|action| action::write(instance, action, &mut reply));
            proxy.set_timer(now, instance, &mut reply);
        }
        Ok(reply.frame(batch.number))
    }
}

/// A panic of the decisions is reported to the simulator.
fn guarded<T>(instance: u32, reply: &mut Reply, call: impl FnOnce() -> T) -> Option<T> {
    let result = catch_unwind(AssertUnwindSafe(call));
    result.map_err(|cause| action::write_panic(instance, panic_text(cause.as_ref()), reply)).ok()
}

fn panic_text(cause: &(dyn Any + Send)) -> &str {
    let text = cause.downcast_ref::<String>().map(String::as_str);
    text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("the decision module panicked")
}

impl Proxy {
    fn start(now: Timestamp, batch: &Batch, event: Fields) -> Result<Self, MalformedFrame> {
        let start = ProxyStart::read(batch, event)?;
        let settings =
            ProxySettings::from_json(start.settings).map_err(|error| SettingsReadError(error.to_string()))?;
        Ok(Self { engine: Engine::new(&settings, start.seed, now), wakes_at: None })
    }

    fn handle(
        &mut self,
        now: Timestamp,
        batch: &Batch,
        event: Fields,
    ) -> Result<Option<ProxyAction>, MalformedFrame> {
        let engine = &mut self.engine;
        match Event::read(batch, event, |listener| engine.has_listener(listener))? {
            Event::DiscoveryFailed => engine.discovery_failed(now),
            Event::EndpointList { scope, entries } => engine.update_endpoints(now, scope, entries),
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

    /// Asks for a wake-up, unless one is due that is early enough.
    fn set_timer(&mut self, now: Timestamp, instance: u32, reply: &mut Reply) {
        let wakes_at = self.engine.next_wakeup().max(now + TickDuration::from_ticks(1));
        let is_earlier = self.wakes_at.is_none_or(|set| set <= now || wakes_at < set);
        if wakes_at != Timestamp::MAX && is_earlier {
            self.wakes_at = Some(wakes_at);
            action::write_timer(instance, wakes_at, reply);
        }
    }
}
