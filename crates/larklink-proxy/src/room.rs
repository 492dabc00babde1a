//! The descriptors of clients and their servers. A connection holds one, and a second from its first dial on.
//! When none is left, a connection that holds no session gives way: first the oldest of those that have never
//! said anything, then the oldest of the others, as probes and connections that were answered and linger.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender};

pub struct Room {
    /// Below nothing while those that give way have not closed yet.
    free: Cell<isize>,
    all: isize,
    /// Left to the other process of this proxy, while there are two.
    others: Cell<isize>,
    next: Cell<u64>,
    /// Who gives way, in this order: if they have spoken, and when they came.
    guests: RefCell<BTreeMap<(bool, u64), Sender<()>>>,
}

impl Room {
    pub fn new(descriptors: usize) -> Rc<Self> {
        let all = isize::try_from(descriptors).unwrap_or(isize::MAX);
        let others = Cell::new(0);
        Rc::new(Self { free: Cell::new(all), all, others, next: Cell::new(0), guests: RefCell::default() })
    }

    /// A place for a new connection, a guest until it is [`seated`](Place::seat); none if all the others are
    /// sessions.
    pub fn enter(self: &Rc<Self>) -> Option<Place> {
        self.take()?;
        let number = self.next.replace(self.next.get() + 1);
        let (tell, told) = async_channel::bounded(1);
        self.guests.borrow_mut().insert((false, number), tell.clone());
        Some(Place { room: Rc::clone(self), number, held: 1, tell, told })
    }

    /// Whether the next one to enter makes another give way, or finds no place.
    pub fn is_full(&self) -> bool {
        self.free.get() <= 0
    }

    /// Descriptors that are held here.
    pub fn held(&self) -> usize {
        usize::try_from(self.all - self.free.get() - self.others.get()).unwrap_or(0)
    }

    /// The other process of this proxy holds so many of them now. Guests give way where they are too few then;
    /// sessions stay, and none comes in until there is room.
    pub fn leave_to(&self, others: usize) {
        let others = isize::try_from(others).unwrap_or(isize::MAX).min(self.all);
        let more = others - self.others.replace(others);
        self.free.set(self.free.get() - more);
        for _ in 0..more.min(-self.free.get()) {
            let Some((_, guest)) = self.guests.borrow_mut().pop_first() else { break };
            let _ = guest.try_send(());
        }
    }

    /// The place of a session that the other process held; it comes even where there is no room left, as that one
    /// gives its own up.
    pub fn inherit(self: &Rc<Self>) -> Place {
        self.free.set(self.free.get() - 2);
        let (tell, told) = async_channel::bounded(1);
        let number = self.next.replace(self.next.get() + 1);
        Place { room: Rc::clone(self), number, held: 2, tell, told }
    }

    fn take(&self) -> Option<()> {
        if self.free.get() <= 0 {
            let (_, guest) = self.guests.borrow_mut().pop_first()?;
            let _ = guest.try_send(());
        }
        self.free.set(self.free.get() - 1);
        Some(())
    }
}

/// A connection's descriptors, given back when this is dropped.
pub struct Place {
    room: Rc<Room>,
    number: u64,
    held: isize,
    tell: Sender<()>,
    told: Receiver<()>,
}

impl Place {
    /// Resolves when this guest is to give way.
    pub fn must_go(&self) -> impl Future<Output = ()> + use<> {
        let told = self.told.clone();
        async move {
            let _ = told.recv().await;
        }
    }

    /// A guest that has spoken stays longer than one that has not; so does one whose session is over.
    pub fn spoke(&self) {
        self.leave();
        if self.told.is_empty() {
            self.room.guests.borrow_mut().insert((true, self.number), self.tell.clone());
        }
    }

    /// It holds a session from now on and need not give way, if it was not told to before.
    pub fn seat(&self) -> bool {
        self.leave();
        self.told.is_empty()
    }

    fn leave(&self) {
        let mut guests = self.room.guests.borrow_mut();
        guests.remove(&(false, self.number));
        guests.remove(&(true, self.number));
    }

    /// Makes sure of a second descriptor, for a dial.
    pub fn second(&mut self) -> bool {
        if self.held < 2 && self.room.take().is_some() {
            self.held = 2;
        }
        self.held == 2
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.leave();
        self.room.free.set(self.room.free.get() + self.held);
    }
}
