//! The ids of open sessions.
use std::collections::BTreeMap;

use crate::handover::messages::OpenId;
use crate::protocol::OpenLine;

/// Ids of open sessions.
#[derive(Default)]
pub(super) struct OpenIds {
    by_id: BTreeMap<u64, IdUse>,
}

/// The use of an id.
struct IdUse {
    client_key: u64,
    /// The number of open sessions with the id. An established client may have a second one, on a new route.
    sessions: usize,
}

impl OpenIds {
    /// Adds one session with its id.
    pub(super) fn add(&mut self, open: OpenId) {
        let id_use = self.by_id.entry(open.id).or_insert(IdUse { client_key: open.client_key, sessions: 0 });
        id_use.sessions += 1;
    }

    /// Removes one session with the id. Returns whether there was one.
    pub(super) fn remove(&mut self, id: u64) -> bool {
        let Some(id_use) = self.by_id.get_mut(&id) else { return false };
        id_use.sessions -= 1;
        if id_use.sessions == 0 {
            self.by_id.remove(&id);
        }
        true
    }

    /// Whether a session may use the id in its first line. An id that is in use is free only to an established session
    /// of the same client, whose packets may reach this process by a new route while the old connection is still open.
    pub(super) fn is_free(&self, open_line: &OpenLine<'_>) -> bool {
        match self.by_id.get(&open_line.id) {
            Some(id_use) => open_line.established && id_use.client_key == open_line.client_key,
            None => true,
        }
    }

    /// Returns the id of each session.
    pub(super) fn iter(&self) -> impl Iterator<Item = OpenId> {
        self.by_id.iter().flat_map(|(&id, id_use)| {
            std::iter::repeat_n(OpenId { id, client_key: id_use.client_key }, id_use.sessions)
        })
    }
}
