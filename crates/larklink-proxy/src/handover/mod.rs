//! Handover between two processes of one proxy. A new process finds the one that serves by a socket in `$TMPDIR` and is
//! given the listening socket itself, so that no connection in its queue is lost, and the endpoint list. Only one of the
//! two accepts connections at a time. When the predecessor is asked to stop, it hands its established sessions over too,
//! each with the connections to its client and its endpoint, which stay open throughout.
//!
//! A successor that ends before its predecessor was asked to stop has given everything back; a predecessor that ends has
//! left everything to its successor.
//!
//! - [`messages`]: the messages between the two, and their form on the wire
//! - [`channel`]: messages and attached descriptors over a Unix socket
//! - [`predecessor`]: runs in the new process, and holds its connection to the old one
//! - `successor`: runs in the old process, and holds its connection to the new one
pub mod channel;
pub mod messages;
pub mod predecessor;
pub(crate) mod successor;

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;

use crate::config::Config;
use crate::events::{DecisionEvent, DecisionQueue};
use crate::limiter::ConnectionLimiter;

/// The interval at which a process looks again: whether the descriptors it holds have changed, or whether another process
/// can be met.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The path of the socket at which the processes of a proxy meet, in the given folder. None unless the admin endpoint is
/// on: only then may there be two processes.
pub fn socket_path(config: &Config, folder: Option<PathBuf>) -> Option<PathBuf> {
    config.admin_address?;
    let address = config.listen.to_string().replace([':', '[', ']'], "-");
    Some(folder?.join(format!("larklink-{address}")))
}

/// What both sides of a handover use of their process.
pub(crate) struct HandoverContext {
    /// Where the processes of this proxy meet.
    pub(crate) socket_path: PathBuf,
    /// Counts the descriptors of this process and what the other one reports of its own.
    pub(crate) limiter: Rc<ConnectionLimiter>,
    /// The queue to the decision task.
    pub(crate) queue: DecisionQueue,
    /// Each change of whether this process accepts connections.
    pub(crate) accepting: Sender<bool>,
}

impl HandoverContext {
    /// Accepts connections from now on, in the place of the other process.
    async fn start_accepting(&self) {
        self.queue.send(DecisionEvent::TakeOver).await;
        self.set_accepting(true).await;
    }

    async fn set_accepting(&self, accepting: bool) {
        // It only fails when the proxy is about to exit.
        let _ = self.accepting.send(accepting).await;
    }
}
