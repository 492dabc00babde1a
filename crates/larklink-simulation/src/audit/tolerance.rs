//! The tolerance that the audit adds to time limits.

use crate::duration::SECOND;
use crate::time::TickDuration;

/// Added to every time limit, because events on sockets are delayed: 50 ms.
pub(super) const TOLERANCE: TickDuration = SECOND / 20;
