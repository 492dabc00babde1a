//! A time limit on any asynchronous operation.
use std::io::{ErrorKind, Result};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

/// The result in time, or `TimedOut`.
pub async fn with_timeout<T>(limit: Duration, work: impl Future<Output = Result<T>>) -> Result<T> {
    work.or(async {
        Timer::after(limit).await;
        Err(ErrorKind::TimedOut.into())
    })
    .await
}
