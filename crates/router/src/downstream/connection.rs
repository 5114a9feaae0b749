//! The state of one client connection: its phase, its open calls, and its unwritten replies.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::{AsyncReadExt, future};
use tindoor_request_runtime::{Action, Mailbox};
use tindoor_thrift::Reply;

use crate::upstream::MemoryReservation;

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

/// The phase of a connection; phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Calls are accepted and answered.
    Open,
    /// No further call is accepted; outstanding replies are still written.
    Closing,
    /// The router has closed its side. Bytes that still arrive are read and discarded.
    HalfClosed,
    /// The connection has ended.
    Ended,
}

/// One connection of a client.
pub struct Connection {
    /// The socket.
    pub stream: Async<TcpStream>,
    /// The calls without a final reply, by sequence id.
    open_calls: RefCell<HashMap<i32, Rc<Mailbox>>>,
    replies: RefCell<VecDeque<QueuedReply>>,
    phase: Cell<Phase>,
    /// The waker of the writer or, after the half-close, of the task that discards received bytes.
    writer_waker: Cell<Option<Waker>>,
    /// The waker of the reader while it waits because too many replies are unwritten.
    reader_waker: Cell<Option<Waker>>,
    /// Whether the system's receive buffer is known to hold unread bytes.
    has_unread_bytes: Cell<bool>,
    /// Whether bytes were read that are not dispatched yet: an incomplete frame, or further frames.
    has_unparsed_bytes: Cell<bool>,
    /// Whether the writer has taken a reply and not asked for the next one yet.
    is_writing: Cell<bool>,
    /// The time of the first of the consecutive reads that each found bytes; `None` if the last read found
    /// none.
    backlog_since: Cell<Option<Instant>>,
    /// Whether a complete frame has ever arrived.
    has_sent_frame: Cell<bool>,
    /// When a frame was last read, a reply last written, or the connection half-closed; initially, when the
    /// connection was accepted.
    last_activity: Cell<Instant>,
    /// The number of unwritten replies on all connections together.
    unwritten_replies: Rc<Cell<usize>>,
}

impl Connection {
    /// Creates the state of a connection that was just accepted.
    pub fn new(stream: Async<TcpStream>, unwritten_replies: Rc<Cell<usize>>) -> Self {
        Self {
            stream,
            open_calls: RefCell::default(),
            replies: RefCell::default(),
            phase: Cell::new(Phase::Open),
            writer_waker: Cell::default(),
            reader_waker: Cell::default(),
            has_unread_bytes: Cell::new(false),
            has_unparsed_bytes: Cell::new(false),
            is_writing: Cell::new(false),
            backlog_since: Cell::new(None),
            has_sent_frame: Cell::new(false),
            last_activity: Cell::new(Instant::now()),
            unwritten_replies,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns when a frame was last read, a reply last written, or the connection half-closed.
    pub fn last_activity(&self) -> Instant {
        self.last_activity.get()
    }

    /// Returns whether a complete frame has ever arrived.
    pub fn has_sent_frame(&self) -> bool {
        self.has_sent_frame.get()
    }

    /// Records that a complete frame has arrived.
    pub fn record_frame(&self, arrived: Instant) {
        self.last_activity.set(arrived);
        self.has_sent_frame.set(true);
    }

    /// Records that a reply has been written.
    pub fn record_write(&self) {
        self.last_activity.set(Instant::now());
    }

    /// Returns whether the connection is open and has no open call, no unwritten reply, and no bytes of a
    /// further call that are known to have arrived.
    pub fn is_idle(&self) -> bool {
        self.is_quiet() && !self.has_unparsed_bytes.get()
    }

    /// Returns whether no complete frame has arrived within `first_call_timeout` of the accept. A partial
    /// frame doesn't count.
    pub fn is_stalled(&self, first_call_timeout: Duration) -> bool {
        let age = self.last_activity.get().elapsed();
        self.is_quiet() && !self.has_sent_frame.get() && age >= first_call_timeout
    }

    /// Like `is_idle`, but ignores bytes that were read and not dispatched yet.
    fn is_quiet(&self) -> bool {
        self.phase.get() == Phase::Open && !self.has_outstanding_replies() && !self.has_unread_bytes.get()
    }

    fn has_outstanding_replies(&self) -> bool {
        !self.open_calls.borrow().is_empty() || !self.replies.borrow().is_empty() || self.is_writing.get()
    }

    fn wake_writer(&self) {
        if let Some(waker) = self.writer_waker.take() {
            waker.wake();
        }
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
        if matches!(self.phase.get(), Phase::Open | Phase::Closing) {
            self.unwritten_replies.set(self.unwritten_replies.get() + 1);
            let reply = QueuedReply { reply, queued: Instant::now(), _memory: memory };
            self.replies.borrow_mut().push_back(reply);
            self.wake_writer();
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
            if self.phase.get() != Phase::Open && self.open_calls.borrow().is_empty() {
                return Poll::Ready(None);
            }
            self.writer_waker.set(Some(context.waker().clone()));
            Poll::Pending
        })
        .await
    }

    /// Waits until fewer than `max_unwritten` replies are queued.
    pub async fn wait_for_reply_capacity(&self, max_unwritten: usize) {
        future::poll_fn(|context| {
            if self.replies.borrow().len() < max_unwritten {
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
    /// Records whether bytes have been read that are not dispatched yet.
    pub fn set_unparsed_bytes(&self, has_unparsed_bytes: bool) {
        self.has_unparsed_bytes.set(has_unparsed_bytes);
    }

    /// Records that a read begins, which consumes the bytes known to be unread.
    pub fn begin_read(&self) {
        self.has_unread_bytes.set(false);
    }

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
        is_read && is_connected && matches!(self.phase.get(), Phase::Open | Phase::Closing)
    }
}

/// Closing the connection.
impl Connection {
    /// Closes the router's side of an idle connection, unless unread bytes have arrived; returns whether it
    /// was closed. No task may run between the check and the close: a connection closed with unread bytes is
    /// reset, which may destroy the last reply.
    pub fn close_unless_unread(&self) -> bool {
        if self.has_bytes_in_system_buffer() {
            self.has_unread_bytes.set(true);
            return false;
        }
        self.half_close();
        self.wake_writer();
        true
    }

    /// Stops accepting calls and abandons the open ones, which sends their replies.
    pub fn stop_accepting_calls(&self) {
        if self.phase.get() == Phase::Open {
            self.phase.set(Phase::Closing);
        }
        self.open_calls.borrow().values().for_each(|mailbox| mailbox.push(Action::Abandon));
        self.wake_writer();
    }

    /// Closes the router's side: the client reads all written replies and then the end of the stream.
    pub fn half_close(&self) {
        if matches!(self.phase.get(), Phase::Open | Phase::Closing) {
            self.phase.set(Phase::HalfClosed);
            self.last_activity.set(Instant::now());
            // Fails if the client has reset the connection.
            let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        }
    }

    /// Ends the connection: abandons its open calls and drops its unwritten replies.
    pub fn end(&self) {
        self.phase.set(Phase::Ended);
        let dropped = self.replies.borrow_mut().drain(..).count();
        self.unwritten_replies.set(self.unwritten_replies.get() - dropped);
        for (_, mailbox) in self.open_calls.borrow_mut().drain() {
            mailbox.push(Action::Abandon);
        }
    }

    /// Ends a half-closed connection if its client has not closed its side within `min_linger` of the
    /// half-close; returns whether the connection was ended.
    pub fn end_if_lingered(&self, min_linger: Duration) -> bool {
        let is_due =
            self.phase.get() == Phase::HalfClosed && self.last_activity.get().elapsed() >= min_linger;
        if is_due {
            self.phase.set(Phase::Ended);
            self.wake_writer();
        }
        is_due
    }

    async fn wait_until_ended(&self) -> io::Result<()> {
        future::poll_fn(|context| {
            if self.phase.get() == Phase::Ended {
                return Poll::Ready(Ok(()));
            }
            self.writer_waker.set(Some(context.waker().clone()));
            Poll::Pending
        })
        .await
    }

    /// Reads and discards what arrives until the client closes its side or the connection is ended.
    pub async fn discard_until_closed(&self, chunk_bytes: usize) -> io::Result<()> {
        let mut chunk = vec![0; chunk_bytes];
        let mut reader = &self.stream;
        let read_to_end = async {
            while reader.read(&mut chunk).await? > 0 {
                future::yield_now().await;
            }
            Ok(())
        };
        future::or(read_to_end, self.wait_until_ended()).await
    }
}
