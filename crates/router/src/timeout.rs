//! Time limits for I/O operations: for a whole operation, or for each step of it.

use std::io;
use std::pin::pin;
use std::time::Duration;

use async_io::Timer;
use futures_lite::{AsyncWrite, AsyncWriteExt, future};

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

/// Writes all bytes. Returns an error of kind `TimedOut` if the receiver takes none for the time of `limit`: a slow
/// receiver may take as long as it needs.
pub async fn write_all_with_progress<W: AsyncWrite + Unpin>(
    limit: Duration,
    stream: &mut W,
    mut bytes: &[u8],
) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = with_timeout(limit, stream.write(bytes)).await?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
