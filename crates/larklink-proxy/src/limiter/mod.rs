//! Limits the file descriptors of the process: some are reserved for the process itself, a part for health checks grows
//! with the endpoint list, and the rest is for clients and the connections to their endpoints. A client connection uses
//! one, and a second from its first attempt on. When none is left, an idle connection, one without a session, is
//! evicted.
mod budget;
mod eviction;

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use budget::DescriptorBudget;
use eviction::{EvictionPriority, EvictionQueue, EvictionSignal};

/// Descriptors of a client connection with a session: its own, and that of the connection to its endpoint.
const SESSION_DESCRIPTORS: isize = 2;

/// Grants descriptors for connections and health checks.
pub struct ConnectionLimiter {
    budget: RefCell<DescriptorBudget>,
    eviction_queue: RefCell<EvictionQueue>,
    next_connection: Cell<u64>,
    /// Tasks that wait for a descriptor to be given back.
    waiters: RefCell<Vec<Waker>>,
}

impl ConnectionLimiter {
    /// A limiter with this many descriptors, none of them reserved.
    pub fn new(descriptors: usize) -> Rc<Self> {
        Self::with_reserved(0, descriptors)
    }

    /// A limiter with `limit` descriptors, of which `reserved` are for the process itself; fewer if the limit is less
    /// than twice that.
    pub fn with_reserved(reserved: usize, limit: usize) -> Rc<Self> {
        Rc::new(Self {
            budget: DescriptorBudget::new(reserved, limit).into(),
            eviction_queue: RefCell::default(),
            next_connection: Cell::default(),
            waiters: RefCell::default(),
        })
    }

    /// Reserves a descriptor for the health check of each of so many endpoints, as far as the limit allows. Idle
    /// connections are evicted at once where they use them; sessions stay, and health checks get theirs as sessions
    /// end.
    pub fn reserve_for_health_checks(&self, endpoints: usize) {
        self.budget.borrow_mut().reserve_for_health_checks(endpoints);
        self.evict_excess();
        self.wake_waiters();
    }

    /// Descriptors reserved for the process itself: all that a process without clients needs.
    pub fn reserved(&self) -> usize {
        self.budget.borrow().reserved()
    }

    /// Descriptors that the other process of this proxy has to leave to this one: the reserved ones and those in use.
    pub fn in_use(&self) -> usize {
        self.budget.borrow().in_use()
    }

    /// A permit for a new connection, which is idle until its session
    /// [starts](ConnectionPermit::start_session). Evicts an idle connection if no descriptor is free; none if all
    /// others have sessions.
    pub fn try_acquire(self: &Rc<Self>) -> Option<ConnectionPermit> {
        if !self.try_take() {
            return None;
        }
        let permit = self.new_permit(1);
        permit.set_idle(false);
        Some(permit)
    }

    /// Whether the next connection needs an eviction, or gets no permit.
    pub fn is_full(&self) -> bool {
        self.budget.borrow().free() <= 0
    }

    /// Descriptors in use by clients and the connections to their endpoints.
    pub fn client_descriptors(&self) -> usize {
        self.budget.borrow().client_use()
    }

    /// Sets how many descriptors the other process of this proxy uses. Idle connections are evicted where too few are
    /// left; sessions stay, and no connection gets a permit until some have ended.
    pub fn set_other_process_use(&self, descriptors: usize) {
        self.budget.borrow_mut().set_other_process_use(descriptors);
        self.evict_excess();
        self.wake_waiters();
    }

    /// The permit of a session that the other process hands over. It is granted even if no descriptor is free, as that
    /// process gives its own back.
    pub fn adopt(self: &Rc<Self>) -> ConnectionPermit {
        self.budget.borrow_mut().add_client_use(SESSION_DESCRIPTORS);
        self.new_permit(SESSION_DESCRIPTORS)
    }

    /// Resolves when the evicted connections have closed whose descriptors are in use again: until then the process
    /// would exceed its limit.
    pub async fn evictions_done(&self) {
        poll_fn(|cx| {
            if self.budget.borrow().awaits_evictions() {
                return self.wait(cx.waker());
            }
            Poll::Ready(())
        })
        .await;
    }

    /// A permit for a health check, if one of the reserved descriptors is free. One health check at a time always
    /// gets one.
    pub fn try_acquire_health_check(self: &Rc<Self>) -> Option<HealthCheckPermit> {
        let taken = self.budget.borrow_mut().try_take_health_check();
        taken.then(|| HealthCheckPermit { limiter: Rc::clone(self) })
    }

    /// Waits for a permit for a health check.
    pub async fn acquire_health_check(self: &Rc<Self>) -> HealthCheckPermit {
        poll_fn(|cx| match self.try_acquire_health_check() {
            Some(permit) => Poll::Ready(permit),
            None => self.wait(cx.waker()),
        })
        .await
    }

    /// Takes a descriptor for a client, by evictions if need be. Returns whether there was one.
    fn try_take(&self) -> bool {
        while self.budget.borrow().free_after_evictions() <= 0 {
            if !self.evict_next() {
                return false;
            }
        }
        self.budget.borrow_mut().add_client_use(1);
        true
    }

    /// Evicts idle connections until no more descriptors are used than there are, as far as there are any.
    fn evict_excess(&self) {
        while self.budget.borrow().free_after_evictions() < 0 {
            if !self.evict_next() {
                return;
            }
        }
    }

    /// Evicts the idle connection whose turn it is. Returns whether there was one.
    fn evict_next(&self) -> bool {
        let Some(signal) = self.eviction_queue.borrow_mut().pop() else { return false };
        self.budget.borrow_mut().add_being_evicted(1);
        signal.send();
        true
    }

    fn new_permit(self: &Rc<Self>, descriptors: isize) -> ConnectionPermit {
        let connection = self.next_connection.get();
        self.next_connection.set(connection + 1);
        ConnectionPermit {
            limiter: Rc::clone(self),
            connection,
            descriptors,
            eviction: EvictionSignal::new(),
        }
    }

    fn wait<T>(&self, waker: &Waker) -> Poll<T> {
        self.waiters.borrow_mut().push(waker.clone());
        Poll::Pending
    }

    fn wake_waiters(&self) {
        self.waiters.take().into_iter().for_each(Waker::wake);
    }
}

/// The descriptor of a health check; dropping it gives the descriptor back.
pub struct HealthCheckPermit {
    limiter: Rc<ConnectionLimiter>,
}

impl Drop for HealthCheckPermit {
    fn drop(&mut self) {
        self.limiter.budget.borrow_mut().give_back_health_check();
        self.limiter.wake_waiters();
    }
}

/// The descriptors of a client connection; dropping it gives them back.
pub struct ConnectionPermit {
    limiter: Rc<ConnectionLimiter>,
    /// The connection's number in the eviction order.
    connection: u64,
    /// How many descriptors it has.
    descriptors: isize,
    eviction: EvictionSignal,
}

impl ConnectionPermit {
    /// Resolves when the connection, idle now, is evicted.
    pub fn evicted(&self) -> impl Future<Output = ()> + use<> {
        self.eviction.wait()
    }

    /// Records that a connection without a session has sent something: it is evicted later than one that has never.
    /// Also for a connection whose session is over, which keeps its own descriptor only.
    pub fn record_activity(&mut self) {
        self.leave_eviction_queue();
        self.give_back(self.descriptors - 1);
        if !self.eviction.is_sent() {
            self.set_idle(true);
        }
    }

    /// Starts a session: the connection is not evicted from now on. Returns false if it has been already.
    pub fn start_session(&self) -> bool {
        self.leave_eviction_queue();
        !self.eviction.is_sent()
    }

    /// For an idle connection whose line has arrived: if it was evicted meanwhile, another is evicted in its place.
    /// Returns false if there is no other. While many connections are accepted, lines lie unread in the kernel, and
    /// their connections would be evicted with those that never send any.
    pub fn keep_if_not_evicted(&mut self) -> bool {
        if !self.eviction.is_sent() {
            return true;
        }
        if !self.limiter.evict_next() {
            return false;
        }
        self.limiter.budget.borrow_mut().add_being_evicted(-1);
        self.eviction = EvictionSignal::new();
        true
    }

    /// Acquires the second descriptor, for an attempt, unless the connection has it. Returns whether it has it now; it
    /// may be used once the [evictions are done](ConnectionLimiter::evictions_done).
    pub fn try_acquire_upstream(&mut self) -> bool {
        if self.descriptors < SESSION_DESCRIPTORS && self.limiter.try_take() {
            self.descriptors = SESSION_DESCRIPTORS;
        }
        self.descriptors == SESSION_DESCRIPTORS
    }

    fn set_idle(&self, has_been_active: bool) {
        let priority = EvictionPriority { has_been_active, connection: self.connection };
        self.limiter.eviction_queue.borrow_mut().insert(priority, self.eviction.clone());
    }

    fn leave_eviction_queue(&self) {
        self.limiter.eviction_queue.borrow_mut().remove(self.connection);
    }

    fn give_back(&mut self, descriptors: isize) {
        self.descriptors -= descriptors;
        self.limiter.budget.borrow_mut().add_client_use(-descriptors);
        self.limiter.wake_waiters();
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.leave_eviction_queue();
        if self.eviction.is_sent() {
            self.limiter.budget.borrow_mut().add_being_evicted(-1);
        }
        self.give_back(self.descriptors);
    }
}
