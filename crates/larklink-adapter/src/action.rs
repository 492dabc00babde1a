//! The actions of the wire: their codes, and how they are written.
use larklink_balancer::Timestamp;
use larklink_engine::engine::ProxyAction;
use larklink_engine::units::NANOS_PER_TICK;

use crate::wire::Reply;

/// Wake the proxy at a time.
const SET_TIMER: u16 = 1010;
/// Something an operator should know.
const LOG: u16 = 1030;
/// Poll the endpoint list.
const POLL_ENDPOINT_LIST: u16 = 1040;
/// The decisions panicked.
const PANICKED: u16 = 1070;
/// Reject a session.
const REJECT: u16 = 1080;
/// Connect a session to an endpoint.
const CONNECT: u16 = 1090;
/// Fail a session.
const FAIL: u16 = 1100;
/// Check the health of an endpoint.
const CHECK_HEALTH: u16 = 1110;
/// Migrate a session.
const MIGRATE: u16 = 1120;

/// The bytes of so many ticks, in nanoseconds.
fn nanos(ticks: u64) -> [u8; 8] {
    (ticks * NANOS_PER_TICK).to_le_bytes()
}

/// Adds an action of a proxy to a reply.
pub(crate) fn write(instance: u32, action: ProxyAction, reply: &mut Reply) {
    match action {
        ProxyAction::Connect { session, endpoint, timeout, .. } => {
            let fields: [&[u8]; 3] =
                [&session.to_le_bytes(), &endpoint.to_le_bytes(), &nanos(timeout.as_ticks())];
            reply.act(CONNECT, instance, &fields);
        }
        ProxyAction::Reject { session, retry_after } => {
            reply.act(REJECT, instance, &[&session.to_le_bytes(), &nanos(retry_after.as_ticks())]);
        }
        ProxyAction::Fail { session } => reply.act(FAIL, instance, &[&session.to_le_bytes()]),
        ProxyAction::Migrate { session } => reply.act(MIGRATE, instance, &[&session.to_le_bytes()]),
        ProxyAction::CheckHealth { endpoint } => {
            reply.act(CHECK_HEALTH, instance, &[&endpoint.to_le_bytes()]);
        }
        // On this wire an attempt is sent at the moment of its action.
        ProxyAction::LimitSendDeadline { .. } => {}
        ProxyAction::PollEndpointList => reply.act(POLL_ENDPOINT_LIST, instance, &[&[1]]),
        ProxyAction::Log(event) => reply.say(LOG, instance, &event.to_string()),
    }
}

/// Asks for a wake-up; the time in ticks serves as the timer's id.
pub(crate) fn write_timer(instance: u32, wakes_at: Timestamp, reply: &mut Reply) {
    let ticks = wakes_at.as_ticks();
    reply.act(SET_TIMER, instance, &[&nanos(ticks), &ticks.to_le_bytes()]);
}

/// Reports a panic of the decisions.
pub(crate) fn write_panic(instance: u32, text: &str, reply: &mut Reply) {
    reply.say(PANICKED, instance, text);
}
