//! The exchange of session ids with another process of the proxy.
use std::cell::RefCell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};

use super::SessionRegistry;
use super::open_ids::OpenIds;
use crate::handover::messages::{OpenId, SessionIdChanges};

/// The most ids opened, the most used, and the most closed, in one message to another process. Keeps messages far below
/// their longest length.
const MAX_IDS_PER_MESSAGE: usize = 4096;

/// What this process and another one know of each other's open sessions.
pub(super) struct LinkState {
    /// The ids of open sessions that the other process has reported.
    pub(super) theirs: RefCell<OpenIds>,
    /// The changes that the other process has not been sent.
    unsent: RefCell<SessionIdChanges>,
    /// Signals that a session was opened.
    opened_sender: Sender<()>,
    /// The receiver of `opened_sender`.
    opened_receiver: Receiver<()>,
}

impl LinkState {
    /// Creates the state of a link whose other process has to be sent these changes first.
    pub(super) fn new(unsent: SessionIdChanges) -> Rc<Self> {
        let (opened_sender, opened_receiver) = async_channel::bounded(1);
        let state =
            Self { theirs: RefCell::default(), unsent: unsent.into(), opened_sender, opened_receiver };
        Rc::new(state)
    }

    /// Records that the other process has to be sent an opened session.
    pub(super) fn record_opened(&self, open: OpenId) {
        self.unsent.borrow_mut().opened.push(open);
        // If the channel is full, a wakeup is already pending.
        let _ = self.opened_sender.try_send(());
    }

    /// Records that the other process has to be sent an id that an endpoint may have run.
    pub(super) fn record_used(&self, id: u64) {
        self.unsent.borrow_mut().used.push(id);
    }

    /// Records that the other process has to be sent a closed session.
    pub(super) fn record_closed(&self, id: u64) {
        self.unsent.borrow_mut().closed.push(id);
    }
}

/// The exchange of session ids with another process. Dropping this closes the sessions that the other process has
/// reported: it has ended, and they may have run.
pub struct ProcessLink {
    pub(super) registry: Rc<SessionRegistry>,
    pub(super) state: Rc<LinkState>,
}

impl ProcessLink {
    /// Applies changes that the other process has reported.
    pub fn apply(&self, changes: SessionIdChanges) {
        let (opened, closed, used) = (changes.opened.len(), changes.closed.len(), changes.used.len());
        tracing::debug!(opened, closed, used, "session ids of another process received");
        for open in changes.opened {
            self.state.theirs.borrow_mut().add(open);
            self.registry.record_opened(open, Some(&self.state));
        }
        // An id that was used may be closed only after it was recorded as used: it is never free in between.
        for id in changes.used {
            self.registry.record_used(id, Some(&self.state));
        }
        for id in changes.closed {
            if self.state.theirs.borrow_mut().remove(id) {
                self.registry.record_closed(id, Some(&self.state));
            }
        }
    }

    /// Takes the next changes to send to the other process; `None` if it has been sent all.
    pub fn take_unsent(&self) -> Option<SessionIdChanges> {
        let mut unsent = self.state.unsent.borrow_mut();
        let opened = take_first(&mut unsent.opened);
        let used = take_first(&mut unsent.used);
        // An id may be closed only after it was opened and, if it was used, recorded as used.
        let may_close = unsent.opened.is_empty() && unsent.used.is_empty();
        let closed = if may_close { take_first(&mut unsent.closed) } else { Vec::new() };
        let is_empty = opened.is_empty() && used.is_empty() && closed.is_empty();
        (!is_empty).then_some(SessionIdChanges { opened, closed, used })
    }

    /// Waits until a session has been opened. Closed sessions can be reported later: until then their ids are refused.
    pub async fn opened(&self) {
        // The sender is in the same state, so the channel is never closed.
        let _ = self.state.opened_receiver.recv().await;
    }
}

fn take_first<T>(items: &mut Vec<T>) -> Vec<T> {
    items.drain(..items.len().min(MAX_IDS_PER_MESSAGE)).collect()
}

impl Drop for ProcessLink {
    fn drop(&mut self) {
        self.registry.remove_link(&self.state);
        for open in self.state.theirs.take().iter() {
            self.registry.record_used(open.id, None);
            self.registry.record_closed(open.id, None);
        }
    }
}
