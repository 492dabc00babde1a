//! The open sessions of this process.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::Entry;

use larklink_engine::engine::SessionId;

use crate::protocol::OpenLine;

/// Assigns numbers to the sessions of this process, and tracks the client-chosen ids of the open ones.
#[derive(Default)]
pub(crate) struct SessionRegistry {
    next_number: Cell<SessionId>,
    /// The ids in use, from the first lines of the open sessions.
    ids: RefCell<HashMap<u64, IdUse>>,
}

/// The use of an id.
struct IdUse {
    client_key: u64,
    /// The number of open sessions with the id. An established client may have a second one, on a new route.
    sessions: usize,
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
        match self.ids.borrow().get(&open_line.id) {
            Some(id_use) => open_line.established && id_use.client_key == open_line.client_key,
            None => true,
        }
    }

    /// Registers a session and assigns it a number.
    pub(super) fn open(&self, open_line: &OpenLine<'_>) -> OpenSession<'_> {
        let mut ids = self.ids.borrow_mut();
        let unused = IdUse { client_key: open_line.client_key, sessions: 0 };
        ids.entry(open_line.id).or_insert(unused).sessions += 1;
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        OpenSession { registry: self, id: open_line.id, number }
    }
}

impl Drop for OpenSession<'_> {
    fn drop(&mut self) {
        let mut ids = self.registry.ids.borrow_mut();
        if let Entry::Occupied(mut entry) = ids.entry(self.id) {
            entry.get_mut().sessions -= 1;
            if entry.get().sessions == 0 {
                entry.remove();
            }
        }
    }
}
