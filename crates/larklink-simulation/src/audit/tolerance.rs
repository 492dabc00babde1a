//! The time that sockets get beyond each limit.

use crate::duration::SECOND;
use crate::time::TickDuration;

/// Sockets get so much more than each time limit.
pub(super) const TOLERANCE: TickDuration = SECOND / 20;
