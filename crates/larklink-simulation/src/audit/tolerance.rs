//! The time that sockets get beyond each limit.
use larklink_balancer::TickDuration;

use crate::duration::SECOND;

/// Sockets get so much more than each time limit.
pub(super) const TOLERANCE: TickDuration = SECOND / 20;
