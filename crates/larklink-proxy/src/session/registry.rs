//! The sessions that are open in this process.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use larklink_engine::engine::SessionId;

use crate::protocol::OpenLine;

/// Numbers the sessions of this process, and knows the ids that clients gave to those that are open.
#[derive(Default)]
pub(crate) struct SessionRegistry {
    next_number: Cell<SessionId>,
    /// The client keys of the open sessions, by the id of their first line.
    client_keys: RefCell<HashMap<u64, u64>>,
}

/// An open session; it is closed when this is dropped.
pub(super) struct OpenSession<'a> {
    registry: &'a SessionRegistry,
    id: u64,
    /// The number of the session in this process.
    pub(super) number: SessionId,
}

impl SessionRegistry {
    /// Whether the id of a first line is free. The packets of an established session may come to this process by another
    /// way than before: its own id is free to its client.
    pub(super) fn is_id_free(&self, open_line: &OpenLine<'_>) -> bool {
        match self.client_keys.borrow().get(&open_line.id) {
            Some(&client_key) => open_line.established && client_key == open_line.client_key,
            None => true,
        }
    }

    /// Opens a session.
    pub(super) fn open(&self, open_line: &OpenLine<'_>) -> OpenSession<'_> {
        self.client_keys.borrow_mut().insert(open_line.id, open_line.client_key);
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        OpenSession { registry: self, id: open_line.id, number }
    }
}

impl Drop for OpenSession<'_> {
    fn drop(&mut self) {
        self.registry.client_keys.borrow_mut().remove(&self.id);
    }
}
