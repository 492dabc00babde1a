//! The rules for retries: whether, where and until when a session may run again, and its final decision.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::action::Decision;
use crate::endpoint::{Endpoint, EndpointSet};
use crate::ids::EndpointIndex;
use crate::session::Session;
use crate::settings::{DeduplicationGroup, Idempotency, Listener, Settings};
use crate::time::{TickDuration, Timestamp};

/// A retry needs more time left than the connect timeout divided by this divisor.
const MIN_RETRY_TIME_DIVISOR: u64 = 4;
/// The shortest Retry-After, as a fraction of the longest.
const MIN_RETRY_AFTER: f64 = 0.25;
/// The shortest Retry-After, as a fraction of the longest, while the concurrency limit is below one attempt.
/// A client that retries sooner is rejected again.
const MIN_RETRY_AFTER_WHEN_LIMITED: f64 = 0.75;

fn listener_of<'a>(session: &Session, settings: &'a Settings) -> &'a Listener {
    &settings.listeners[session.request().listener]
}

/// Returns whether the session has both time and attempts left.
pub(crate) fn has_attempt_left(now: Timestamp, session: &Session, settings: &Settings) -> bool {
    let time_left = session.time_left(now);
    let is_first = session.attempts() == 0;
    let enough_time = is_first || time_left > settings.connect_timeout / MIN_RETRY_TIME_DIVISOR;
    time_left > TickDuration::ZERO && enough_time && session.attempts() < settings.max_attempts
}

/// Returns whether the session may run on the endpoint. Once it may have run, it may only run on endpoints
/// that drop its duplicates, for as long as they remember its idempotency key.
pub(crate) fn may_run_on(
    now: Timestamp,
    session: &Session,
    endpoint: EndpointIndex,
    endpoints: &EndpointSet,
    settings: &Settings,
) -> bool {
    let Some(run) = session.possible_run() else { return true };
    let first = endpoints[run.endpoint].entry();
    let next = endpoints[endpoint].entry();
    match listener_of(session, settings).idempotency {
        Idempotency::Idempotent => true,
        Idempotency::OnceOnly => false,
        Idempotency::WithKey { group, window } => {
            now < run.started_at + window
                && match group {
                    DeduplicationGroup::All => true,
                    DeduplicationGroup::Zone => first.zone == next.zone,
                    DeduplicationGroup::Cell => first.cell == next.cell,
                }
        }
    }
}

/// Returns the latest time at which an attempt's first byte may be sent: within the endpoint's drain grace
/// and, for a session that may have run, while its idempotency key is remembered. Either may end while the
/// attempt connects.
pub(crate) fn send_deadline(session: &Session, endpoint: &Endpoint, settings: &Settings) -> Timestamp {
    let accepted_until = endpoint.accepts_until(settings);
    match (listener_of(session, settings).idempotency, session.possible_run()) {
        (Idempotency::WithKey { window, .. }, Some(run)) => accepted_until.min(run.started_at + window),
        _ => accepted_until,
    }
}

/// Returns the send deadline of an attempt in flight once its endpoint has closed. A session that resumes an
/// established connection keeps the drain grace. A new one that has not been sent yet goes elsewhere.
pub(crate) fn send_deadline_once_closed(
    now: Timestamp,
    session: &Session,
    endpoint: &Endpoint,
    settings: &Settings,
) -> Timestamp {
    let resumes_established = session.request().established && session.attempts() == 1;
    if resumes_established { send_deadline(session, endpoint, settings) } else { now }
}

/// Returns how long an attempt may take: all the time that its client has left, as the session store
/// processes the handshake even if the attempt times out. An endpoint with consecutive failures gets at most
/// the handshake objective, which leaves time for an attempt at another endpoint.
pub(crate) fn attempt_timeout(
    now: Timestamp,
    session: &Session,
    endpoint: &Endpoint,
    settings: &Settings,
) -> TickDuration {
    let time_left = session.time_left(now);
    if endpoint.outlier.has_consecutive_failures() {
        listener_of(session, settings).handshake_objective.min(time_left)
    } else {
        time_left
    }
}

/// Returns the value of a retry of the session on the endpoint, from 0 to 1: its priority relative to the
/// other listeners, times the fraction of its dial timeout that is left, times the endpoint's success
/// probability.
pub(crate) fn retry_value(
    now: Timestamp,
    session: &Session,
    endpoint: &Endpoint,
    settings: &Settings,
) -> f64 {
    let weights = settings.listeners.iter().map(|listener| listener.priority_weight);
    let highest = weights.fold(f64::MIN_POSITIVE, f64::max);
    let dial_timeout = (session.request().dial_timeout.max(TickDuration::from_ticks(1))).as_ticks_f64();
    let time_left = session.time_left(now).as_ticks_f64() / dial_timeout;
    let priority = listener_of(session, settings).priority_weight / highest;
    endpoint.outlier.weight_by_success_probability(priority * time_left)
}

/// Returns the final decision on a session that gets no further attempt: reject it if a retry by its client
/// is harmless, fail it otherwise.
pub(crate) fn final_decision(
    now: Timestamp,
    session: &Session,
    settings: &Settings,
    attempts_limited: bool,
    rng: &mut ChaCha8Rng,
) -> Decision {
    if !client_may_retry(now, session, settings) {
        return Decision::Fail;
    }
    let shortest = if attempts_limited { MIN_RETRY_AFTER_WHEN_LIMITED } else { MIN_RETRY_AFTER };
    let fraction = rng.random_range(shortest..1.0);
    let retry_after = TickDuration::from_ticks_f64(settings.max_retry_after.as_ticks_f64() * fraction);
    Decision::Reject {
        retry_after: if settings.retry_after_allowed { retry_after } else { TickDuration::ZERO },
    }
}

/// Returns whether a retry by the client, on any endpoint and up to the longest Retry-After from now, has no
/// second effect.
fn client_may_retry(now: Timestamp, session: &Session, settings: &Settings) -> bool {
    match (listener_of(session, settings).idempotency, session.possible_run()) {
        (_, None) | (Idempotency::Idempotent, Some(_)) => true,
        (Idempotency::WithKey { group: DeduplicationGroup::All, window }, Some(run)) => {
            now + settings.max_retry_after < run.started_at + window
        }
        (Idempotency::WithKey { .. } | Idempotency::OnceOnly, Some(_)) => false,
    }
}
