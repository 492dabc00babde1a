//! The endpoints, with their lifecycle from the endpoint list and their age since the last start.

use std::collections::BTreeSet;
use std::ops::{Index, IndexMut};

use crate::action::HealthSummary;
use crate::event::{EndpointEntry, EndpointState, ListScope};
use crate::health_check::HealthCheckState;
use crate::ids::EndpointIndex;
use crate::load::{EndpointLoad, ReadyTotals};
use crate::outlier::OutlierState;
use crate::settings::Settings;
use crate::slow_start::SlowStartQuota;
use crate::time::{TickDuration, Timestamp};

/// New sessions may be sent to a draining endpoint for the drain grace divided by this divisor.
const DRAIN_GRACE_DIVISOR: u64 = 2;
/// Removed endpoints that are remembered in any case; in a larger fleet, as many as are listed.
const MIN_REMEMBERED_ENDPOINTS: usize = 1_024;
/// How long a removed endpoint is remembered at least. Longer than any health check of it.
const MIN_REMEMBERED_FOR: TickDuration = TickDuration::from_secs(60);

/// An endpoint and everything this proxy knows about it.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    entry: EndpointEntry,
    /// When this proxy was notified that the endpoint is draining or removed; `None` while it is ready.
    closing_notified_at: Option<Timestamp>,
    /// Whether it has been listed as draining since it was last ready.
    listed_draining: bool,
    /// Whether a list that may be older than the known one has closed it.
    closed_by_older_list: bool,
    /// When it joined the list; 0 if it was in the cached list.
    joined_at: Timestamp,
    pub(crate) outlier: OutlierState,
    pub(crate) health_check: HealthCheckState,
    pub(crate) load: EndpointLoad,
    pub(crate) slow_start: SlowStartQuota,
    /// Whether the index belongs to no endpoint, because it was forgotten or is not assigned yet.
    is_vacant: bool,
}

impl Endpoint {
    /// Creates an endpoint that no list has contained yet. It counts as removed.
    fn unlisted() -> Self {
        Self {
            entry: EndpointEntry::default(),
            closing_notified_at: None,
            listed_draining: false,
            closed_by_older_list: false,
            joined_at: Timestamp::ZERO,
            outlier: OutlierState::new(),
            health_check: HealthCheckState::new(),
            load: EndpointLoad::new(),
            slow_start: SlowStartQuota::new(),
            is_vacant: true,
        }
    }

    fn update(&mut self, now: Timestamp, scope: ListScope, mut entry: EndpointEntry) {
        if scope.may_be_older() && self.stays_closed(&entry) {
            entry.state = self.entry.state;
        }
        if entry.started_at > self.entry.started_at {
            self.outlier.record_restart(now);
            self.load.record_restart();
        }
        if entry.state == EndpointState::Ready && !self.is_ready() {
            self.joined_at = if scope == ListScope::Cached { Timestamp::ZERO } else { now };
        }
        self.entry = entry;
        if self.is_ready() {
            self.closing_notified_at = None;
            self.listed_draining = false;
        } else {
            self.record_closing(now, scope);
            self.listed_draining |= entry.state == EndpointState::Draining;
        }
    }

    /// Returns whether an entry of a list that may be older cannot make the endpoint ready again.
    fn stays_closed(&self, entry: &EndpointEntry) -> bool {
        let closed_by_newer_list = self.closing_notified_at.is_some() && !self.closed_by_older_list;
        let has_restarted = entry.started_at > self.entry.started_at;
        entry.state == EndpointState::Ready && closed_by_newer_list && !has_restarted
    }

    fn record_closing(&mut self, now: Timestamp, scope: ListScope) {
        let was_ready = self.closing_notified_at.is_none();
        self.closed_by_older_list = scope.may_be_older() && (was_ready || self.closed_by_older_list);
        self.closing_notified_at.get_or_insert(now);
    }

    fn mark_removed(&mut self, now: Timestamp, scope: ListScope) {
        self.entry.state = EndpointState::Removed;
        self.record_closing(now, scope);
    }

    /// Returns its latest entry in the endpoint list.
    pub(crate) fn entry(&self) -> &EndpointEntry {
        &self.entry
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    fn is_removed(&self) -> bool {
        !self.is_vacant && self.entry.state == EndpointState::Removed
    }

    /// Returns whether the endpoint may be forgotten, unless a session uses it.
    fn is_forgettable(&self, now: Timestamp) -> bool {
        let removed_at = self.closing_notified_at.unwrap_or(Timestamp::ZERO);
        self.is_removed() && now >= removed_at + MIN_REMEMBERED_FOR
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.entry.state == EndpointState::Draining
    }

    /// Returns whether the endpoint gets no new sessions and its sessions are migrated. If removal is not
    /// binding, an endpoint that was removed without a drain keeps its sessions until it fails.
    pub(crate) fn is_closed(&self, settings: &Settings) -> bool {
        !self.is_ready() && (self.listed_draining || !settings.removal_not_binding)
    }

    /// Returns when this proxy was notified that the endpoint is draining or removed; `None` while it is
    /// ready.
    pub(crate) fn closing_notified_at(&self) -> Option<Timestamp> {
        self.closing_notified_at
    }

    /// Returns the latest time at which a new session may be sent to the endpoint.
    pub(crate) fn accepts_until(&self, settings: &Settings) -> Timestamp {
        match self.closing_notified_at {
            Some(notified_at) if self.is_closed(settings) => {
                notified_at + settings.drain_grace / DRAIN_GRACE_DIVISOR
            }
            _ => Timestamp::MAX,
        }
    }

    /// Returns the time since the endpoint last started, as listed or as inferred from its recovery after a
    /// failed connection; `TickDuration::MAX` if neither is known.
    pub(crate) fn age(&self, now: Timestamp) -> TickDuration {
        let last_start = self.entry.started_at.max(self.outlier.recovered_at());
        if last_start == Timestamp::ZERO { TickDuration::MAX } else { now.saturating_since(last_start) }
    }

    /// Returns whether the endpoint may hold a connection that was established through another proxy. A
    /// draining endpoint may; one that joined the list or started recently does not.
    pub(crate) fn may_hold_established(&self, now: Timestamp, settings: &Settings) -> bool {
        let recent = settings.slow_start_duration;
        match self.closing_notified_at {
            Some(_) if self.is_closed(settings) => self.is_draining() && now <= self.accepts_until(settings),
            Some(notified_at) => now <= notified_at + recent,
            None => {
                let joined_recently = self.joined_at != Timestamp::ZERO && now < self.joined_at + recent;
                self.is_ready() && !joined_recently && self.age(now) >= recent
            }
        }
    }
}

/// All endpoints, by index.
#[derive(Debug)]
pub(crate) struct EndpointSet {
    endpoints: Vec<Endpoint>,
    /// Whether the listed weights are used.
    weighted: bool,
}

impl EndpointSet {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self { endpoints: Vec::new(), weighted: settings.weighted }
    }

    /// Applies an endpoint list or its changes.
    pub(crate) fn update(&mut self, now: Timestamp, scope: ListScope, entries: &[EndpointEntry]) {
        if scope.is_complete() {
            let listed: BTreeSet<_> = entries.iter().map(|entry| entry.index).collect();
            for endpoint in &mut self.endpoints {
                if endpoint.is_ready() && !listed.contains(&endpoint.entry.index) {
                    endpoint.mark_removed(now, scope);
                }
            }
        }
        for &entry in entries {
            self.get_or_insert(entry.index).update(now, scope, entry);
        }
    }

    /// Returns the endpoint with the index. One that no list has contained yet is inserted as removed.
    pub(crate) fn get_or_insert(&mut self, index: EndpointIndex) -> &mut Endpoint {
        if self.endpoints.len() <= index.0 {
            self.endpoints.resize_with(index.0 + 1, Endpoint::unlisted);
        }
        let endpoint = &mut self.endpoints[index.0];
        endpoint.is_vacant = false;
        endpoint
    }

    /// Returns whether more removed endpoints are known than need to be remembered.
    pub(crate) fn has_excess_removed(&self) -> bool {
        let removed = self.iter().filter(|endpoint| endpoint.is_removed()).count();
        let listed = self.iter().filter(|endpoint| endpoint.entry.state != EndpointState::Removed).count();
        removed > listed.max(MIN_REMEMBERED_ENDPOINTS)
    }

    /// Forgets the endpoints that were removed long enough ago, except those in use. Returns their indices, which may
    /// be assigned to other endpoints.
    pub(crate) fn forget_removed(
        &mut self,
        now: Timestamp,
        in_use: &BTreeSet<EndpointIndex>,
    ) -> Vec<EndpointIndex> {
        let mut forgotten = Vec::new();
        for (position, endpoint) in self.endpoints.iter_mut().enumerate() {
            let index = EndpointIndex(position);
            if endpoint.is_forgettable(now) && !in_use.contains(&index) {
                *endpoint = Endpoint::unlisted();
                forgotten.push(index);
            }
        }
        forgotten
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> + Clone {
        self.endpoints.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the endpoints that accept new sessions.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Endpoint> {
        self.iter().filter(|endpoint| endpoint.is_ready())
    }

    /// Returns the capacity of an endpoint relative to others; 1 if weights are not used or none is listed.
    pub(crate) fn weight(&self, endpoint: &Endpoint) -> f64 {
        if self.weighted && endpoint.entry.weight > 0.0 { endpoint.entry.weight } else { 1.0 }
    }

    /// Returns the total load and weight of the ready endpoints.
    pub(crate) fn ready_totals(&self) -> ReadyTotals {
        self.ready().fold(ReadyTotals { load: 0.0, weight: 0.0 }, |totals, endpoint| ReadyTotals {
            load: totals.load + endpoint.load.total(),
            weight: totals.weight + self.weight(endpoint),
        })
    }

    /// Counts the listed endpoints, and those of them that are draining, ejected or more likely to fail than
    /// to succeed.
    pub(crate) fn health_summary(&self) -> HealthSummary {
        let listed = self.iter().filter(|endpoint| endpoint.entry.state != EndpointState::Removed);
        let avoided = listed.clone().filter(|endpoint| {
            !endpoint.is_ready() || endpoint.outlier.is_ejected() || endpoint.outlier.mostly_fails()
        });
        HealthSummary { listed: listed.count(), avoided: avoided.count() }
    }
}

// Indexing does not panic: each index in use comes from a list or a session, which inserted its endpoint.
impl Index<EndpointIndex> for EndpointSet {
    type Output = Endpoint;

    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.endpoints[index.0]
    }
}

impl IndexMut<EndpointIndex> for EndpointSet {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.endpoints[index.0]
    }
}
