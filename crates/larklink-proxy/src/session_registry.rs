//! The open sessions of this process, and the ids of those that are open in other processes of this proxy.
//!
//! Clients choose the ids of their sessions. While a process is replaced, it and its successor are one proxy: an id that
//! is in use in one of them is in use in both. Each tells the other the ids that it knows through a [`ProcessLink`]. A
//! process between two others passes ids on.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use larklink_engine::engine::SessionId;

use crate::handover::messages::{OpenId, SessionIdChanges};
use crate::protocol::OpenLine;

/// The most ids opened, and the most ids closed, in one message to another process. Keeps messages far below their
/// longest length.
const MAX_IDS_PER_MESSAGE: usize = 4096;

/// Ids of open sessions.
#[derive(Default)]
struct OpenIds {
    by_id: BTreeMap<u64, IdUse>,
}

/// The use of an id.
struct IdUse {
    client_key: u64,
    /// The number of open sessions with the id. An established client may have a second one, on a new route.
    sessions: usize,
}

impl OpenIds {
    fn add(&mut self, open: OpenId) {
        let id_use = self.by_id.entry(open.id).or_insert(IdUse { client_key: open.client_key, sessions: 0 });
        id_use.sessions += 1;
    }

    /// Removes one session with the id. Returns whether there was one.
    fn remove(&mut self, id: u64) -> bool {
        let Some(id_use) = self.by_id.get_mut(&id) else { return false };
        id_use.sessions -= 1;
        if id_use.sessions == 0 {
            self.by_id.remove(&id);
        }
        true
    }

    fn is_free(&self, open_line: &OpenLine<'_>) -> bool {
        match self.by_id.get(&open_line.id) {
            Some(id_use) => open_line.established && id_use.client_key == open_line.client_key,
            None => true,
        }
    }

    /// Returns the id of each session.
    fn iter(&self) -> impl Iterator<Item = OpenId> {
        self.by_id.iter().flat_map(|(&id, id_use)| {
            std::iter::repeat_n(OpenId { id, client_key: id_use.client_key }, id_use.sessions)
        })
    }
}

/// Assigns numbers to the sessions of this process, and tracks the client-chosen ids of the open ones of all processes
/// of this proxy.
#[derive(Default)]
pub(crate) struct SessionRegistry {
    next_number: Cell<SessionId>,
    /// The ids of the open sessions of this process.
    own: RefCell<OpenIds>,
    /// The links to other processes.
    links: RefCell<Vec<Rc<LinkState>>>,
}

/// An open session; dropping this removes it from the registry.
pub(crate) struct OpenSession {
    registry: Rc<SessionRegistry>,
    id: u64,
    /// The number of the session in this process.
    pub(crate) number: SessionId,
}

impl SessionRegistry {
    /// Whether a session may use the id in its first line. An id that is in use is free only to an established session
    /// of the same client, whose packets may reach this process by a new route while the old connection is still open.
    pub(crate) fn is_id_free(&self, open_line: &OpenLine<'_>) -> bool {
        self.own.borrow().is_free(open_line)
            && self.links.borrow().iter().all(|link| link.theirs.borrow().is_free(open_line))
    }

    /// Registers a session and assigns it a number.
    pub(crate) fn open(self: &Rc<Self>, open_line: &OpenLine<'_>) -> OpenSession {
        let open = OpenId { id: open_line.id, client_key: open_line.client_key };
        self.own.borrow_mut().add(open);
        self.record_opened(open, None);
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        OpenSession { registry: Rc::clone(self), id: open.id, number }
    }

    /// Creates a link to another process, which has to be sent all ids that this one knows.
    pub(crate) fn link(self: &Rc<Self>) -> ProcessLink {
        let mut opened: Vec<_> = self.own.borrow().iter().collect();
        for link in self.links.borrow().iter() {
            opened.extend(link.theirs.borrow().iter());
        }
        let unsent = SessionIdChanges { opened, closed: Vec::new() }.into();
        let (opened_sender, opened_receiver) = async_channel::bounded(1);
        let state = LinkState { theirs: RefCell::default(), unsent, opened_sender, opened_receiver };
        let state = Rc::new(state);
        self.links.borrow_mut().push(Rc::clone(&state));
        ProcessLink { registry: Rc::clone(self), state }
    }

    /// Records for all links but the `source` of the change that a session was opened.
    fn record_opened(&self, open: OpenId, source: Option<&Rc<LinkState>>) {
        for link in self.links_except(source) {
            link.unsent.borrow_mut().opened.push(open);
            // If the channel is full, a wakeup is already pending.
            let _ = link.opened_sender.try_send(());
        }
    }

    /// Records for all links but the `source` of the change that a session was closed.
    fn record_closed(&self, id: u64, source: Option<&Rc<LinkState>>) {
        for link in self.links_except(source) {
            link.unsent.borrow_mut().closed.push(id);
        }
    }

    fn links_except(&self, source: Option<&Rc<LinkState>>) -> Vec<Rc<LinkState>> {
        let is_source = |link: &Rc<LinkState>| source.is_some_and(|source| Rc::ptr_eq(source, link));
        self.links.borrow().iter().filter(|link| !is_source(link)).cloned().collect()
    }
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        self.registry.own.borrow_mut().remove(self.id);
        self.registry.record_closed(self.id, None);
    }
}

/// What this process and another one know of each other's open sessions.
struct LinkState {
    /// The ids of open sessions that the other process has reported.
    theirs: RefCell<OpenIds>,
    /// The changes that the other process has not been sent.
    unsent: RefCell<SessionIdChanges>,
    /// Signals that a session was opened.
    opened_sender: Sender<()>,
    /// The receiver of `opened_sender`.
    opened_receiver: Receiver<()>,
}

/// The exchange of session ids with another process. Dropping this closes the sessions that the other process has
/// reported.
pub(crate) struct ProcessLink {
    registry: Rc<SessionRegistry>,
    state: Rc<LinkState>,
}

impl ProcessLink {
    /// Applies changes that the other process has reported.
    pub(crate) fn apply(&self, changes: SessionIdChanges) {
        let (opened, closed) = (changes.opened.len(), changes.closed.len());
        tracing::debug!(opened, closed, "session ids of another process received");
        for open in changes.opened {
            self.state.theirs.borrow_mut().add(open);
            self.registry.record_opened(open, Some(&self.state));
        }
        for id in changes.closed {
            if self.state.theirs.borrow_mut().remove(id) {
                self.registry.record_closed(id, Some(&self.state));
            }
        }
    }

    /// Takes the next changes to send to the other process; `None` if it has been sent all.
    pub(crate) fn take_unsent(&self) -> Option<SessionIdChanges> {
        let mut unsent = self.state.unsent.borrow_mut();
        let opened = take_first(&mut unsent.opened);
        // An id may be closed only after it was opened.
        let closed = if unsent.opened.is_empty() { take_first(&mut unsent.closed) } else { Vec::new() };
        let is_empty = opened.is_empty() && closed.is_empty();
        (!is_empty).then_some(SessionIdChanges { opened, closed })
    }

    /// Waits until a session has been opened. Closed sessions can be reported later: until then their ids are refused.
    pub(crate) async fn opened(&self) {
        // The sender is in the same state, so the channel is never closed.
        let _ = self.state.opened_receiver.recv().await;
    }
}

fn take_first<T>(items: &mut Vec<T>) -> Vec<T> {
    items.drain(..items.len().min(MAX_IDS_PER_MESSAGE)).collect()
}

impl Drop for ProcessLink {
    fn drop(&mut self) {
        self.registry.links.borrow_mut().retain(|link| !Rc::ptr_eq(link, &self.state));
        for open in self.state.theirs.take().iter() {
            self.registry.record_closed(open.id, None);
        }
    }
}
