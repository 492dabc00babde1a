//! A fleet whose endpoints are replaced again and again: what the engine knows of former endpoints is bounded.
use std::collections::BTreeSet;

use larklink_balancer::{EndpointEntry, EndpointState, ListScope, SessionRequest, TickDuration, Timestamp};
use larklink_engine::engine::{EndpointId, Engine, ProxyAction};
use larklink_engine::settings::ProxySettings;

const SETTINGS: &str = r#"{
    "grades": [{"name": "a", "idempotency": "at_most_once", "aim_ns": 500000000, "deadline_ns": 3000000000}],
    "policy_limits": {"dial_timeout_ns": 250000000, "send_cap": 3},
    "safety": {"drain_grace_ns": 500000000}}"#;
const LISTED: u32 = 100;
const LISTS: u32 = 300;
const LIST_INTERVAL: TickDuration = TickDuration::from_secs(1);
/// A removed endpoint is remembered for a minute at least, and 1,024 of them in any case.
const MAX_KNOWN: usize = 1_024 + 62 * LISTED as usize;

fn list(number: u32) -> Vec<EndpointEntry> {
    let ids = number * LISTED..(number + 1) * LISTED;
    ids.map(|id| EndpointEntry { id, state: EndpointState::Ready, weight: 1.0, ..EndpointEntry::default() })
        .collect()
}

fn connects_to(action: Option<&ProxyAction>) -> Option<EndpointId> {
    match action {
        Some(ProxyAction::Connect { endpoint, .. }) => Some(*endpoint),
        _ => None,
    }
}

/// Guards against memory, and time for each event, that grow without end while ever new endpoints are listed.
#[test]
fn removed_endpoints_are_forgotten_unless_a_session_uses_them() {
    let settings: ProxySettings = serde_json::from_str(SETTINGS).unwrap();
    let mut engine = Engine::new(&settings, 7, Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    let mut known: BTreeSet<EndpointId> = BTreeSet::new();
    let request = SessionRequest { dial_timeout: TickDuration::from_secs(2), ..SessionRequest::default() };
    let held_endpoint = 5;
    for number in 0..LISTS {
        now += LIST_INTERVAL;
        let entries = list(number);
        let listed: BTreeSet<_> = entries.iter().map(|entry| entry.id).collect();
        known.extend(&listed);
        for id in engine.update_endpoints(now, ListScope::Complete, entries) {
            assert!(known.remove(&id) && !listed.contains(&id), "{id} forgotten");
        }
        assert!(known.len() <= MAX_KNOWN, "{} endpoints known", known.len());
        if number == 0 {
            engine.adopt_established(now, 0, request, held_endpoint);
        }
        assert!(known.contains(&held_endpoint), "forgotten although a session uses it");
        // A new session gets an endpoint of the present list, also where that has the index of a former one.
        let session = number + 1;
        let endpoint = connects_to(engine.open_session(now, session, request).as_ref());
        assert!(endpoint.is_some_and(|endpoint| listed.contains(&endpoint)), "{endpoint:?}");
        engine.client_left(session);
    }
    engine.client_left(0);
    let forgotten: Vec<_> = (LISTS..LISTS + 100)
        .flat_map(|number| {
            now += LIST_INTERVAL;
            engine.update_endpoints(now, ListScope::Complete, list(number))
        })
        .collect();
    assert!(forgotten.contains(&held_endpoint), "remembered after its last session has ended");
}
