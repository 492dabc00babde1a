//! The lease: one process at a time does a task for the whole fleet.
//!
//! Make one [`Lease`] for each task and process. Carry out the [`LeaseRequest`] that [`Lease::next_request`] returns, one
//! at a time, and hand back what became of it by [`Lease::response_received`] or [`Lease::request_timed_out`]; call
//! `next_request` again after each and when [`Lease::next_request_at`] has come. Right before an act call
//! [`Lease::may_act`], let the act carry its fencing token, and call it again afterwards.
//!
//! Times are those of a clock that goes on while the machine sleeps and is never set. That no two members act at once
//! rests on two things: a holder counts from before its request, and a candidate from after the response.
//!
//! ```
//! use larklink_coordination::lease::Lease;
//! use larklink_coordination::record::Member;
//! use larklink_coordination::request::{FencingToken, LeaseRequest, LeaseResponse};
//! use larklink_coordination::safety::BoundedDrift;
//! use larklink_coordination::settings::LeaseSettings;
//!
//! let settings =
//!     LeaseSettings { ttl: 100_000, drift_ppm: 1_000, max_act_duration: 1_000, request_timeout: 5_000 };
//! settings.check()?;
//! let member = Member { name: "proxy-1".into(), incarnation: 7 };
//! let mut lease: Lease<BoundedDrift> = Lease::new(member, settings, Some(1));
//!
//! // The lease store has no record yet: the lease can be acquired at once.
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

/// A holder renews so often in its TTL: two renewals may fail before it must stop.
const RENEWALS_PER_TTL: TickDuration = 3;
/// The longest pause after a request without a response is this part of the TTL, the shortest half as long; it is drawn,
/// so that hundreds of candidates do not retry in step.
const RETRIES_PER_TTL: TickDuration = 10;

/// The latest that was observed of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedRecord {
    index: u64,
    record: Option<LeaseRecord>,
    /// When this index was first observed.
    first_observed_at: Timestamp,
}

/// Writes without a response, which may have taken effect or may yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnresolvedWrite {
    /// The index that they expected.
    expected_index: u64,
    /// When the earliest of them was requested.
    requested_at: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    may_act_until: Timestamp,
    token: FencingToken,
    term: u64,
    /// When the latest renewal that was confirmed was requested.
    renewed_at: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutstandingRequest {
    request: LeaseRequest,
    requested_at: Timestamp,
}

/// Why a lease was acquired or lost, for one log line.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseChange {
    /// This process holds it now.
    Acquired {
        /// The new term.
        term: u64,
    },
    /// This process holds it no more.
    Lost {
        /// Its new holder; none if it is unknown.
        to: Option<Member>,
    },
    /// This process gave it back.
    Released,
}

/// How long a holder may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseValidity {
    /// The time from which on it may not act any more, unless the lease is renewed.
    pub until: Timestamp,
    /// Its term.
    pub term: u64,
}

/// A lease holder and its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseHolder<'a> {
    /// The member that holds the lease.
    pub member: &'a Member,
    /// Its term.
    pub term: u64,
}

/// The state machine of one process and one lease.
#[derive(Clone, Debug)]
pub struct Lease<S = BoundedDrift> {
    member: Member,
    settings: LeaseSettings,
    rng: Option<ChaCha8Rng>,
    observed: Option<ObservedRecord>,
    unresolved_write: Option<UnresolvedWrite>,
    held: Option<HeldLease>,
    outstanding: Option<OutstandingRequest>,
    /// What was observed is not enough: the next request is a read.
    must_read: bool,
    resigning: bool,
    /// No request before this time.
    retry_not_before: Timestamp,
    /// No acquisition before this time: somebody may hold a lease that the lease store has forgotten.
    acquire_not_before: Timestamp,
    change: Option<LeaseChange>,
    safety: PhantomData<S>,
}

impl<S: SafetyCondition> Lease<S> {
    /// The lease of a member that knows nothing of it yet. Without a seed there are no pauses, for models.
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

    /// The fencing token to act with now; none if this process may not act. Call it right before each act, and again
    /// afterwards: an act that a pause of the process carried beyond the end is late, and only the far side can
    /// reject it.
    pub fn may_act(&self, now: Timestamp) -> Option<FencingToken> {
        self.valid(now).map(|held| held.token)
    }

    /// Until when this process may act, and in which term; none if it may not act now.
    pub fn validity(&self, now: Timestamp) -> Option<LeaseValidity> {
        self.valid(now).map(|held| LeaseValidity { until: held.may_act_until, term: held.term })
    }

    fn valid(&self, now: Timestamp) -> Option<&HeldLease> {
        self.held.as_ref().filter(|held| now < held.may_act_until && !self.resigning)
    }

    /// All state that decides what comes next, as a text; for models that compare states. What is drawn by chance is
    /// not in it.
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

    /// The lease holder, as last observed.
    pub fn holder(&self) -> Option<LeaseHolder<'_>> {
        let record = self.observed.as_ref()?.record.as_ref()?;
        record.holder.as_ref().map(|member| LeaseHolder { member, term: record.term })
    }

    /// The latest change since this was last called.
    pub fn take_change(&mut self) -> Option<LeaseChange> {
        self.change.take()
    }

    /// Releases the lease, if it is held, and is no candidate any more.
    pub fn resign(&mut self) {
        if !self.resigning && self.held.is_some() {
            self.change = Some(LeaseChange::Released);
        }
        self.resigning = true;
    }

    /// Whether there is nothing more to request after [`Lease::resign`]: what was held is released.
    pub fn is_released(&self) -> bool {
        self.resigning && self.outstanding.is_none() && !self.must_read && !self.is_mine()
    }

    /// When [`Lease::next_request`] has to be called next; [`Timestamp::MAX`] while a request is outstanding.
    pub fn next_request_at(&self) -> Timestamp {
        if self.outstanding.is_some() || self.is_released() {
            return Timestamp::MAX;
        }
        // A candidate watches the record until it may overtake: it requests at once.
        let renewal = self.held.as_ref().filter(|_| self.is_mine() && !self.must_read && !self.resigning);
        let due_at = renewal.map_or(0, |held| held.renewed_at + self.settings.ttl / RENEWALS_PER_TTL);
        due_at.max(self.retry_not_before)
    }

    /// What to request of the lease store now; nothing while a request is outstanding or before one is due.
    pub fn next_request(&mut self, now: Timestamp) -> Option<LeaseRequest> {
        if now < self.next_request_at() {
            return None;
        }
        let request = self.wanted_request(now)?;
        if let LeaseRequest::Write { expected_index, .. } = &request {
            let earlier =
                self.unresolved_write.as_ref().filter(|write| write.expected_index == *expected_index);
            let requested_at =
                earlier.map_or(now, |write| S::repeated_write_counts_from(write.requested_at, now));
            self.unresolved_write = Some(UnresolvedWrite { expected_index: *expected_index, requested_at });
        }
        self.outstanding = Some(OutstandingRequest { request: request.clone(), requested_at: now });
        Some(request)
    }

    fn wanted_request(&self, now: Timestamp) -> Option<LeaseRequest> {
        let Some(observed) = self.observed.as_ref().filter(|_| !self.must_read) else {
            return Some(LeaseRequest::Read { newer_than: None, max_wait: 0 });
        };
        let term = observed.record.as_ref().map_or(0, |record| record.term);
        if self.is_mine() {
            let holder = if self.resigning { None } else { Some(self.member.clone()) };
            return Some(self.write_request(observed.index, holder, term));
        }
        if self.resigning {
            return None;
        }
        let acquire_at = self.may_overtake_at(observed).max(self.acquire_not_before);
        if now < acquire_at {
            return Some(LeaseRequest::Read { newer_than: Some(observed.index), max_wait: acquire_at - now });
        }
        Some(self.write_request(observed.index, Some(self.member.clone()), term.saturating_add(1)))
    }

    fn write_request(&self, expected_index: u64, holder: Option<Member>, term: u64) -> LeaseRequest {
        let record = LeaseRecord { holder, term, ttl: self.settings.ttl };
        LeaseRequest::Write { expected_index, record }
    }

    /// From when on the observed record may be overtaken: at once, if nobody holds it.
    fn may_overtake_at(&self, observed: &ObservedRecord) -> Timestamp {
        match &observed.record {
            Some(LeaseRecord { holder: Some(_), ttl, .. }) => {
                S::may_overtake_at(observed.first_observed_at, *ttl, self.settings.drift_ppm)
            }
            _ => 0,
        }
    }

    fn is_mine(&self) -> bool {
        self.holder().is_some_and(|holder| *holder.member == self.member)
    }

    /// The outstanding request was answered.
    pub fn response_received(&mut self, now: Timestamp, response: LeaseResponse) {
        let Some(OutstandingRequest { request, requested_at }) = self.outstanding.take() else { return };
        self.retry_not_before = 0;
        match (request, response) {
            (LeaseRequest::Read { .. }, LeaseResponse::Current(current)) => self.read(now, current),
            (
                LeaseRequest::Write { expected_index, record },
                LeaseResponse::Written { index: Some(index) },
            ) => {
                let unresolved = self.unresolved_write.take();
                let unresolved = unresolved.filter(|write| write.expected_index == expected_index);
                let requested_at = unresolved.map_or(requested_at, |write| write.requested_at);
                self.written(now, requested_at, index, record);
            }
            // After a conflict with an earlier write of ours without a response, or with somebody else's, only a read
            // shows which. Ours counts from the earliest request on its index.
            (
                LeaseRequest::Write { .. },
                LeaseResponse::Written { index: None } | LeaseResponse::Conflict,
            ) => self.must_read = true,
            // A response to another kind of request is none.
            (request, _) => {
                self.outstanding = Some(OutstandingRequest { request, requested_at });
                self.request_timed_out(now);
            }
        }
    }

    /// The outstanding request had no response in time: it may have taken effect, or may yet.
    pub fn request_timed_out(&mut self, now: Timestamp) {
        let Some(OutstandingRequest { request, .. }) = self.outstanding.take() else { return };
        if matches!(request, LeaseRequest::Write { .. }) {
            self.must_read = true;
        }
        let max_pause = (self.settings.ttl / RETRIES_PER_TTL).max(1);
        let pause = self.rng.as_mut().map_or(0, |rng| rng.random_range(max_pause.div_ceil(2)..=max_pause));
        self.retry_not_before = now + pause;
    }

    /// A write of ours took effect, requested at the earliest at `requested_at`.
    fn written(&mut self, now: Timestamp, requested_at: Timestamp, index: u64, record: LeaseRecord) {
        let holds = record.holder.is_some();
        let term = record.term;
        self.observed = Some(ObservedRecord { index, record: Some(record), first_observed_at: now });
        self.must_read = false;
        if !holds {
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

    /// What was held is not any more.
    fn lose(&mut self, to: Option<Member>) {
        if self.held.take().is_some() {
            self.change = Some(LeaseChange::Lost { to });
        }
    }

    fn read(&mut self, now: Timestamp, current: Option<StoredRecord>) {
        let index = current.as_ref().map_or(0, |stored| stored.index);
        let record = current.map(|stored| stored.record);
        self.must_read = false;
        let known_index = self.observed.as_ref().map_or(0, |observed| observed.index);
        let mine = record.as_ref().filter(|record| record.holder.as_ref() == Some(&self.member));
        if index < known_index {
            // The lease store has lost its state, and somebody may hold what it has forgotten.
            self.lose(None);
            self.acquire_not_before = S::may_overtake_at(now, self.settings.ttl, self.settings.drift_ppm);
        } else if index == known_index && self.observed.is_some() {
            // An unresolved write on this index may still take effect: when it was requested stays known.
            return;
        } else if let Some(record) = mine {
            // Only an unresolved write of ours can have made this index since the one last observed: any other of
            // ours was answered.
            let unresolved = self.unresolved_write.take();
            if let Some(write) = unresolved.filter(|write| write.expected_index == known_index) {
                return self.written(now, write.requested_at, index, record.clone());
            }
            self.lose(None);
        } else {
            self.lose(record.as_ref().and_then(|record| record.holder.clone()));
        }
        // What expected an earlier index can take effect no more.
        self.unresolved_write = None;
        self.observed = Some(ObservedRecord { index, record, first_observed_at: now });
    }
}
