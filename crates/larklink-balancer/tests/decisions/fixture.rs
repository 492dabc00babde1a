//! Test fixtures: default settings, endpoints and sessions.
use std::ops::Range;

use larklink_balancer::{
    Action, AttemptOutcome, Balancer, Decision, DeduplicationGroup, EndpointEntry, EndpointIndex,
    EndpointState, Idempotency, ListScope, Listener, SessionRequest, Settings, TickDuration, Timestamp,
};

pub(crate) const SECOND: TickDuration = TickDuration::from_secs(1);

pub(crate) const START: Timestamp = Timestamp::ZERO;

/// Returns the time that is `since_start` after the start.
pub(crate) fn at(since_start: TickDuration) -> Timestamp {
    START + since_start
}

pub(crate) fn ticks(count: u64) -> TickDuration {
    TickDuration::from_ticks(count)
}

pub(crate) const IDEMPOTENCY_OF_LISTENERS: [Idempotency; 5] = [
    Idempotency::Idempotent,
    Idempotency::OnceOnly,
    // The window allows a rejection, and is shorter than a dial timeout plus a Retry-After.
    Idempotency::WithKey { group: DeduplicationGroup::All, window: TickDuration::from_secs(2) },
    Idempotency::WithKey { group: DeduplicationGroup::Zone, window: SECOND },
    Idempotency::WithKey { group: DeduplicationGroup::Cell, window: SECOND },
];

pub(crate) fn settings() -> Settings {
    Settings {
        listeners: IDEMPOTENCY_OF_LISTENERS
            .map(|kind| Listener { idempotency: kind, handshake_objective: SECOND / 2, priority_weight: 1.0 })
            .into(),
        proxy_count: 0,
        weighted: true,
        discovery_deadline: 10 * SECOND,
        drain_grace: SECOND / 2,
        initial_capacity: 0.2,
        slow_start_duration: 20 * SECOND,
        overload_multiple: 4.0,
        overload_window: SECOND,
        connect_timeout: SECOND / 5,
        max_attempts: 4,
        max_retry_after: SECOND,
        retry_after_allowed: true,
        max_dial_timeout: 2 * SECOND,
        message_objective: ticks(500),
        ..Settings::default()
    }
}

/// Returns an endpoint whose id, zone and cell are derived from its index.
pub(crate) fn entry(index: usize, state: EndpointState, started_at: Timestamp) -> EndpointEntry {
    EndpointEntry {
        index: EndpointIndex(index),
        id: 77 + 1000 * index as u32,
        zone: index as u16 % 2,
        cell: index as u16 % 3,
        state,
        weight: 1.0,
        started_at,
    }
}

pub(crate) fn request(key: u64, listener: usize) -> SessionRequest {
    SessionRequest {
        listener,
        group_key: key,
        client_key: 0,
        dial_timeout: 2 * SECOND,
        ..SessionRequest::default()
    }
}

/// Returns a balancer with `endpoints` ready endpoints.
pub(crate) fn balancer_with(settings: Settings, endpoints: usize) -> Balancer {
    seeded_balancer(settings, 7, 0..endpoints)
}

/// Returns a balancer with the given seed and ready endpoints.
pub(crate) fn seeded_balancer(settings: Settings, seed: u64, endpoints: Range<usize>) -> Balancer {
    let mut balancer = Balancer::new(settings, seed, START);
    let entries: Vec<_> = endpoints.map(|s| entry(s, EndpointState::Ready, START)).collect();
    balancer.update_endpoints(START, ListScope::Cached, &entries);
    balancer
}

pub(crate) fn endpoint_of(decision: Decision) -> usize {
    match decision {
        Decision::Connect { endpoint, .. } => endpoint.0,
        other => panic!("expected an attempt, got {other:?}"),
    }
}

pub(crate) fn connects_to(decision: Decision, expected: usize) -> bool {
    matches!(decision, Decision::Connect { endpoint, .. } if endpoint.0 == expected)
}

/// Returns the decision on a session once all health checks that it waits for have succeeded.
pub(crate) fn after_health_checks(
    balancer: &mut Balancer,
    now: Timestamp,
    endpoints: usize,
    mut decision: Decision,
) -> Decision {
    while decision == Decision::Wait {
        (0..endpoints).for_each(|s| {
            balancer.health_checked(now, EndpointIndex(s), AttemptOutcome::Succeeded, ticks(10), 0.0, 0.0)
        });
        let decided = |action| if let Action::Decided(_, decision) = action { Some(decision) } else { None };
        decision = balancer
            .poll(now)
            .into_iter()
            .filter_map(decided)
            .next_back()
            .expect("the health checks have ended");
    }
    decision
}

/// Returns the endpoint of a session's first attempt by a proxy in `zone`.
pub(crate) fn endpoint_of_first_attempt(zone: Option<u16>, request: SessionRequest) -> usize {
    endpoint_of(balancer_with(Settings { local_zone: zone, ..settings() }, 12).place(START, request).1)
}
