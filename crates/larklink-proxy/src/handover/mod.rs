//! Handover between two processes of one proxy. A new process connects to the running one through a Unix socket in
//! `$TMPDIR`. It receives the endpoint list and the listening socket itself, so that no connection in the accept queue
//! is lost. Only one of the two processes accepts connections at a time. When the predecessor is asked to stop, it also
//! hands over its established sessions, each with the connections to its client and its endpoint, which stay open
//! throughout.
//!
//! From the takeover on, both processes tell each other the ids of the sessions that they open and close, as clients must
//! not use an id that is in use in either of them.
//!
//! If the successor exits before its predecessor is asked to stop, the predecessor accepts connections again. If the
//! predecessor exits, the new process takes over without a grant.
//!
//! - [`messages`]: the messages between the two processes, and their encoding
//! - [`channel`]: sends messages and file descriptors over a Unix socket
//! - [`predecessor`]: the new process's side, with its connection to the predecessor
//! - `successor`: the old process's side, with its connection to the successor
pub mod channel;
pub mod messages;
pub mod predecessor;
pub(crate) mod successor;

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;

use crate::config::Config;
use crate::events::{DecisionEvent, DecisionQueue};
use crate::limiter::ConnectionLimiter;
use crate::session_registry::SessionRegistry;

/// How often the old process checks whether its number of open descriptors has changed, how often each process reports
/// closed sessions to the other, and how often a new process tries to connect to a competing one.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The path of the Unix socket for the handover, in the given folder. `None` without a folder, or if the admin endpoint
/// is off: two processes of one proxy are only allowed with it.
pub fn socket_path(config: &Config, folder: Option<PathBuf>) -> Option<PathBuf> {
    config.admin_address?;
    let address = config.listen.to_string().replace([':', '[', ']'], "-");
    Some(folder?.join(format!("larklink-{address}")))
}

/// What both sides of a handover share with the rest of their process.
pub(crate) struct HandoverContext {
    /// The path of the Unix socket for the handover.
    pub(crate) socket_path: PathBuf,
    /// Counts the file descriptors of this process, and those that the other process reports.
    pub(crate) limiter: Rc<ConnectionLimiter>,
    /// The ids of the open sessions of both processes.
    pub(crate) sessions: Rc<SessionRegistry>,
    /// The event queue of the decision task.
    pub(crate) queue: DecisionQueue,
    /// Sends each change of whether this process accepts connections.
    pub(crate) accepting_sender: Sender<bool>,
    /// Whether the predecessor was asked to stop: only then does it hand sessions over.
    pub(crate) predecessor_stopping: Cell<bool>,
}

impl HandoverContext {
    /// Starts accepting connections in place of the other process.
    async fn start_accepting(&self) {
        self.queue.send(DecisionEvent::TakeOver).await;
        self.set_accepting(true).await;
    }

    async fn set_accepting(&self, accepting: bool) {
        // Sending fails only if the proxy is about to exit.
        let _ = self.accepting_sender.send(accepting).await;
    }
}
