//! The descriptors of this process: what nobody else may take is set aside, a part for probes grows with the list,
//! and the rest is for clients and their servers. A connection holds one, and a second from its first dial on.
//! When none is left, a connection that holds no session gives way: first the oldest of those that have never
//! said anything, then the oldest of the others, as probes and connections that were answered and linger.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use async_channel::{Receiver, Sender};

/// What is set aside for good and for probes together is at most this part of the limit, since requests of clients may
/// take a third of it, and their servers as much. It may hurt where the list is long and the limit small: probes share
/// what there is then.
const ASIDE_PART: isize = 3;
/// A limit under twice what is set aside for good leaves less for that, but this part of it at least.
const LEAST_PART: usize = 4;

pub struct ConnectionLimiter {
    /// For clients, their servers and probes together.
    all: isize,
    /// Never theirs.
    fixed: isize,
    /// Set aside for probes, and the most that may be.
    aside: Cell<isize>,
    most_aside: isize,
    clients: Cell<isize>,
    probes: Cell<isize>,
    /// Left to the other process of this proxy, while there are two.
    others: Cell<isize>,
    /// Of `clients`, those that were told to give way and have not closed yet.
    leaving: Cell<isize>,
    next: Cell<u64>,
    /// Who gives way, in this order: if they have spoken, and when they came. Each holds one descriptor.
    idle: RefCell<BTreeMap<(bool, u64), Sender<()>>>,
    waiting: RefCell<Vec<Waker>>,
}

impl ConnectionLimiter {
    /// All of so many descriptors, for clients.
    pub fn new(descriptors: usize) -> Rc<Self> {
        Self::with_reserved(0, descriptors)
    }

    /// What a limit leaves beside a number of descriptors that is set aside for good; a limit under twice that number
    /// is shared with it.
    pub fn with_reserved(fixed: usize, limit: usize) -> Rc<Self> {
        let fixed = fixed.min(limit.saturating_sub(fixed).max(limit / LEAST_PART));
        let count = |n| isize::try_from(n).unwrap_or(isize::MAX);
        Rc::new(Self {
            all: count(limit - fixed),
            fixed: count(fixed),
            aside: Cell::new(0),
            most_aside: (count(limit) / ASIDE_PART - count(fixed)).max(0),
            clients: Cell::new(0),
            probes: Cell::new(0),
            others: Cell::new(0),
            leaving: Cell::new(0),
            next: Cell::new(0),
            idle: RefCell::default(),
            waiting: RefCell::default(),
        })
    }

    /// Sets a descriptor aside for probes of each of so many servers, as far as the limit allows. Idle ones give way at
    /// once where clients have them; sessions stay, and probes get theirs as sessions end.
    pub fn reserve_for_health_checks(&self, servers: usize) {
        self.aside.set(isize::try_from(servers).unwrap_or(isize::MAX).min(self.most_aside));
        self.make_way();
        self.wake();
    }

    /// What is set aside for good: a process that has no clients yet needs no more.
    pub fn reserved(&self) -> usize {
        usize::try_from(self.fixed).unwrap_or(0)
    }

    /// What the other process of this proxy must leave to this one: what is set aside for good, and what is held.
    pub fn in_use(&self) -> usize {
        usize::try_from(self.fixed + self.probes.get() + self.clients.get()).unwrap_or(0)
    }

    /// A permit for a new connection, which is idle until it is [`seated`](ConnectionPermit::start_session); none if all the others are
    /// sessions.
    pub fn try_acquire(self: &Rc<Self>) -> Option<ConnectionPermit> {
        self.take()?;
        let permit = self.permit(1);
        self.idle.borrow_mut().insert((false, permit.number), permit.tell.clone());
        Some(permit)
    }

    /// Whether the next one to enter makes another give way, or gets no permit.
    pub fn is_full(&self) -> bool {
        self.free() <= 0
    }

    /// Descriptors that clients and their servers hold here.
    pub fn client_descriptors(&self) -> usize {
        usize::try_from(self.clients.get()).unwrap_or(0)
    }

    /// The other process of this proxy holds so many of them now. Idle ones give way where they are too few then;
    /// sessions stay, and none comes in until some have ended.
    pub fn set_other_process_use(&self, others: usize) {
        self.others.set(isize::try_from(others).unwrap_or(isize::MAX).min(self.all));
        self.make_way();
        self.wake();
    }

    /// The permit of a session that the other process held; it comes even where none is left, as that one
    /// gives its own up.
    pub fn adopt(self: &Rc<Self>) -> ConnectionPermit {
        self.clients.set(self.clients.get() + 2);
        self.permit(2)
    }

    /// Resolves once those that were told to give way have closed, as far as their descriptors are in use again:
    /// until then the process would hold more than it may.
    pub async fn evictions_done(&self) {
        poll_fn(|cx| match self.free() < 0 && self.leaving.get() > 0 {
            true => self.wait(cx.waker()),
            false => Poll::Ready(()),
        })
        .await;
    }

    /// A descriptor for a probe, of those set aside; none while they, or all, are in use. One probe has one whatever
    /// others hold.
    pub fn try_acquire_health_check(self: &Rc<Self>) -> Option<HealthCheckPermit> {
        let probes = self.probes.get();
        let taken = probes + self.clients.get() + self.others.get();
        if probes > 0 && (probes >= self.aside.get() || taken >= self.all) {
            return None;
        }
        self.probes.set(probes + 1);
        Some(HealthCheckPermit(Rc::clone(self)))
    }

    /// The same, once there is one.
    pub async fn acquire_health_check(self: &Rc<Self>) -> HealthCheckPermit {
        poll_fn(|cx| match self.try_acquire_health_check() {
            Some(probe) => Poll::Ready(probe),
            None => self.wait(cx.waker()),
        })
        .await
    }

    /// Below nothing while those that give way have not closed yet, and where what is set aside has grown into what
    /// sessions hold.
    fn free(&self) -> isize {
        self.all - self.others.get() - self.aside.get().max(self.probes.get()) - self.clients.get()
    }

    fn take(&self) -> Option<()> {
        while self.free() + self.leaving.get() <= 0 {
            self.evict()?;
        }
        self.clients.set(self.clients.get() + 1);
        Some(())
    }

    fn make_way(&self) {
        while self.free() + self.leaving.get() < 0 && self.evict().is_some() {}
    }

    fn evict(&self) -> Option<()> {
        let (_, one) = self.idle.borrow_mut().pop_first()?;
        self.leaving.set(self.leaving.get() + 1);
        one.close();
        Some(())
    }

    fn permit(self: &Rc<Self>, held: isize) -> ConnectionPermit {
        let number = self.next.replace(self.next.get() + 1);
        let (tell, told) = async_channel::bounded(1);
        ConnectionPermit { limiter: Rc::clone(self), number, held, tell, told }
    }

    fn wait<T>(&self, waker: &Waker) -> Poll<T> {
        self.waiting.borrow_mut().push(waker.clone());
        Poll::Pending
    }

    fn wake(&self) {
        self.waiting.take().into_iter().for_each(Waker::wake);
    }
}

/// A probe's descriptor, given back when this is dropped.
pub struct HealthCheckPermit(Rc<ConnectionLimiter>);

impl Drop for HealthCheckPermit {
    fn drop(&mut self) {
        self.0.probes.set(self.0.probes.get() - 1);
        self.0.wake();
    }
}

/// A connection's descriptors, given back when this is dropped.
pub struct ConnectionPermit {
    limiter: Rc<ConnectionLimiter>,
    number: u64,
    held: isize,
    /// Closed when this idle one is to give way.
    tell: Sender<()>,
    told: Receiver<()>,
}

impl ConnectionPermit {
    /// Resolves when this idle one is to give way.
    pub fn evicted(&self) -> impl Future<Output = ()> + use<> {
        let told = self.told.clone();
        async move {
            let _ = told.recv().await;
        }
    }

    /// An idle one that has spoken stays longer than one that has not; so does one whose session is over, which has its
    /// own connection only.
    pub fn record_activity(&mut self) {
        self.leave();
        self.give_back(self.held - 1);
        if !self.told.is_closed() {
            self.limiter.idle.borrow_mut().insert((true, self.number), self.tell.clone());
        }
    }

    /// It holds a session from now on and need not give way, if it was not told to before.
    pub fn start_session(&self) -> bool {
        self.leave();
        !self.told.is_closed()
    }

    /// An idle one that was told to give way and has spoken meanwhile: whether the next one gives way in its place. What a
    /// client said lies unread in the kernel while a crowd is taken, and sessions were turned away with the silent.
    pub fn keep_if_not_evicted(&mut self) -> bool {
        if !self.told.is_closed() || self.limiter.evict().is_none() {
            return !self.told.is_closed();
        }
        self.limiter.leaving.set(self.limiter.leaving.get() - 1);
        (self.tell, self.told) = async_channel::bounded(1);
        true
    }

    fn leave(&self) {
        let mut idle = self.limiter.idle.borrow_mut();
        idle.remove(&(false, self.number));
        idle.remove(&(true, self.number));
    }

    /// Makes sure of a second descriptor, for a dial; it is there to be had once the limiter has
    /// [`settled`](ConnectionLimiter::evictions_done).
    pub fn try_acquire_upstream(&mut self) -> bool {
        if self.held < 2 && self.limiter.take().is_some() {
            self.held = 2;
        }
        self.held == 2
    }

    fn give_back(&mut self, descriptors: isize) {
        self.held -= descriptors;
        self.limiter.clients.set(self.limiter.clients.get() - descriptors);
        self.limiter.wake();
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.leave();
        if self.told.is_closed() {
            self.limiter.leaving.set(self.limiter.leaving.get() - 1);
        }
        self.give_back(self.held);
    }
}
