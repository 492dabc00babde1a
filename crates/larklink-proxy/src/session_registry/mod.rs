//! The sessions of this process, and the ids that no other session may use.
//!
//! Clients choose the ids of their sessions, new ones for each connection. An id is refused while a session with it is
//! open, and after the end of a session that an endpoint may have run: to run it again could have an effect twice.
//!
//! While a process is replaced, it and its successor are one proxy: an id that one of them refuses is refused by both.
//! Each tells the other the ids that it knows through a [`ProcessLink`]. A process between two others passes ids on.
//!
//! - `open_ids`: the ids of open sessions
//! - `used_ids`: the ids of ended sessions that endpoints may have run
//! - `process_link`: the exchange with another process
mod open_ids;
mod process_link;
mod used_ids;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use larklink_engine::engine::SessionId;
use thiserror::Error;

use self::open_ids::OpenIds;
use self::process_link::LinkState;
pub use self::process_link::ProcessLink;
pub use self::used_ids::MAX_USED_IDS;
use self::used_ids::UsedIds;
use crate::handover::messages::{OpenId, SessionIdChanges};
use crate::protocol::OpenLine;

/// Why a session may not have the id in its first line.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SessionIdError {
    /// An open session has the id.
    #[error("session id is already in use")]
    InUse,
    /// An ended session with the id may have run.
    #[error("session id was used before, and the session may have run")]
    Used,
}

/// Assigns numbers to the sessions of this process, and tracks the client-chosen ids of all processes of this proxy.
#[derive(Default)]
pub struct SessionRegistry {
    next_number: Cell<SessionId>,
    /// The ids of the open sessions of this process.
    own: RefCell<OpenIds>,
    /// The ids of ended sessions that endpoints may have run, of all processes.
    used: RefCell<UsedIds>,
    /// The links to other processes.
    links: RefCell<Vec<Rc<LinkState>>>,
}

impl SessionRegistry {
    /// Checks that a session may use the id in its first line. A session that was established through another proxy goes
    /// on and does not run anew, so that it may have used its id before.
    ///
    /// # Errors
    /// The id is in use, or a session with it may have run.
    pub fn check_id(&self, open_line: &OpenLine<'_>) -> Result<(), SessionIdError> {
        let is_free_in_links =
            || self.links.borrow().iter().all(|link| link.theirs.borrow().is_free(open_line));
        if !self.own.borrow().is_free(open_line) || !is_free_in_links() {
            return Err(SessionIdError::InUse);
        }
        if !open_line.established && self.used.borrow().contains(open_line.id) {
            return Err(SessionIdError::Used);
        }
        Ok(())
    }

    /// Registers a session and assigns it a number.
    pub fn open(self: &Rc<Self>, open_line: &OpenLine<'_>) -> OpenSession {
        let open = OpenId { id: open_line.id, client_key: open_line.client_key };
        self.own.borrow_mut().add(open);
        self.record_opened(open, None);
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        OpenSession { registry: Rc::clone(self), id: open.id, number, execution: Cell::default() }
    }

    /// Creates a link to another process, which has to be sent all ids that this one knows.
    pub fn link(self: &Rc<Self>) -> ProcessLink {
        let mut opened: Vec<_> = self.own.borrow().iter().collect();
        for link in self.links.borrow().iter() {
            opened.extend(link.theirs.borrow().iter());
        }
        let used = self.used.borrow().iter().collect();
        let state = LinkState::new(SessionIdChanges { opened, closed: Vec::new(), used });
        self.links.borrow_mut().push(Rc::clone(&state));
        ProcessLink { registry: Rc::clone(self), state }
    }

    fn remove_link(&self, state: &Rc<LinkState>) {
        self.links.borrow_mut().retain(|link| !Rc::ptr_eq(link, state));
    }

    /// Records for all links but the `source` of the change that a session was opened.
    fn record_opened(&self, open: OpenId, source: Option<&Rc<LinkState>>) {
        self.links_except(source).iter().for_each(|link| link.record_opened(open));
    }

    /// Records, also for all links but the `source` of the change, that a session may have run.
    fn record_used(&self, id: u64, source: Option<&Rc<LinkState>>) {
        self.used.borrow_mut().add(id);
        self.links_except(source).iter().for_each(|link| link.record_used(id));
    }

    /// Records for all links but the `source` of the change that a session was closed.
    fn record_closed(&self, id: u64, source: Option<&Rc<LinkState>>) {
        self.links_except(source).iter().for_each(|link| link.record_closed(id));
    }

    fn links_except(&self, source: Option<&Rc<LinkState>>) -> Vec<Rc<LinkState>> {
        let is_source = |link: &Rc<LinkState>| source.is_some_and(|source| Rc::ptr_eq(source, link));
        self.links.borrow().iter().filter(|link| !is_source(link)).cloned().collect()
    }
}

/// What is known of whether an endpoint has run a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Execution {
    /// No endpoint has run it.
    #[default]
    NotRun,
    /// It was sent to an endpoint, which may yet run it. No earlier attempt may have run.
    InFlight,
    /// An endpoint may have run it, or has.
    MayHaveRun,
}

/// An open session; dropping this removes it from the registry.
pub struct OpenSession {
    registry: Rc<SessionRegistry>,
    id: u64,
    /// The number of the session in this process.
    pub number: SessionId,
    execution: Cell<Execution>,
}

impl OpenSession {
    /// Records that the session is sent to an endpoint.
    pub fn record_sent(&self) {
        if self.execution.get() == Execution::NotRun {
            self.execution.set(Execution::InFlight);
        }
    }

    /// Records the end of an attempt, if one was sent, and whether it is proven not to have run.
    pub fn record_attempt_ended(&self, proven_not_run: bool) {
        if self.execution.get() == Execution::InFlight {
            self.execution.set(if proven_not_run { Execution::NotRun } else { Execution::MayHaveRun });
        }
    }

    /// Whether an endpoint may have run the session, or may yet, so that another attempt could run it twice.
    pub fn may_have_run(&self) -> bool {
        self.execution.get() != Execution::NotRun
    }
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        // Before its end is recorded: the id is never free in between.
        if self.may_have_run() {
            self.registry.record_used(self.id, None);
        }
        self.registry.own.borrow_mut().remove(self.id);
        self.registry.record_closed(self.id, None);
    }
}
