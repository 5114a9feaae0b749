//! Follows the change stream and reconnects whenever the connection ends.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use tindoor_discovery::{Progress, WatchError};

use super::apply::apply_event;
use super::metrics::ConnectionRecord;
use crate::configuration::limits::WatchLimits;
use crate::log_throttle::LogThrottle;
use crate::state::RouterState;
use crate::timeout::with_timeout;

/// Why a connection to the change stream ended.
#[derive(Debug, thiserror::Error)]
enum ConnectionEnd {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Watch(#[from] WatchError),
    #[error("the server of the change stream closed the connection")]
    Closed,
}

/// Follows the change stream from the current position; never returns. May be dropped at any time and
/// replaced by another watch.
pub async fn watch(state: Rc<RouterState>, address: SocketAddr) -> Infallible {
    let reconnect_log = LogThrottle::default();
    loop {
        let mut record = state.watch_metrics.record_begun();
        let Err(error) = follow_connection(&state, address, &mut record).await;
        state.watch_metrics.record_ended(&record, &error);
        if let Some(times) = reconnect_log.record() {
            let sequence = state.watch_position.borrow().sequence;
            let known_age_ms = state.watch_metrics.known_age_ms();
            let stage = record.stage();
            tracing::warn!(%error, %stage, sequence, known_age_ms, times, "discovery watch disconnected; reconnecting");
        }
        let backoff = state.limits.watch.backoff;
        let jitter = Duration::from_secs_f64(backoff.as_secs_f64() * fastrand::f64());
        Timer::after(backoff + jitter).await;
    }
}

/// Connects, subscribes from the current position, and applies events until the connection ends.
async fn follow_connection(
    state: &RouterState,
    address: SocketAddr,
    record: &mut ConnectionRecord,
) -> Result<Infallible, ConnectionEnd> {
    let limits = state.limits.watch;
    let mut stream = with_timeout(limits.connect_timeout, Async::<TcpStream>::connect(address)).await?;
    let request = format!("since {}\n", state.watch_position.borrow().sequence);
    stream.write_all(request.as_bytes()).await?;
    record.record_subscribed();
    state.watch_position.borrow_mut().reconnected();
    let mut lines = LineReader { stream, buffer: Vec::new(), limits };
    while let Some(line) = lines.next_line().await? {
        state.watch_metrics.record_line(record);
        apply_line(state, &line)?;
    }
    Err(ConnectionEnd::Closed)
}

/// Applies one line of the change stream and advances the position. An error closes the connection.
fn apply_line(state: &RouterState, line: &[u8]) -> Result<(), WatchError> {
    let progress = state.watch_position.borrow_mut().accept_line(line)?;
    match progress {
        Progress::UpToDate => {}
        Progress::Event(event) => apply_event(state, event),
        Progress::Skipped(error) => {
            tracing::warn!(%error, "line of the change stream can't be parsed; skipped");
        }
    }
    Ok(())
}

/// Reads lines of the change stream.
struct LineReader {
    stream: Async<TcpStream>,
    buffer: Vec<u8>,
    limits: WatchLimits,
}

impl LineReader {
    /// Returns the next line; `None` if the server has closed the connection. `line_timeout` limits the time
    /// for a whole line: a connection on which bytes arrive, but no complete line, would otherwise leave the
    /// endpoint list out of date.
    async fn next_line(&mut self) -> io::Result<Option<Vec<u8>>> {
        let begun = Instant::now();
        loop {
            if let Some(line) = tindoor_discovery::take_line(&mut self.buffer) {
                return Ok(Some(line));
            }
            // Discards the rest of a line over the limit: this line then fails to parse, but the next ones
            // don't.
            self.buffer.truncate(self.limits.max_line_bytes);
            let filled = self.buffer.len();
            self.buffer.resize(filled + self.limits.read_chunk_bytes, 0);
            let time_remaining = self.limits.line_timeout.saturating_sub(begun.elapsed());
            let timeout = time_remaining.min(self.limits.read_timeout);
            let received = with_timeout(timeout, self.stream.read(&mut self.buffer[filled..])).await?;
            self.buffer.truncate(filled + received);
            if received == 0 {
                return Ok(None);
            }
        }
    }
}
