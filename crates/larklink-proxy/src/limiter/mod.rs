//! Limits the file descriptors of the process. Some are reserved for the process itself, some for health checks, one
//! per endpoint up to a maximum; the rest is for client connections and their connections to endpoints. A client
//! connection uses one descriptor, and a second one from its first attempt on. When none is free, an idle connection,
//! that is, one without a session, is evicted.
mod budget;
mod eviction;

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use budget::DescriptorBudget;
use eviction::{EvictionPriority, EvictionQueue, EvictionSignal};

/// Descriptors of a client connection with a session: its own and that of its connection to the endpoint.
const SESSION_DESCRIPTORS: isize = 2;

/// Grants descriptors to client connections and health checks.
pub struct ConnectionLimiter {
    budget: RefCell<DescriptorBudget>,
    eviction_queue: RefCell<EvictionQueue>,
    next_connection: Cell<u64>,
    /// Tasks that wait for a descriptor to be released.
    waiters: RefCell<Vec<Waker>>,
}

impl ConnectionLimiter {
    /// Creates a limiter with this many descriptors, none of them reserved.
    pub fn new(descriptors: usize) -> Rc<Self> {
        Self::with_reserved(0, descriptors)
    }

    /// Creates a limiter with `limit` descriptors, of which `reserved` are for the process itself, or fewer if the
    /// limit is less than twice that.
    pub fn with_reserved(reserved: usize, limit: usize) -> Rc<Self> {
        Rc::new(Self {
            budget: DescriptorBudget::new(reserved, limit).into(),
            eviction_queue: RefCell::default(),
            next_connection: Cell::default(),
            waiters: RefCell::default(),
        })
    }

    /// Reserves one descriptor per endpoint for health checks, as far as the limit allows. Idle connections that use
    /// these descriptors are evicted at once. Sessions are not; health checks get their descriptors as sessions end.
    pub fn reserve_for_health_checks(&self, endpoints: usize) {
        self.budget.borrow_mut().reserve_for_health_checks(endpoints);
        self.evict_excess();
        self.wake_waiters();
    }

    /// Returns the number of descriptors reserved for the process itself, which is all that it needs without clients.
    pub fn reserved(&self) -> usize {
        self.budget.borrow().reserved()
    }

    /// Returns how many descriptors the other process of this proxy must leave to this one: the reserved ones and those
    /// in use.
    pub fn in_use(&self) -> usize {
        self.budget.borrow().in_use()
    }

    /// Acquires a permit for a new connection, which is idle until its session
    /// [starts](ConnectionPermit::start_session). Evicts an idle connection if no descriptor is free. Returns none if
    /// all other connections have sessions.
    pub fn try_acquire(self: &Rc<Self>) -> Option<ConnectionPermit> {
        if !self.try_acquire_descriptor() {
            return None;
        }
        let permit = self.new_permit(1);
        permit.set_idle(false);
        Some(permit)
    }

    /// Whether no descriptor is free now: the next connection needs an eviction, waits for one that is in progress, or
    /// gets no permit.
    pub fn is_full(&self) -> bool {
        self.budget.borrow().free() <= 0
    }

    /// Returns the number of descriptors in use by client connections and their connections to endpoints.
    pub fn client_descriptors(&self) -> usize {
        self.budget.borrow().client_use()
    }

    /// Sets how many descriptors the other process of this proxy uses. Idle connections are evicted if too few are
    /// left. Sessions are not; if they use too many, no connection gets a permit until some have ended.
    pub fn set_other_process_use(&self, descriptors: usize) {
        self.budget.borrow_mut().set_other_process_use(descriptors);
        self.evict_excess();
        self.wake_waiters();
    }

    /// Acquires the permit of a session that the other process hands over. It is granted even if no descriptor is free,
    /// since the other process releases its own.
    pub fn adopt(self: &Rc<Self>) -> ConnectionPermit {
        self.budget.borrow_mut().add_client_use(SESSION_DESCRIPTORS);
        self.new_permit(SESSION_DESCRIPTORS)
    }

    /// Waits until those evicted connections have closed whose descriptors were already granted to others. Opening a
    /// descriptor before that would exceed the limit.
    pub async fn evictions_done(&self) {
        poll_fn(|cx| {
            if self.budget.borrow().awaits_evictions() {
                return self.wait(cx.waker());
            }
            Poll::Ready(())
        })
        .await;
    }

    /// Acquires a permit for a health check if one of the reserved descriptors is free. A single health check at a time
    /// always gets one.
    pub fn try_acquire_health_check(self: &Rc<Self>) -> Option<HealthCheckPermit> {
        let acquired = self.budget.borrow_mut().try_acquire_health_check();
        acquired.then(|| HealthCheckPermit { limiter: Rc::clone(self) })
    }

    /// Waits for a permit for a health check.
    pub async fn acquire_health_check(self: &Rc<Self>) -> HealthCheckPermit {
        poll_fn(|cx| match self.try_acquire_health_check() {
            Some(permit) => Poll::Ready(permit),
            None => self.wait(cx.waker()),
        })
        .await
    }

    /// Acquires a descriptor for a client, evicting idle connections if necessary. Returns whether it succeeded.
    fn try_acquire_descriptor(&self) -> bool {
        while self.budget.borrow().free_after_evictions() <= 0 {
            if !self.evict_next() {
                return false;
            }
        }
        self.budget.borrow_mut().add_client_use(1);
        true
    }

    /// Evicts idle connections until the descriptors in use are within the limit, or no idle connection is left.
    fn evict_excess(&self) {
        while self.budget.borrow().free_after_evictions() < 0 {
            if !self.evict_next() {
                return;
            }
        }
    }

    /// Evicts the first idle connection in eviction order. Returns whether there was one.
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

/// The descriptor of a health check, released on drop.
pub struct HealthCheckPermit {
    limiter: Rc<ConnectionLimiter>,
}

impl Drop for HealthCheckPermit {
    fn drop(&mut self) {
        self.limiter.budget.borrow_mut().release_health_check();
        self.limiter.wake_waiters();
    }
}

/// The descriptors of a client connection, released on drop.
pub struct ConnectionPermit {
    limiter: Rc<ConnectionLimiter>,
    /// The connection's sequence number, for the eviction order.
    connection: u64,
    /// How many descriptors the connection holds.
    descriptors: isize,
    eviction: EvictionSignal,
}

impl ConnectionPermit {
    /// Resolves when the connection is evicted, which can only happen while it is idle.
    pub fn evicted(&self) -> impl Future<Output = ()> + use<> {
        self.eviction.wait()
    }

    /// Records that a connection without a session has sent something; it is then evicted later than connections that
    /// never have. Also called when a session is over: the connection is idle again and keeps only its own descriptor.
    pub fn record_activity(&mut self) {
        self.leave_eviction_queue();
        self.release(self.descriptors - 1);
        if !self.eviction.is_sent() {
            self.set_idle(true);
        }
    }

    /// Starts a session, after which the connection cannot be evicted. Returns false if it has been evicted before.
    pub fn start_session(&self) -> bool {
        self.leave_eviction_queue();
        !self.eviction.is_sent()
    }

    /// Cancels the eviction of a connection whose first line has arrived, if it was evicted, by evicting another idle
    /// connection instead. Returns false if there is no other. While many connections are being accepted, first lines
    /// wait unread in the kernel; without this their connections would be evicted like those that never send one.
    pub fn cancel_eviction(&mut self) -> bool {
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

    /// Acquires the second descriptor, for an attempt, unless the connection already holds it. Returns whether it holds
    /// it now. The descriptor may be opened once the [evictions are done](ConnectionLimiter::evictions_done).
    pub fn try_acquire_upstream(&mut self) -> bool {
        if self.descriptors < SESSION_DESCRIPTORS && self.limiter.try_acquire_descriptor() {
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

    fn release(&mut self, descriptors: isize) {
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
        self.release(self.descriptors);
    }
}
