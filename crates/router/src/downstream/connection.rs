//! One client connection: its open calls and its unwritten replies.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::future;
use socket2::SockRef;
use tindoor_request_runtime::{Action, Mailbox};
use tindoor_thrift::Reply;

use crate::connections::{ConnectionState, ManagedConnection, Phase};
use crate::memory::MemoryReservation;

/// The number of executor turns that the reader needs to process what has arrived: one to wake, one to read,
/// one to dispatch.
const CATCH_UP_TURNS: usize = 3;

/// A reply that waits to be written, with the reservation for its memory.
pub struct QueuedReply {
    /// The reply.
    pub reply: Reply,
    /// When it was queued.
    pub queued: Instant,
    _memory: Option<MemoryReservation>,
}

/// One connection of a client.
pub struct Connection {
    /// The socket.
    pub stream: Async<TcpStream>,
    /// The phase, and what has arrived.
    pub state: ConnectionState,
    /// The calls without a final reply, by sequence id.
    open_calls: RefCell<HashMap<i32, Rc<Mailbox>>>,
    replies: RefCell<VecDeque<QueuedReply>>,
    /// The waker of the reader while it waits because too many replies are unwritten.
    reader_waker: Cell<Option<Waker>>,
    /// Whether the writer has taken a reply and not asked for the next one yet.
    is_writing: Cell<bool>,
    /// The time of the first of the consecutive reads that each found bytes; `None` if the last read found
    /// none.
    backlog_since: Cell<Option<Instant>>,
    /// The number of unwritten replies on all connections together.
    unwritten_replies: Rc<Cell<usize>>,
}

impl Connection {
    /// Creates the state of a connection that was just accepted.
    pub fn new(stream: Async<TcpStream>, unwritten_replies: Rc<Cell<usize>>) -> Self {
        Self {
            stream,
            state: ConnectionState::default(),
            open_calls: RefCell::default(),
            replies: RefCell::default(),
            reader_waker: Cell::default(),
            is_writing: Cell::new(false),
            backlog_since: Cell::new(None),
            unwritten_replies,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.state.phase()
    }

    fn has_outstanding_replies(&self) -> bool {
        !self.open_calls.borrow().is_empty() || !self.replies.borrow().is_empty() || self.is_writing.get()
    }
}

impl ManagedConnection for Connection {
    fn state(&self) -> &ConnectionState {
        &self.state
    }

    fn socket(&self) -> SockRef<'_> {
        SockRef::from(self.stream.get_ref())
    }

    fn is_busy(&self) -> bool {
        self.has_outstanding_replies()
    }

    fn stop(&self) {
        self.stop_accepting_calls();
    }
}

/// Calls and replies.
impl Connection {
    /// Returns the number of open calls.
    pub fn open_call_count(&self) -> usize {
        self.open_calls.borrow().len()
    }

    /// Returns whether a call with this sequence id is open.
    pub fn is_open_call(&self, sequence_id: i32) -> bool {
        self.open_calls.borrow().contains_key(&sequence_id)
    }

    /// Adds an open call.
    pub fn add_call(&self, sequence_id: i32, mailbox: &Rc<Mailbox>) {
        self.open_calls.borrow_mut().insert(sequence_id, Rc::clone(mailbox));
    }

    /// Abandons a call; no reply will be sent for it.
    pub fn cancel_call(&self, sequence_id: i32) {
        if let Some(mailbox) = self.open_calls.borrow_mut().remove(&sequence_id) {
            mailbox.push(Action::Abandon);
        }
    }

    /// Sends the final reply of a call, unless the call was cancelled. The call is identified by its mailbox,
    /// as clients may reuse the sequence id of a cancelled call.
    pub fn finish_call(
        &self,
        sequence_id: i32,
        mailbox: &Rc<Mailbox>,
        reply: Reply,
        memory: Option<MemoryReservation>,
    ) {
        let is_open =
            self.open_calls.borrow().get(&sequence_id).is_some_and(|open| Rc::ptr_eq(open, mailbox));
        if is_open {
            self.open_calls.borrow_mut().remove(&sequence_id);
            self.send(reply, memory);
        }
    }

    /// Queues a reply. Drops it if the router has already closed its side.
    pub fn send(&self, reply: Reply, memory: Option<MemoryReservation>) {
        if self.phase() <= Phase::Closing {
            self.unwritten_replies.set(self.unwritten_replies.get() + 1);
            let reply = QueuedReply { reply, queued: Instant::now(), _memory: memory };
            self.replies.borrow_mut().push_back(reply);
            self.state.wake();
        }
    }

    /// Returns the next reply to write; `None` once the connection is closing and no call is open.
    pub async fn next_reply(&self) -> Option<QueuedReply> {
        future::poll_fn(|context| {
            let reply = self.replies.borrow_mut().pop_front();
            self.is_writing.set(reply.is_some());
            if let Some(reader) = self.reader_waker.take() {
                reader.wake();
            }
            if reply.is_some() {
                return Poll::Ready(reply);
            }
            if self.phase() != Phase::Open && self.open_calls.borrow().is_empty() {
                return Poll::Ready(None);
            }
            self.state.register(context);
            Poll::Pending
        })
        .await
    }

    /// Returns whether fewer than `max_unwritten` replies are queued.
    pub fn has_reply_capacity(&self, max_unwritten: usize) -> bool {
        self.replies.borrow().len() < max_unwritten
    }

    /// Waits until fewer than `max_unwritten` replies are queued.
    pub async fn wait_for_reply_capacity(&self, max_unwritten: usize) {
        future::poll_fn(|context| {
            if self.has_reply_capacity(max_unwritten) {
                return Poll::Ready(());
            }
            self.reader_waker.set(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    /// Removes one reply from the count of unwritten replies, whether or not it was written.
    pub fn decrement_unwritten_replies(&self) {
        self.unwritten_replies.set(self.unwritten_replies.get() - 1);
    }
}

/// Received bytes and the client's presence.
impl Connection {
    /// Records that a read found bytes, so that more may be unread.
    pub fn record_backlog(&self, now: Instant) {
        self.backlog_since.set(self.backlog_since.get().or(Some(now)));
    }

    /// Records that a read found no bytes, so that everything has been read.
    pub fn clear_backlog(&self) {
        self.backlog_since.set(None);
    }

    fn has_bytes_in_system_buffer(&self) -> bool {
        self.stream.get_ref().peek(&mut [0]).is_ok_and(|size| size > 0)
    }

    /// Lets the reader process what has arrived, such as a cancel, before a request is forwarded. The wait is
    /// limited to `CATCH_UP_TURNS`, in case the client sends continuously.
    pub async fn let_reader_catch_up(&self) {
        for _ in 0..CATCH_UP_TURNS {
            if self.has_bytes_in_system_buffer() {
                future::yield_now().await;
            }
        }
    }

    /// Returns whether the client still waits for replies: it has not closed its side, and the reader has not
    /// been behind for longer than `max_read_backlog`, as unread bytes may hide a close or a cancel. Called
    /// right before a request is forwarded, as the reader may not have run since the close arrived.
    pub fn is_client_waiting(&self, max_read_backlog: Duration) -> bool {
        let is_read = self.backlog_since.get().is_none_or(|since| since.elapsed() <= max_read_backlog);
        let is_connected = match self.stream.get_ref().peek(&mut [0]) {
            Ok(size) => size > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        };
        is_read && is_connected && self.phase() <= Phase::Closing
    }
}

/// Closing the connection.
impl Connection {
    /// Stops accepting calls and abandons the open ones, which sends their replies.
    pub fn stop_accepting_calls(&self) {
        self.state.advance(Phase::Closing);
        self.open_calls.borrow().values().for_each(|mailbox| mailbox.push(Action::Abandon));
        self.state.wake();
    }

    /// Ends the connection: abandons its open calls and drops its unwritten replies.
    pub fn end(&self) {
        self.state.advance(Phase::Ended);
        let dropped = self.replies.borrow_mut().drain(..).count();
        self.unwritten_replies.set(self.unwritten_replies.get() - dropped);
        for (_, mailbox) in self.open_calls.borrow_mut().drain() {
            mailbox.push(Action::Abandon);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/downstream_connections.rs"]
mod tests;
