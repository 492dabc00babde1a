//! Event codes of the simulator's protocol, the layout of event records, and their decoding.
use larklink_balancer::{
    AttemptOutcome, EndpointEntry, EndpointIndex, EndpointState, ListScope, Observation, SessionRequest,
    TickDuration, Timestamp,
};
use larklink_engine::engine::{AttemptNumber, EndpointId, SessionId};
use larklink_engine::units::ticks_from_nanos;

use crate::error::MalformedFrame;
use crate::wire::{Batch, Record};

/// A proxy was started, with its settings.
pub(crate) const PROXY_STARTED: u16 = 1000;
/// The endpoint list, changes to it, or a failed poll of it.
pub(crate) const ENDPOINT_LIST: u16 = 1010;
/// A client opened a session.
pub(crate) const SESSION_OPENED: u16 = 1020;
/// An attempt was accepted by its endpoint.
pub(crate) const ESTABLISHED: u16 = 1030;
/// An attempt or its connection ended.
pub(crate) const ATTEMPT_ENDED: u16 = 1040;
/// A client disconnected.
pub(crate) const CLIENT_LEFT: u16 = 1050;
/// A health check completed.
pub(crate) const HEALTH_CHECKED: u16 = 1070;
/// A proxy was stopped.
pub(crate) const PROXY_ENDED: u16 = 1090;
/// A proxy took over a session that is already established.
pub(crate) const SESSION_ADOPTED: u16 = 1100;
/// A load or latency observation of an established session.
pub(crate) const OBSERVED: u16 = 1110;

/// Event codes are multiples of this. Multiples within the range of known codes that have no constant here are ignored.
const CODE_STEP: u16 = 10;

/// The code of an event, at the start of its record.
pub(crate) fn code(event: Record) -> u16 {
    event.u16(0)
}

/// The number of the proxy that an event is addressed to.
pub(crate) fn proxy_number(event: Record) -> u32 {
    event.u32(2)
}

/// Whether events with this code are addressed to a running proxy.
pub(crate) fn is_for_running_proxy(code: u16) -> bool {
    (ENDPOINT_LIST..=OBSERVED).contains(&code) && code.is_multiple_of(CODE_STEP)
}

/// Byte offsets of the fields in event and endpoint list records.
mod offset {
    pub(super) const SESSION: usize = 6;
    pub(super) const ATTEMPT: usize = 10;
    pub(super) const SEED: usize = 6;
    pub(super) const SETTINGS: usize = 14;
    pub(super) const LIST_SCOPE: usize = 6;
    pub(super) const LIST_ENTRIES: usize = 11;

    pub(super) const OPENED_GROUP: usize = 10;
    pub(super) const OPENED_FLAGS: usize = 22;
    pub(super) const OPENED_DIAL_TIMEOUT: usize = 24;
    pub(super) const OPENED_CLIENT: usize = 32;
    pub(super) const OPENED_LISTENER: usize = 40;

    pub(super) const ADOPTED_LISTENER: usize = 10;
    pub(super) const ADOPTED_CLIENT: usize = 15;
    pub(super) const ADOPTED_DIAL_TIMEOUT: usize = 23;
    pub(super) const ADOPTED_GROUP: usize = 39;
    pub(super) const ADOPTED_ENDPOINT: usize = 49;

    pub(super) const ENDED_OUTCOME: usize = 22;
    pub(super) const ENDED_SESSION_OVER: usize = 23;
    pub(super) const ENDED_ATTEMPT: usize = 24;

    pub(super) const CHECK_OUTCOME: usize = 6;
    pub(super) const CHECK_TOOK: usize = 7;
    pub(super) const CHECK_ENDPOINT: usize = 15;
    pub(super) const CHECK_VALUE_COUNT: usize = 19;
    pub(super) const CHECK_VALUES: usize = 20;

    pub(super) const OBSERVED_KIND: usize = 15;
    pub(super) const OBSERVED_AMOUNT: usize = 16;

    pub(super) const ENTRY_ID: usize = 0;
    pub(super) const ENTRY_ZONE: usize = 4;
    pub(super) const ENTRY_CELL: usize = 8;
    pub(super) const ENTRY_STATE: usize = 10;
    pub(super) const ENTRY_WEIGHT: usize = 11;
    pub(super) const ENTRY_STARTED_AT: usize = 15;
}

/// The most load report values that fit in the record of a health check.
const MAX_LOAD_VALUES: u8 = 4;
/// The size of a load report value in bytes.
const LOAD_VALUE_BYTES: usize = 4;

/// Scopes of an endpoint list. Any other value means changes to the list.
const LIST_COMPLETE: u8 = 1;
const LIST_CACHED: u8 = 2;
const LIST_FAILED: u8 = 3;

/// Session flags: the client is retrying, the session resumes a connection established through
/// another proxy, or the client is reconnecting.
const FLAG_CLIENT_RETRY: u16 = 2;
const FLAG_ESTABLISHED: u16 = 8;
const FLAG_RECONNECTING: u16 = 16;

/// Endpoint states. Any other value means draining.
const STATE_READY: u8 = 0;
const STATE_REMOVED: u8 = 2;

/// Outcomes of an attempt or a health check. Any other value means failure.
const OUTCOME_SUCCEEDED: u8 = 0;
const OUTCOME_NOT_SENT: u8 = 249;
const OUTCOME_CANCELLED: u8 = 250;
const OUTCOME_RESET: u8 = 251;
const OUTCOME_CONNECT_FAILED: u8 = 252;
const OUTCOME_TIMED_OUT: u8 = 253;
const OUTCOME_AT_CAPACITY: u8 = 254;

/// Kinds of observations. Others are ignored.
const OBSERVED_LOAD: u8 = 1;
const OBSERVED_LATENCY: u8 = 2;
/// Ticks per millisecond. Observed latencies are in milliseconds.
const TICKS_PER_MS: f64 = 10.0;

/// A decoded event for a running proxy.
pub(crate) enum Event {
    DiscoveryFailed,
    EndpointList {
        scope: ListScope,
        entries: Vec<EndpointEntry>,
    },
    SessionOpened {
        session: SessionId,
        request: SessionRequest,
    },
    SessionAdopted {
        session: SessionId,
        request: SessionRequest,
        endpoint: EndpointId,
    },
    Established {
        session: SessionId,
        attempt: AttemptNumber,
    },
    AttemptEnded {
        session: SessionId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        session_over: bool,
    },
    ClientLeft {
        session: SessionId,
    },
    HealthChecked {
        endpoint: EndpointId,
        outcome: AttemptOutcome,
        took: TickDuration,
        load_report: Vec<f64>,
    },
    Observed {
        session: SessionId,
        attempt: AttemptNumber,
        observation: Observation,
    },
    /// An event that the engine does not use, or a timer, which needs no handling because the engine is polled after
    /// each batch.
    Ignored,
}

/// The seed and the settings object of a proxy that is being started.
pub(crate) struct ProxyStart<'a> {
    pub(crate) seed: u64,
    pub(crate) settings: &'a [u8],
}

impl<'a> ProxyStart<'a> {
    pub(crate) fn decode(batch: &'a Batch, event: Record) -> Result<Self, MalformedFrame> {
        Ok(Self { seed: event.u64(offset::SEED), settings: batch.bytes(event, offset::SETTINGS)? })
    }
}

impl Event {
    /// Decodes an event. `has_listener` tells whether the proxy's settings contain a listener.
    pub(crate) fn decode(
        batch: &Batch,
        event: Record,
        has_listener: impl Fn(usize) -> bool,
    ) -> Result<Self, MalformedFrame> {
        // The session and the attempt are meaningful only for events that have these fields.
        let session = event.u32(offset::SESSION);
        let attempt = event.u8(offset::ATTEMPT);
        let listener = |field: usize| {
            let listener = event.u8(field);
            let is_known = has_listener(listener.into());
            is_known.then_some(listener.into()).ok_or(MalformedFrame::UnknownListener(listener))
        };
        Ok(match code(event) {
            ENDPOINT_LIST => endpoint_list(batch, event)?,
            SESSION_OPENED => {
                let listener = listener(offset::OPENED_LISTENER)?;
                Self::SessionOpened { session, request: opened_request(event, listener) }
            }
            SESSION_ADOPTED => {
                let listener = listener(offset::ADOPTED_LISTENER)?;
                let endpoint = event.u32(offset::ADOPTED_ENDPOINT);
                Self::SessionAdopted { session, request: adopted_request(event, listener), endpoint }
            }
            ESTABLISHED => Self::Established { session, attempt },
            ATTEMPT_ENDED => Self::AttemptEnded {
                session,
                attempt: event.u8(offset::ENDED_ATTEMPT),
                outcome: outcome(event.u8(offset::ENDED_OUTCOME)),
                session_over: event.u8(offset::ENDED_SESSION_OVER) != 0,
            },
            CLIENT_LEFT => Self::ClientLeft { session },
            HEALTH_CHECKED => Self::HealthChecked {
                endpoint: event.u32(offset::CHECK_ENDPOINT),
                outcome: outcome(event.u8(offset::CHECK_OUTCOME)),
                took: ticks_from_nanos(event.nanos(offset::CHECK_TOOK)),
                load_report: load_report(event),
            },
            OBSERVED => match observation(event) {
                Some(observation) => Self::Observed { session, attempt, observation },
                None => Self::Ignored,
            },
            _ => Self::Ignored,
        })
    }
}

fn endpoint_list(batch: &Batch, event: Record) -> Result<Event, MalformedFrame> {
    let scope = match event.u8(offset::LIST_SCOPE) {
        LIST_FAILED => return Ok(Event::DiscoveryFailed),
        LIST_CACHED => ListScope::Cached,
        LIST_COMPLETE => ListScope::Complete,
        _ => ListScope::Changes,
    };
    let entries = batch.entries(event, offset::LIST_ENTRIES)?.map(endpoint_entry).collect();
    Ok(Event::EndpointList { scope, entries })
}

fn endpoint_entry(entry: Record) -> EndpointEntry {
    let started_at = entry.nanos(offset::ENTRY_STARTED_AT);
    EndpointEntry {
        // Assigned by the engine.
        index: EndpointIndex(0),
        id: entry.u32(offset::ENTRY_ID),
        zone: entry.u16(offset::ENTRY_ZONE),
        cell: entry.u16(offset::ENTRY_CELL),
        state: match entry.u8(offset::ENTRY_STATE) {
            STATE_READY => EndpointState::Ready,
            STATE_REMOVED => EndpointState::Removed,
            _ => EndpointState::Draining,
        },
        weight: f64::from(entry.f32(offset::ENTRY_WEIGHT)),
        // 0 means that the endpoint started long ago, so a start time within the first tick must not round to 0.
        started_at: if started_at > 0 {
            Timestamp::ZERO + ticks_from_nanos(started_at).max(TickDuration::from_ticks(1))
        } else {
            Timestamp::ZERO
        },
    }
}

fn opened_request(event: Record, listener: usize) -> SessionRequest {
    let flags = event.u16(offset::OPENED_FLAGS);
    SessionRequest {
        listener,
        group_key: event.u64(offset::OPENED_GROUP),
        client_key: event.u64(offset::OPENED_CLIENT),
        dial_timeout: ticks_from_nanos(event.nanos(offset::OPENED_DIAL_TIMEOUT)),
        established: flags & FLAG_ESTABLISHED != 0,
        reconnecting: flags & FLAG_RECONNECTING != 0,
        client_retry: flags & FLAG_CLIENT_RETRY != 0,
    }
}

fn adopted_request(event: Record, listener: usize) -> SessionRequest {
    SessionRequest {
        listener,
        group_key: event.u64(offset::ADOPTED_GROUP),
        client_key: event.u64(offset::ADOPTED_CLIENT),
        dial_timeout: ticks_from_nanos(event.nanos(offset::ADOPTED_DIAL_TIMEOUT)),
        ..SessionRequest::default()
    }
}

fn load_report(event: Record) -> Vec<f64> {
    let count = event.u8(offset::CHECK_VALUE_COUNT).min(MAX_LOAD_VALUES);
    let value_offset = |index: u8| offset::CHECK_VALUES + LOAD_VALUE_BYTES * usize::from(index);
    (0..count).map(|index| event.f32(value_offset(index)).into()).collect()
}

fn observation(event: Record) -> Option<Observation> {
    let amount = f64::from(event.f32(offset::OBSERVED_AMOUNT));
    match event.u8(offset::OBSERVED_KIND) {
        OBSERVED_LOAD => Some(Observation::Load(amount)),
        OBSERVED_LATENCY => {
            Some(Observation::MessageLatency(TickDuration::from_ticks_f64(amount * TICKS_PER_MS)))
        }
        _ => None,
    }
}

fn outcome(code: u8) -> AttemptOutcome {
    match code {
        OUTCOME_SUCCEEDED => AttemptOutcome::Succeeded,
        OUTCOME_AT_CAPACITY => AttemptOutcome::AtCapacity,
        OUTCOME_TIMED_OUT => AttemptOutcome::TimedOut,
        OUTCOME_CONNECT_FAILED => AttemptOutcome::ConnectFailed,
        OUTCOME_RESET => AttemptOutcome::Reset,
        OUTCOME_CANCELLED => AttemptOutcome::Cancelled,
        OUTCOME_NOT_SENT => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Failed,
    }
}
