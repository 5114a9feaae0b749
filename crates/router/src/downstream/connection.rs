//! One connection of a client: its phase, the calls that are open on it, and the replies that it owes.

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

/// Turns of the tasks in which the reader has taken what has arrived: one to wake, one to read, one to
/// dispatch.
const CATCH_UP_TURNS: usize = 3;

/// A reply on its way to the client, with the memory that it takes.
pub struct QueuedReply {
    /// The reply.
    pub reply: Reply,
    /// When it was queued.
    pub queued: Instant,
    _memory: Option<MemoryReservation>,
}

/// How far the life of a connection has come; it only goes forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Calls are accepted and answered.
    Open,
    /// No further call is accepted; replies that are owed are still written.
    Closing,
    /// The router has closed its side. What still arrives is read and dropped.
    HalfClosed,
    /// The connection is over.
    Ended,
}

/// One connection of a client.
pub struct Connection {
    /// The socket.
    pub stream: Async<TcpStream>,
    /// The calls whose replies are owed, by sequence id.
    open_calls: RefCell<HashMap<i32, Rc<Mailbox>>>,
    replies: RefCell<VecDeque<QueuedReply>>,
    phase: Cell<Phase>,
    /// The writer; once the router has closed its side, the reader that drops the rest.
    writer_waker: Cell<Option<Waker>>,
    /// The reader, while too many replies wait to be written.
    reader_waker: Cell<Option<Waker>>,
    /// Bytes lie in the system's buffer that are not yet read.
    has_unread_bytes: Cell<bool>,
    /// Bytes have been read that make no complete frame yet, or frames that are not yet dispatched.
    has_unparsed_bytes: Cell<bool>,
    is_writing: Cell<bool>,
    /// Since when each read has found more to read.
    backlog_since: Cell<Option<Instant>>,
    has_sent_frame: Cell<bool>,
    /// When a frame was last read or a reply last written; at first, when it was accepted.
    last_activity: Cell<Instant>,
    /// Replies on all connections that are not yet written.
    unwritten_replies: Rc<Cell<usize>>,
}

impl Connection {
    /// A connection that was accepted just now.
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

    /// How far its life has come.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When a frame was last read or a reply last written.
    pub fn last_activity(&self) -> Instant {
        self.last_activity.get()
    }

    /// Whether a complete frame has ever arrived.
    pub fn has_sent_frame(&self) -> bool {
        self.has_sent_frame.get()
    }

    /// Notes that a complete frame has arrived.
    pub fn record_frame(&self, arrived: Instant) {
        self.last_activity.set(arrived);
        self.has_sent_frame.set(true);
    }

    /// Notes that a reply has been written.
    pub fn record_write(&self) {
        self.last_activity.set(Instant::now());
    }

    /// Nothing is owed, and nothing of a next call is known to have arrived.
    pub fn is_idle(&self) -> bool {
        self.is_quiet() && !self.has_unparsed_bytes.get()
    }

    /// No complete frame has arrived within this time of the accept; a part of one does not count.
    pub fn is_stalled(&self, first_call_timeout: Duration) -> bool {
        let age = self.last_activity.get().elapsed();
        self.is_quiet() && !self.has_sent_frame.get() && age >= first_call_timeout
    }

    fn is_quiet(&self) -> bool {
        self.phase.get() == Phase::Open && !self.owes_replies() && !self.has_unread_bytes.get()
    }

    fn owes_replies(&self) -> bool {
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
    /// How many calls are open.
    pub fn open_call_count(&self) -> usize {
        self.open_calls.borrow().len()
    }

    /// Whether a call with this sequence id is open.
    pub fn is_open_call(&self, sequence_id: i32) -> bool {
        self.open_calls.borrow().contains_key(&sequence_id)
    }

    /// Adds a call whose reply is owed from now on.
    pub fn add_call(&self, sequence_id: i32, mailbox: &Rc<Mailbox>) {
        self.open_calls.borrow_mut().insert(sequence_id, Rc::clone(mailbox));
    }

    /// Abandons a call, whose reply is not owed any more.
    pub fn cancel_call(&self, sequence_id: i32) {
        if let Some(mailbox) = self.open_calls.borrow_mut().remove(&sequence_id) {
            mailbox.push(Action::Abandon);
        }
    }

    /// Sends the final reply of a call, unless it was cancelled. The mailbox identifies the call, as clients
    /// may use the sequence id of a cancelled call again.
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

    /// Queues a reply.
    pub fn send(&self, reply: Reply, memory: Option<MemoryReservation>) {
        if matches!(self.phase.get(), Phase::Open | Phase::Closing) {
            self.unwritten_replies.set(self.unwritten_replies.get() + 1);
            let reply = QueuedReply { reply, queued: Instant::now(), _memory: memory };
            self.replies.borrow_mut().push_back(reply);
            self.wake_writer();
        }
    }

    /// The next reply to write; `None` once the connection is to be closed and nothing more is owed.
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

    /// Waits until fewer replies than this wait to be written.
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

    /// Counts a reply as written, or as given up.
    pub fn reply_written(&self) {
        self.unwritten_replies.set(self.unwritten_replies.get() - 1);
    }
}

/// What the client has sent.
impl Connection {
    /// Notes whether bytes have been read that are not dispatched.
    pub fn set_unparsed_bytes(&self, has_unparsed_bytes: bool) {
        self.has_unparsed_bytes.set(has_unparsed_bytes);
    }

    /// A read begins: it takes all that is known to be unread.
    pub fn begin_read(&self) {
        self.has_unread_bytes.set(false);
    }

    /// A read has found bytes: there may be more.
    pub fn record_backlog(&self, now: Instant) {
        self.backlog_since.set(self.backlog_since.get().or(Some(now)));
    }

    /// A read has found nothing: everything has been read.
    pub fn clear_backlog(&self) {
        self.backlog_since.set(None);
    }

    fn has_bytes_in_system_buffer(&self) -> bool {
        self.stream.get_ref().peek(&mut [0]).is_ok_and(|size| size > 0)
    }

    /// Lets the reader take what has arrived, a cancel perhaps, before something is forwarded. A client that
    /// sends without end is not waited for.
    pub async fn let_reader_catch_up(&self) {
        for _ in 0..CATCH_UP_TURNS {
            if self.has_bytes_in_system_buffer() {
                future::yield_now().await;
            }
        }
    }

    /// Whether the client still waits: it has not closed its side, and was read to the end within this time,
    /// as a close or a cancel may lie behind unread bytes. Checked right before a request is forwarded, as
    /// the reader may not have run since the close arrived.
    pub fn is_client_waiting(&self, max_read_backlog: Duration) -> bool {
        let is_read = self.backlog_since.get().is_none_or(|since| since.elapsed() <= max_read_backlog);
        let is_connected = match self.stream.get_ref().peek(&mut [0]) {
            Ok(size) => size > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        };
        is_read && is_connected && matches!(self.phase.get(), Phase::Open | Phase::Closing)
    }
}

/// How the connection is closed.
impl Connection {
    /// Closes the router's side of an idle connection, unless bytes have arrived. Check and close are one
    /// step: a connection closed with bytes unread is reset, which may destroy the last reply.
    pub fn close_unless_unread(&self) -> bool {
        if self.has_bytes_in_system_buffer() {
            self.has_unread_bytes.set(true);
            return false;
        }
        self.half_close();
        self.wake_writer();
        true
    }

    /// Accepts no further call and abandons the open ones, which answers them.
    pub fn stop_accepting_calls(&self) {
        if self.phase.get() == Phase::Open {
            self.phase.set(Phase::Closing);
        }
        self.open_calls.borrow().values().for_each(|mailbox| mailbox.push(Action::Abandon));
        self.wake_writer();
    }

    /// Closes the router's side: the client reads what was written, and then the end.
    pub fn half_close(&self) {
        if matches!(self.phase.get(), Phase::Open | Phase::Closing) {
            self.phase.set(Phase::HalfClosed);
            self.last_activity.set(Instant::now());
            // Fails where the client has reset the connection.
            let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        }
    }

    /// Abandons the open calls and drops the unwritten replies.
    pub fn end(&self) {
        self.phase.set(Phase::Ended);
        let dropped = self.replies.borrow_mut().drain(..).count();
        self.unwritten_replies.set(self.unwritten_replies.get() - dropped);
        for (_, mailbox) in self.open_calls.borrow_mut().drain() {
            mailbox.push(Action::Abandon);
        }
    }

    /// Ends a connection whose client has not closed its side within this time of the router's close.
    pub fn cut(&self, min_linger: Duration) -> bool {
        let is_due =
            self.phase.get() == Phase::HalfClosed && self.last_activity.get().elapsed() >= min_linger;
        if is_due {
            self.phase.set(Phase::Ended);
            self.wake_writer();
        }
        is_due
    }

    async fn wait_until_cut(&self) -> io::Result<()> {
        future::poll_fn(|context| {
            if self.phase.get() == Phase::Ended {
                return Poll::Ready(Ok(()));
            }
            self.writer_waker.set(Some(context.waker().clone()));
            Poll::Pending
        })
        .await
    }

    /// Reads and drops what arrives until the client closes its side or the connection is cut.
    pub async fn discard_until_closed(&self, chunk_bytes: usize) -> io::Result<()> {
        let mut chunk = vec![0; chunk_bytes];
        let mut reader = &self.stream;
        let read_to_end = async {
            while reader.read(&mut chunk).await? > 0 {
                future::yield_now().await;
            }
            Ok(())
        };
        future::or(read_to_end, self.wait_until_cut()).await
    }
}
