//! Writes replies to a client's connection.

use std::io::{self, IoSlice};

use bytes::Buf;
use futures_lite::AsyncWriteExt;
use tindoor_thrift::Reply;

use super::connection::{Connection, QueuedReply};
use crate::configuration::limits::ClientLimits;
use crate::timeout::with_timeout;

/// Writes replies until the connection is closing and no call is open.
pub async fn write_replies(limits: &ClientLimits, connection: &Connection) -> io::Result<()> {
    while let Some(reply) = connection.next_reply().await {
        let _guard = UnwrittenReplyGuard(connection);
        write_reply(limits, connection, reply).await?;
        connection.state.record_activity();
    }
    Ok(())
}

/// Writes one reply. Fails if the client reads too slowly, as unwritten replies occupy memory.
async fn write_reply(
    limits: &ClientLimits,
    connection: &Connection,
    mut queued: QueuedReply,
) -> io::Result<()> {
    let time_remaining = limits.write_timeout.saturating_sub(queued.queued.elapsed());
    let Reply { head, body, tail } = &mut queued.reply;
    let mut stream = &connection.stream;
    while !(head.is_empty() && body.is_empty() && tail.is_empty()) {
        let slices = [IoSlice::new(head), IoSlice::new(body), IoSlice::new(tail)];
        let mut written = with_timeout(time_remaining, stream.write_vectored(&slices)).await?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        for part in [&mut *head, &mut *body, &mut *tail] {
            let advanced = written.min(part.len());
            part.advance(advanced);
            written -= advanced;
        }
    }
    Ok(())
}

/// Counts a reply as unwritten until the guard is dropped, even if the write fails or is cancelled.
struct UnwrittenReplyGuard<'a>(&'a Connection);

impl Drop for UnwrittenReplyGuard<'_> {
    fn drop(&mut self) {
        self.0.decrement_unwritten_replies();
    }
}
