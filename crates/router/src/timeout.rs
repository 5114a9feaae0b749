//! A time limit for one I/O operation.

use std::io;
use std::pin::pin;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

/// Runs an operation with a time limit. If it does not finish in time, returns an error of kind `TimedOut`.
///
/// A timer costs a system call, so no timer is created for an operation that is ready at once.
pub async fn with_timeout<T>(
    limit: Duration,
    operation: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let mut operation = pin!(operation);
    if let Some(result) = future::poll_once(operation.as_mut()).await {
        return result;
    }
    let timeout = async {
        Timer::after(limit).await;
        Err(io::Error::new(io::ErrorKind::TimedOut, "timed out"))
    };
    future::or(operation, timeout).await
}
