//! The open sessions of this process.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use larklink_engine::engine::SessionId;

use crate::protocol::OpenLine;

/// Assigns numbers to the sessions of this process, and tracks the client-chosen ids of the open ones.
#[derive(Default)]
pub(crate) struct SessionRegistry {
    next_number: Cell<SessionId>,
    /// The client key of each open session, by the id in its first line.
    client_keys: RefCell<HashMap<u64, u64>>,
}

/// An open session; dropping this removes it from the registry.
pub(super) struct OpenSession<'a> {
    registry: &'a SessionRegistry,
    id: u64,
    /// The number of the session in this process.
    pub(super) number: SessionId,
}

impl SessionRegistry {
    /// Whether a session may use the id in its first line. An id that is in use is free only to an established session
    /// of the same client, whose packets may reach this process by a new route while the old connection is still open.
    pub(super) fn is_id_free(&self, open_line: &OpenLine<'_>) -> bool {
        match self.client_keys.borrow().get(&open_line.id) {
            Some(&client_key) => open_line.established && client_key == open_line.client_key,
            None => true,
        }
    }

    /// Registers a session and assigns it a number.
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
