//! One connection to the change stream: connects, subscribes, and passes on the lines that arrive.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_channel::Sender;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use tindoor_discovery::{ConnectionId, WatchError};

use crate::configuration::limits::WatchLimits;
use crate::state::RouterState;

/// Why a connection to the change stream ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionEnd {
    /// The connect failed, or the connection broke.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The stream left out events or is malformed.
    #[error("{0}")]
    Watch(#[from] WatchError),
    /// The server closed the connection in order.
    #[error("the server of the change stream closed the connection")]
    Closed,
    /// A line was received on another connection of the watch.
    #[error("another connection was answered")]
    Superseded,
    /// The maximum number of connections was reached, and this one gave way to the next.
    #[error("gave way to another connection")]
    GaveWay,
    /// The watch itself ended: the configuration names another address, or the process ends.
    #[error("the watch of this address has ended")]
    WatchEnded,
}

impl ConnectionEnd {
    /// Returns whether the router itself chose to close the connection.
    pub fn is_by_router(&self) -> bool {
        matches!(self, Self::Superseded | Self::GaveWay | Self::WatchEnded)
    }
}

/// Something that happened on a connection.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// The connect has succeeded and the subscription was sent.
    Subscribed,
    /// Bytes were received, which completed these lines, or none.
    Received(Vec<Vec<u8>>),
    /// The connection has ended.
    Ended(ConnectionEnd),
}

/// A connection to the change stream, which reports its events to the watch.
pub struct ConnectionTask {
    /// The id of the connection within its watch.
    pub id: ConnectionId,
    /// The state that holds the position from which the connection subscribes.
    pub state: Rc<RouterState>,
    /// The address of the change stream.
    pub address: SocketAddr,
    /// Receives the events of all connections of the watch.
    pub events: Sender<(ConnectionId, ConnectionEvent)>,
}

impl ConnectionTask {
    /// Follows the connection until it ends. May be dropped at any time, which closes the connection. There are
    /// no time limits here: the watch decides how long it waits.
    pub async fn run(self) {
        let Err(end) = self.follow().await;
        self.report(ConnectionEvent::Ended(end)).await;
    }

    async fn follow(&self) -> Result<Infallible, ConnectionEnd> {
        let mut stream = Async::<TcpStream>::connect(self.address).await?;
        let request = format!("since {}\n", self.state.watch_position.borrow().sequence);
        stream.write_all(request.as_bytes()).await?;
        self.report(ConnectionEvent::Subscribed).await;
        let mut lines = LineReader { stream, buffer: Vec::new(), limits: self.state.limits.watch };
        while let Some(complete) = lines.read().await? {
            self.report(ConnectionEvent::Received(complete)).await;
        }
        Err(ConnectionEnd::Closed)
    }

    /// Passes an event to the watch. Waits while the watch has not taken the earlier ones.
    async fn report(&self, event: ConnectionEvent) {
        // An error means that the watch has ended, and this task with it.
        let _ = self.events.send((self.id, event)).await;
    }
}

/// Reads lines of the change stream.
struct LineReader {
    stream: Async<TcpStream>,
    buffer: Vec<u8>,
    limits: WatchLimits,
}

impl LineReader {
    /// Reads once, and returns the lines that are complete; `None` if the server has closed the connection.
    async fn read(&mut self) -> io::Result<Option<Vec<Vec<u8>>>> {
        // Discards the rest of a line over the limit: this line then fails to parse, but the next ones don't.
        self.buffer.truncate(self.limits.max_line_bytes);
        let filled = self.buffer.len();
        self.buffer.resize(filled + self.limits.read_chunk_bytes, 0);
        let received = self.stream.read(&mut self.buffer[filled..]).await?;
        self.buffer.truncate(filled + received);
        if received == 0 {
            return Ok(None);
        }
        Ok(Some(std::iter::from_fn(|| tindoor_discovery::take_line(&mut self.buffer)).collect()))
    }
}
