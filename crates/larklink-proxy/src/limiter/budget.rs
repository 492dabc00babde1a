//! The division of a process's file descriptors among their uses. Only counts; no descriptors are opened or closed.

/// Health checks get a reservation only as far as it and that of the process together stay within the limit divided by
/// this, so that one third of the limit remains for client connections and one for their connections to endpoints. With
/// a long endpoint list and a low limit, health checks have to share the reservation.
const MAX_RESERVATIONS_DIVISOR: isize = 3;
/// If the limit is less than twice the reservation for the process, that reservation is reduced, but not below the
/// limit divided by this.
const MIN_RESERVED_DIVISOR: usize = 4;

/// Numbers of descriptors by use. They are signed, since the number of [free](Self::free) ones may be negative.
pub(super) struct DescriptorBudget {
    /// Reserved for the process itself.
    reserved: isize,
    /// All others: for client connections, their connections to endpoints, and health checks.
    shared: isize,
    /// The part of `shared` that is reserved for health checks.
    reserved_for_health_checks: isize,
    /// Upper bound of `reserved_for_health_checks`.
    max_reserved_for_health_checks: isize,
    /// The part of `shared` in use by client connections and their connections to endpoints.
    client_use: isize,
    /// The part of `shared` in use by health checks.
    health_check_use: isize,
    /// The part of `shared` in use by the other process of this proxy during a handover.
    other_process_use: isize,
    /// The part of `client_use` that belongs to evicted connections which have not closed yet.
    being_evicted: isize,
}

impl DescriptorBudget {
    /// Creates a budget for `limit` descriptors, of which `reserved` are for the process itself.
    pub(super) fn new(reserved: usize, limit: usize) -> Self {
        let min_reserved = limit / MIN_RESERVED_DIVISOR;
        let reserved = reserved.min(limit.saturating_sub(reserved).max(min_reserved));
        Self {
            reserved: signed(reserved),
            shared: signed(limit - reserved),
            reserved_for_health_checks: 0,
            max_reserved_for_health_checks: (signed(limit) / MAX_RESERVATIONS_DIVISOR - signed(reserved))
                .max(0),
            client_use: 0,
            health_check_use: 0,
            other_process_use: 0,
            being_evicted: 0,
        }
    }

    pub(super) fn reserved(&self) -> usize {
        unsigned(self.reserved)
    }

    pub(super) fn client_use(&self) -> usize {
        unsigned(self.client_use)
    }

    /// Returns how many descriptors the other process must leave to this one.
    pub(super) fn in_use(&self) -> usize {
        unsigned(self.reserved + self.health_check_use + self.client_use)
    }

    /// Reserves one descriptor for the health check of each endpoint, up to the maximum.
    pub(super) fn reserve_for_health_checks(&mut self, endpoints: usize) {
        self.reserved_for_health_checks = signed(endpoints).min(self.max_reserved_for_health_checks);
    }

    pub(super) fn set_other_process_use(&mut self, descriptors: usize) {
        self.other_process_use = signed(descriptors).min(self.shared);
    }

    pub(super) fn add_client_use(&mut self, descriptors: isize) {
        self.client_use += descriptors;
    }

    pub(super) fn add_being_evicted(&mut self, descriptors: isize) {
        self.being_evicted += descriptors;
    }

    /// Acquires a descriptor for a health check if one is reserved and free. If no health check is running, it is
    /// granted even if client connections use all descriptors.
    pub(super) fn try_acquire_health_check(&mut self) -> bool {
        let in_use = self.health_check_use + self.client_use + self.other_process_use;
        let reservation_used = self.health_check_use >= self.reserved_for_health_checks;
        if self.health_check_use > 0 && (reservation_used || in_use >= self.shared) {
            return false;
        }
        self.health_check_use += 1;
        true
    }

    pub(super) fn release_health_check(&mut self) {
        self.health_check_use -= 1;
    }

    /// Returns the number of descriptors that are free for clients. It may be negative: while evicted connections have
    /// not closed yet, after sessions were adopted, or if a reservation or the other process's use has grown.
    pub(super) fn free(&self) -> isize {
        let health_checks = self.reserved_for_health_checks.max(self.health_check_use);
        self.shared - self.other_process_use - health_checks - self.client_use
    }

    /// Returns the number of descriptors that will be free for clients once all evicted connections have closed.
    pub(super) fn free_after_evictions(&self) -> isize {
        self.free() + self.being_evicted
    }

    /// Whether descriptors of evicted connections have been granted to others before those connections have closed.
    pub(super) fn awaits_evictions(&self) -> bool {
        self.free() < 0 && self.being_evicted > 0
    }
}

fn signed(count: usize) -> isize {
    isize::try_from(count).unwrap_or(isize::MAX)
}

fn unsigned(count: isize) -> usize {
    usize::try_from(count).unwrap_or(0)
}
