//! How the descriptors of a process are divided. Pure: counts and the rules on them.

/// What is reserved for the process and for health checks together is at most the limit divided by this: requests of
/// clients may take another third, and the connections to their endpoints the last. With a long list and a small limit,
/// health checks share what there is.
const LIMIT_PER_RESERVATIONS: isize = 3;
/// A limit below twice what is to be reserved for the process leaves less for that, but the limit divided by this at
/// least.
const LIMIT_PER_MIN_RESERVED: usize = 4;

/// Numbers of descriptors. Counts are signed: what is reserved may come to exceed what is free.
pub(super) struct DescriptorBudget {
    /// Reserved for the process itself.
    reserved: isize,
    /// All others: for clients, the connections to their endpoints, and health checks.
    shared: isize,
    /// Of `shared`, reserved for health checks.
    reserved_for_health_checks: isize,
    /// The most that may be reserved for health checks.
    max_reserved_for_health_checks: isize,
    /// Of `shared`, in use by clients and the connections to their endpoints.
    client_use: isize,
    /// Of `shared`, in use by health checks.
    health_check_use: isize,
    /// Of `shared`, in use by the other process of this proxy while there are two.
    other_process_use: isize,
    /// Of `client_use`, those of evicted connections that have not closed yet.
    being_evicted: isize,
}

impl DescriptorBudget {
    /// Divides a limit after `reserved` descriptors for the process itself.
    pub(super) fn new(reserved: usize, limit: usize) -> Self {
        let min_reserved = limit / LIMIT_PER_MIN_RESERVED;
        let reserved = reserved.min(limit.saturating_sub(reserved).max(min_reserved));
        Self {
            reserved: signed(reserved),
            shared: signed(limit - reserved),
            reserved_for_health_checks: 0,
            max_reserved_for_health_checks: (signed(limit) / LIMIT_PER_RESERVATIONS - signed(reserved))
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

    /// What the other process has to leave to this one.
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

    /// Takes a descriptor for a health check, if one is reserved and free. The first is granted whatever clients use.
    pub(super) fn try_take_health_check(&mut self) -> bool {
        let in_use = self.health_check_use + self.client_use + self.other_process_use;
        let reservation_used = self.health_check_use >= self.reserved_for_health_checks;
        if self.health_check_use > 0 && (reservation_used || in_use >= self.shared) {
            return false;
        }
        self.health_check_use += 1;
        true
    }

    pub(super) fn give_back_health_check(&mut self) {
        self.health_check_use -= 1;
    }

    /// Free for clients. Negative while evicted connections have not closed yet, and where the reservation for health
    /// checks has grown into what sessions use.
    pub(super) fn free(&self) -> isize {
        let health_checks = self.reserved_for_health_checks.max(self.health_check_use);
        self.shared - self.other_process_use - health_checks - self.client_use
    }

    /// Free for clients once all evicted connections have closed.
    pub(super) fn free_after_evictions(&self) -> isize {
        self.free() + self.being_evicted
    }

    /// Whether evicted connections still hold descriptors that are in use again.
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
