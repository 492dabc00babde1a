//! Timeouts for asynchronous operations.
use std::io::{ErrorKind, Result};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

/// Runs an operation, and drops it if it has not completed within `timeout`.
///
/// # Errors
/// The operation's error, or [`ErrorKind::TimedOut`].
pub async fn with_timeout<T>(timeout: Duration, operation: impl Future<Output = Result<T>>) -> Result<T> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(ErrorKind::TimedOut.into())
    };
    operation.or(timed_out).await
}
