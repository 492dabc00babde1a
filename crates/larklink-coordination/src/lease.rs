//! The state machine of a lease, by which one process at a time performs a task for the whole fleet.
//!
//! Create one [`Lease`] per task and process. Send the [`LeaseRequest`] that [`Lease::next_request`] returns, one at a
//! time, and report its outcome with [`Lease::response_received`] or [`Lease::request_timed_out`]. Call `next_request`
//! again after each outcome and at [`Lease::next_request_at`]. Call [`Lease::may_act`] immediately before each operation
//! that the lease protects, send the returned fencing token with the operation, and call `may_act` again afterwards.
//!
//! Timestamps come from a monotonic clock that keeps running while the machine is suspended. No two members act at once
//! because a holder measures the TTL from before its request, and a candidate from after the response it received.
//!
//! ```
//! use larklink_coordination::lease::Lease;
//! use larklink_coordination::record::Member;
//! use larklink_coordination::request::{FencingToken, LeaseRequest, LeaseResponse};
//! use larklink_coordination::safety::BoundedDrift;
//! use larklink_coordination::settings::LeaseSettings;
//!
//! let settings = LeaseSettings {
//!     ttl: 100_000,
//!     max_drift_ppm: 1_000,
//!     max_operation_duration: 1_000,
//!     request_timeout: 5_000,
//! };
//! settings.check()?;
//! let member = Member { name: "proxy-1".into(), incarnation: 7 };
//! let mut lease: Lease<BoundedDrift> = Lease::new(member, settings, Some(1));
//!
//! // The lease store has no record yet, so the lease can be acquired immediately.
//! assert!(matches!(lease.next_request(0), Some(LeaseRequest::Read { .. })));
//! lease.response_received(10, LeaseResponse::Current(None));
//! assert!(matches!(lease.next_request(10), Some(LeaseRequest::Write { expected_index: 0, .. })));
//! lease.response_received(20, LeaseResponse::Written { index: Some(1) });
//!
//! assert_eq!(lease.may_act(30), Some(FencingToken(1)));
//! assert_eq!(lease.may_act(200_000), None, "not renewed in time");
//! # Ok::<(), larklink_coordination::settings::LeaseSettingsError>(())
//! ```
use std::marker::PhantomData;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::record::{LeaseRecord, Member, StoredRecord};
use crate::request::{FencingToken, LeaseRequest, LeaseResponse};
use crate::safety::{BoundedDrift, SafetyCondition};
use crate::settings::LeaseSettings;
use crate::time::{TickDuration, Timestamp};

/// A renewal is due the TTL divided by this after the last confirmed write of the lease was sent, which leaves time for at
/// least two retries before the lease expires.
const RENEWAL_DIVISOR: TickDuration = 3;
/// The TTL divided by this is the longest delay before an unanswered request is retried. The delay is drawn at random
/// from the upper half of the range, so that hundreds of candidates do not retry at the same time.
const MAX_RETRY_DELAY_DIVISOR: TickDuration = 10;

/// The state of the record when it was last read or written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedRecord {
    index: u64,
    record: Option<LeaseRecord>,
    /// When this index was first observed by this process.
    first_observed_at: Timestamp,
}

/// Unanswered writes, which may have taken effect or may still do so.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnresolvedWrite {
    /// The index that the writes expect.
    expected_index: u64,
    /// When the earliest of the writes was sent.
    requested_at: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    may_act_until: Timestamp,
    token: FencingToken,
    term: u64,
    /// When the last confirmed renewal was sent.
    renewed_at: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutstandingRequest {
    request: LeaseRequest,
    requested_at: Timestamp,
}

/// A change of whether this process holds the lease, to be logged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseChange {
    /// This process acquired the lease.
    Acquired {
        /// The term that began.
        term: u64,
    },
    /// This process no longer holds the lease.
    Lost {
        /// The new holder, if it is known.
        new_holder: Option<Member>,
    },
    /// This process is releasing the lease.
    Released,
}

/// How long this process may act on the lease it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseValidity {
    /// The time from which this process may no longer act unless the lease is renewed.
    pub until: Timestamp,
    /// The current term.
    pub term: u64,
}

/// A lease holder and its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseHolder<'a> {
    /// The member that holds the lease.
    pub member: &'a Member,
    /// The term in which it holds the lease.
    pub term: u64,
}

/// The state machine of one lease in one process.
#[derive(Clone, Debug)]
pub struct Lease<S = BoundedDrift> {
    member: Member,
    settings: LeaseSettings,
    rng: Option<ChaCha8Rng>,
    observed: Option<ObservedRecord>,
    unresolved_write: Option<UnresolvedWrite>,
    held: Option<HeldLease>,
    outstanding: Option<OutstandingRequest>,
    /// Whether the next request must be a read because `observed` may be out of date.
    must_read: bool,
    resigning: bool,
    /// No request is sent before this time.
    retry_not_before: Timestamp,
    /// The lease is not acquired before this time, since the lease store lost its data and another member may still
    /// hold the lease.
    acquire_not_before: Timestamp,
    change: Option<LeaseChange>,
    safety: PhantomData<S>,
}

impl<S: SafetyCondition> Lease<S> {
    /// Creates the state machine with no knowledge of the lease store. Without a seed there are no retry delays, which
    /// keeps state-space models deterministic.
    pub fn new(member: Member, settings: LeaseSettings, seed: Option<u64>) -> Self {
        Self {
            member,
            settings,
            rng: seed.map(ChaCha8Rng::seed_from_u64),
            observed: None,
            unresolved_write: None,
            held: None,
            outstanding: None,
            must_read: true,
            resigning: false,
            retry_not_before: 0,
            acquire_not_before: 0,
            change: None,
            safety: PhantomData,
        }
    }

    /// The fencing token to act with now, or `None` if this process may not act.
    ///
    /// Call it immediately before each operation, and again afterwards to detect an operation that finished after the
    /// lease expired because the process was paused. Only the receiver of the operation can reject it, by its token.
    pub fn may_act(&self, now: Timestamp) -> Option<FencingToken> {
        self.valid_lease(now).map(|held| held.token)
    }

    /// The lease term in which this process may act and the time until which it may, or `None` if it may not act now.
    pub fn validity(&self, now: Timestamp) -> Option<LeaseValidity> {
        self.valid_lease(now).map(|held| LeaseValidity { until: held.may_act_until, term: held.term })
    }

    fn valid_lease(&self, now: Timestamp) -> Option<&HeldLease> {
        self.held.as_ref().filter(|held| now < held.may_act_until && !self.resigning)
    }

    /// All state that determines future behavior, as text, by which models compare states. The state of the random
    /// number generator is not included.
    pub fn state_key(&self) -> String {
        format!(
            "{:?} {:?} {:?} {:?} {} {} {} {}",
            self.observed,
            self.unresolved_write,
            self.held,
            self.outstanding,
            self.must_read,
            self.resigning,
            self.retry_not_before,
            self.acquire_not_before
        )
    }

    /// The lease holder according to the last observed record.
    pub fn holder(&self) -> Option<LeaseHolder<'_>> {
        let record = self.observed.as_ref()?.record.as_ref()?;
        record.holder.as_ref().map(|member| LeaseHolder { member, term: record.term })
    }

    /// Returns and clears the latest change since the previous call.
    pub fn take_change(&mut self) -> Option<LeaseChange> {
        self.change.take()
    }

    /// Stops being a candidate, and releases the lease if this process holds it.
    pub fn resign(&mut self) {
        if !self.resigning && self.held.is_some() {
            self.change = Some(LeaseChange::Released);
        }
        self.resigning = true;
    }

    /// Whether [`Lease::resign`] is complete: the lease is released and no further request is needed.
    pub fn is_released(&self) -> bool {
        self.resigning && self.outstanding.is_none() && !self.must_read && !self.holder_is_self()
    }

    /// When to call [`Lease::next_request`] next; [`Timestamp::MAX`] while a request is outstanding or after the lease was
    /// released.
    pub fn next_request_at(&self) -> Timestamp {
        if self.outstanding.is_some() || self.is_released() {
            return Timestamp::MAX;
        }
        // A renewal is due a third of the TTL after the last confirmed write was sent. Any other request is due
        // immediately, since a candidate waits in a long poll. After a timeout, every request waits for the retry delay.
        let renewal =
            self.held.as_ref().filter(|_| self.holder_is_self() && !self.must_read && !self.resigning);
        let due_at = renewal.map_or(0, |held| held.renewed_at + self.settings.ttl / RENEWAL_DIVISOR);
        due_at.max(self.retry_not_before)
    }

    /// The request to send to the lease store now, or `None` while a request is outstanding or before one is due.
    pub fn next_request(&mut self, now: Timestamp) -> Option<LeaseRequest> {
        if now < self.next_request_at() {
            return None;
        }
        let request = self.build_request(now)?;
        if let LeaseRequest::Write { expected_index, .. } = &request {
            let earlier =
                self.unresolved_write.as_ref().filter(|write| write.expected_index == *expected_index);
            let requested_at =
                earlier.map_or(now, |write| S::effective_request_time(write.requested_at, now));
            self.unresolved_write = Some(UnresolvedWrite { expected_index: *expected_index, requested_at });
        }
        self.outstanding = Some(OutstandingRequest { request: request.clone(), requested_at: now });
        Some(request)
    }

    fn build_request(&self, now: Timestamp) -> Option<LeaseRequest> {
        let Some(observed) = self.observed.as_ref().filter(|_| !self.must_read) else {
            return Some(LeaseRequest::Read { newer_than: None, max_wait: 0 });
        };
        let term = observed.record.as_ref().map_or(0, |record| record.term);
        if self.holder_is_self() {
            let holder = if self.resigning { None } else { Some(self.member.clone()) };
            return Some(self.write_request(observed.index, holder, term));
        }
        if self.resigning {
            return None;
        }
        let acquire_at = self.may_take_over_at(observed).max(self.acquire_not_before);
        if now < acquire_at {
            return Some(LeaseRequest::Read { newer_than: Some(observed.index), max_wait: acquire_at - now });
        }
        Some(self.write_request(observed.index, Some(self.member.clone()), term.saturating_add(1)))
    }

    fn write_request(&self, expected_index: u64, holder: Option<Member>, term: u64) -> LeaseRequest {
        let record = LeaseRecord { holder, term, ttl: self.settings.ttl };
        LeaseRequest::Write { expected_index, record }
    }

    /// When the lease in the observed record may be taken over; immediately if nobody holds it.
    fn may_take_over_at(&self, observed: &ObservedRecord) -> Timestamp {
        match &observed.record {
            Some(LeaseRecord { holder: Some(_), ttl, .. }) => {
                S::may_take_over_at(observed.first_observed_at, *ttl, self.settings.max_drift_ppm)
            }
            _ => 0,
        }
    }

    fn holder_is_self(&self) -> bool {
        self.holder().is_some_and(|holder| *holder.member == self.member)
    }

    /// Handles the response to the outstanding request.
    pub fn response_received(&mut self, now: Timestamp, response: LeaseResponse) {
        let Some(OutstandingRequest { request, requested_at }) = self.outstanding.take() else { return };
        self.retry_not_before = 0;
        match (request, response) {
            (LeaseRequest::Read { .. }, LeaseResponse::Current(current)) => self.apply_read(now, current),
            (
                LeaseRequest::Write { expected_index, record },
                LeaseResponse::Written { index: Some(index) },
            ) => {
                let unresolved = self.unresolved_write.take();
                let unresolved = unresolved.filter(|write| write.expected_index == expected_index);
                let requested_at = unresolved.map_or(requested_at, |write| write.requested_at);
                self.apply_write(now, requested_at, index, record);
            }
            // A conflict may be with an earlier unanswered write of this process or with another member's write, and
            // only a read shows which. If it is this process's own, the lease counts from the earliest request.
            (
                LeaseRequest::Write { .. },
                LeaseResponse::Written { index: None } | LeaseResponse::Conflict,
            ) => self.must_read = true,
            // A response of the wrong kind is treated as no response.
            (request, _) => {
                self.outstanding = Some(OutstandingRequest { request, requested_at });
                self.request_timed_out(now);
            }
        }
    }

    /// Handles a timeout of the outstanding request, which may have taken effect or may still do so.
    pub fn request_timed_out(&mut self, now: Timestamp) {
        let Some(OutstandingRequest { request, .. }) = self.outstanding.take() else { return };
        if matches!(request, LeaseRequest::Write { .. }) {
            self.must_read = true;
        }
        let max_delay = (self.settings.ttl / MAX_RETRY_DELAY_DIVISOR).max(1);
        let delay = self.rng.as_mut().map_or(0, |rng| rng.random_range(max_delay.div_ceil(2)..=max_delay));
        self.retry_not_before = now + delay;
    }

    /// Updates the state after a write of this process took effect; `requested_at` is the earliest time at which it may
    /// have been sent.
    fn apply_write(&mut self, now: Timestamp, requested_at: Timestamp, index: u64, record: LeaseRecord) {
        let released = record.holder.is_none();
        let term = record.term;
        self.observed = Some(ObservedRecord { index, record: Some(record), first_observed_at: now });
        self.must_read = false;
        if released {
            self.held = None;
            return;
        }
        let may_act_until = S::may_act_until(requested_at, now, &self.settings);
        let token = match &self.held {
            Some(held) if held.term == term => held.token,
            _ => {
                self.change = Some(LeaseChange::Acquired { term });
                FencingToken(index)
            }
        };
        self.held = Some(HeldLease { may_act_until, token, term, renewed_at: requested_at });
    }

    /// Records that this process no longer holds the lease, if it did.
    fn mark_lost(&mut self, new_holder: Option<Member>) {
        if self.held.take().is_some() {
            self.change = Some(LeaseChange::Lost { new_holder });
        }
    }

    /// Updates the state from the response to a read.
    fn apply_read(&mut self, now: Timestamp, current: Option<StoredRecord>) {
        let index = current.as_ref().map_or(0, |stored| stored.index);
        let record = current.map(|stored| stored.record);
        self.must_read = false;
        let known_index = self.observed.as_ref().map_or(0, |observed| observed.index);
        let own_record = record.as_ref().filter(|record| record.holder.as_ref() == Some(&self.member));
        if index < known_index {
            // The lease store has lost its data, and another member may still hold the lease.
            self.mark_lost(None);
            self.acquire_not_before =
                S::may_take_over_at(now, self.settings.ttl, self.settings.max_drift_ppm);
        } else if index == known_index && self.observed.is_some() {
            // Nothing changed. Unanswered writes on this index may still take effect, so their request time is kept.
            return;
        } else if let Some(record) = own_record {
            // Every other write of this process was answered, so only an unanswered one can have led from the last
            // observed index to this one.
            let unresolved = self.unresolved_write.take();
            if let Some(write) = unresolved.filter(|write| write.expected_index == known_index) {
                return self.apply_write(now, write.requested_at, index, record.clone());
            }
            self.mark_lost(None);
        } else {
            self.mark_lost(record.as_ref().and_then(|record| record.holder.clone()));
        }
        // Writes that expected an earlier index can no longer take effect, unless the lease store lost its data.
        self.unresolved_write = None;
        self.observed = Some(ObservedRecord { index, record, first_observed_at: now });
    }
}
