//! What the limit on connections needs of a connection, and how connections are closed without a reset.

use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use async_io::Async;
use futures_lite::{AsyncReadExt, future};
use socket2::SockRef;

use super::state::{ConnectionState, Phase};

/// An accepted connection of any protocol.
pub trait ManagedConnection {
    /// Returns the protocol-independent state.
    fn state(&self) -> &ConnectionState;

    /// Returns the socket.
    fn socket(&self) -> SockRef<'_>;

    /// Returns whether a call has no final reply yet, or a reply is unwritten.
    fn is_busy(&self) -> bool;

    /// Abandons the open calls, which sends their replies, and closes the connection after them.
    fn stop(&self);

    /// Returns whether a shutdown closes the connection and waits for its calls.
    fn closes_at_shutdown(&self) -> bool {
        true
    }

    /// Returns whether a call that arrives now is answered.
    fn accepts_calls(&self) -> bool {
        self.state().phase() == Phase::Open
    }

    /// Returns whether the connection is open, not busy, and no bytes of a further call are known to have
    /// arrived.
    fn is_idle(&self) -> bool {
        is_quiet(self) && !self.state().has_unparsed_bytes()
    }

    /// Returns whether no complete message has arrived within `first_message_timeout` of the accept. An
    /// incomplete message doesn't count.
    fn is_stalled(&self, first_message_timeout: Duration) -> bool {
        let state = self.state();
        is_quiet(self) && !state.has_sent_message() && state.idle_time() >= first_message_timeout
    }

    /// Begins to close an idle connection. Returns false, and leaves it open, if bytes have arrived that the
    /// close would destroy.
    fn begin_close(&self) -> bool {
        half_close_unless_unread(self)
    }

    /// Returns whether the router has nothing left to do on the connection but to wait for the peer's close.
    fn is_lingering(&self) -> bool {
        self.state().phase() == Phase::HalfClosed
    }

    /// Gives up waiting for the peer if the connection has lingered for `min_linger`.
    fn end_if_lingered(&self, min_linger: Duration) {
        if self.is_lingering() && self.state().idle_time() >= min_linger {
            self.state().advance(Phase::Ended);
        }
    }

    /// Completes an announced close for which `min_linger` has passed. Does nothing for protocols that do not
    /// announce a close.
    fn finish_close(&self, _min_linger: Duration) {}
}

/// Like `is_idle`, but ignores bytes that were read and not dispatched yet.
fn is_quiet<C: ManagedConnection + ?Sized>(connection: &C) -> bool {
    let state = connection.state();
    state.phase() == Phase::Open && !connection.is_busy() && !state.has_unread_bytes()
}

/// Closes the router's side of a connection unless unread bytes have arrived; returns whether it was closed.
/// No task may run between the check and the close: a connection closed with unread bytes is reset, which may
/// destroy the last reply.
pub fn half_close_unless_unread<C: ManagedConnection + ?Sized>(connection: &C) -> bool {
    let may_close = !has_unread_bytes(connection);
    if may_close {
        half_close(connection);
    }
    may_close
}

/// Returns whether unread bytes have arrived, and records it.
pub fn has_unread_bytes<C: ManagedConnection + ?Sized>(connection: &C) -> bool {
    let has_unread = connection.socket().peek(&mut [MaybeUninit::uninit()]).is_ok_and(|size| size > 0);
    if has_unread {
        connection.state().set_unread_bytes(true);
    }
    has_unread
}

/// Closes the router's side: the peer reads all written replies and then the end of the stream.
pub fn half_close<C: ManagedConnection + ?Sized>(connection: &C) {
    if connection.state().phase() < Phase::HalfClosed {
        // Fails if the peer has reset the connection.
        let _ = connection.socket().shutdown(Shutdown::Write);
        connection.state().advance(Phase::HalfClosed);
    }
}

/// Reads and discards what arrives until the peer closes its side or the connection is ended. Closing with
/// unread bytes would reset the connection and destroy replies that the peer has not read.
pub async fn discard_until_closed(
    state: &ConnectionState,
    stream: &Async<TcpStream>,
    chunk_bytes: usize,
) -> io::Result<()> {
    let mut chunk = vec![0; chunk_bytes];
    let mut reader = stream;
    let read_to_end = async {
        while reader.read(&mut chunk).await? > 0 {
            future::yield_now().await;
        }
        Ok(())
    };
    let ended = async {
        state.wait_for(Phase::Ended).await;
        Ok(())
    };
    future::or(read_to_end, ended).await
}
