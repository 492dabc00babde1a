//! Action codes of the simulator's protocol, and the encoding of actions.
use larklink_balancer::Timestamp;
use larklink_engine::engine::ProxyAction;
use larklink_engine::units::NANOS_PER_TICK;

use crate::wire::Reply;

/// Set a timer that wakes the proxy.
const SET_TIMER: u16 = 1010;
/// Log an event.
const LOG: u16 = 1030;
/// Poll the endpoint list.
const POLL_ENDPOINT_LIST: u16 = 1040;
/// Report that the engine panicked.
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

/// Encodes a number of ticks as nanoseconds.
fn nanos_bytes(ticks: u64) -> [u8; 8] {
    (ticks * NANOS_PER_TICK).to_le_bytes()
}

/// Appends an action of a proxy to the reply.
pub(crate) fn encode(proxy_number: u32, action: ProxyAction, reply: &mut Reply) {
    match action {
        ProxyAction::Connect { session, endpoint, timeout, .. } => {
            let fields: [&[u8]; 3] =
                [&session.to_le_bytes(), &endpoint.to_le_bytes(), &nanos_bytes(timeout.as_ticks())];
            reply.push_action(CONNECT, proxy_number, &fields);
        }
        ProxyAction::Reject { session, retry_after } => {
            reply.push_action(
                REJECT,
                proxy_number,
                &[&session.to_le_bytes(), &nanos_bytes(retry_after.as_ticks())],
            );
        }
        ProxyAction::Fail { session } => reply.push_action(FAIL, proxy_number, &[&session.to_le_bytes()]),
        ProxyAction::Migrate { session } => {
            reply.push_action(MIGRATE, proxy_number, &[&session.to_le_bytes()])
        }
        ProxyAction::CheckHealth { endpoint } => {
            reply.push_action(CHECK_HEALTH, proxy_number, &[&endpoint.to_le_bytes()]);
        }
        // The simulator sends each attempt as soon as it receives the action, so there is no deadline to limit.
        ProxyAction::LimitSendDeadline { .. } => {}
        ProxyAction::PollEndpointList => reply.push_action(POLL_ENDPOINT_LIST, proxy_number, &[&[1]]),
        ProxyAction::Log(event) => reply.push_text_action(LOG, proxy_number, &event.to_string()),
    }
}

/// Appends an action that sets a timer. The wake-up time in ticks is also the timer's id.
pub(crate) fn encode_timer(proxy_number: u32, wakes_at: Timestamp, reply: &mut Reply) {
    let ticks = wakes_at.as_ticks();
    reply.push_action(SET_TIMER, proxy_number, &[&nanos_bytes(ticks), &ticks.to_le_bytes()]);
}

/// Appends a report that the engine panicked.
pub(crate) fn encode_panic(proxy_number: u32, message: &str, reply: &mut Reply) {
    reply.push_text_action(PANICKED, proxy_number, message);
}
