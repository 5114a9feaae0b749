//! A time limit for one I/O operation.

use std::io;
use std::pin::pin;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

/// Runs an operation with a time limit; the error has the kind `TimedOut` where the limit ends it.
///
/// A timer costs a system call, so there is none for an operation that is ready at once.
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
        Err(io::Error::new(io::ErrorKind::TimedOut, "not in time"))
    };
    future::or(operation, timeout).await
}
