//! One connection of a client: the frames that it sends, the answers that it is owed, and their writer.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{self, IoSlice, Read};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use async_io::Async;
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt, Stream, future, stream};
use tindoor_request_runtime::{Action, Mailbox};
use tindoor_thrift::{Fault, Reply};

use crate::configuration::limits::{Limits, within};
use crate::upstream::pool::Held;

/// In how many turns of the tasks a reader has read what has come: one to wake, one to read, one to take it.
const CATCH_UP_TURNS: usize = 3;

/// An answer on its way to the client, with the memory that it stands for.
pub struct Given {
    reply: Reply,
    at: Instant,
    _held: Option<Held>,
}

/// How far the life of a connection has come; it only goes forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Calls are taken and answered.
    Open,
    /// No further call is taken; what is owed is still answered and written.
    Closing,
    /// The router has closed its side. What still comes is read and dropped.
    HalfClosed,
    /// Nobody waits on it any more.
    Ended,
}

/// One connection of a client.
pub struct Client {
    pub stream: Async<TcpStream>,
    /// The requests whose answers are owed, by sequence number.
    pub open: RefCell<HashMap<i32, Rc<Mailbox>>>,
    pub replies: RefCell<VecDeque<Given>>,
    writer: Cell<Option<Waker>>,
    phase: Cell<Phase>,
    /// Bytes lie in the system's buffer that are not yet read.
    unread: Cell<bool>,
    /// Bytes have been read that make no whole frame yet, or frames that are not yet taken.
    unfinished: Cell<bool>,
    /// An answer is being written.
    writing: Cell<bool>,
    /// Since when there has been more to read at each read: a close may lie behind it.
    behind: Cell<Option<Instant>>,
    /// The reader, while too many answers wait to be taken.
    reader: Cell<Option<Waker>>,
    /// It has sent a whole frame.
    pub asked: Cell<bool>,
    /// When something was last read or written; at first, when it came up.
    pub used: Cell<Instant>,
    /// Answers of all connections that are not yet written.
    pub unwritten: Rc<Cell<usize>>,
}

impl Client {
    pub fn new(stream: Async<TcpStream>, unwritten: Rc<Cell<usize>>) -> Self {
        Self {
            stream,
            open: RefCell::default(),
            replies: RefCell::default(),
            writer: Cell::default(),
            phase: Cell::new(Phase::Open),
            unread: Cell::new(false),
            unfinished: Cell::new(false),
            writing: Cell::new(false),
            behind: Cell::new(None),
            reader: Cell::default(),
            asked: Cell::new(false),
            used: Cell::new(Instant::now()),
            unwritten,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// The final answer of a call, unless nobody waits for it any more. A client may use the number of a call
    /// that it has cancelled again: the slot tells the two apart.
    pub fn answer(&self, seq: i32, mailbox: &Rc<Mailbox>, reply: Reply, held: Option<Held>) {
        let waits = self.open.borrow().get(&seq).is_some_and(|open| Rc::ptr_eq(open, mailbox));
        if waits {
            self.open.borrow_mut().remove(&seq);
            self.send(reply, held);
        }
    }

    pub fn send(&self, reply: Reply, held: Option<Held>) {
        if matches!(self.phase.get(), Phase::Open | Phase::Closing) {
            self.unwritten.set(self.unwritten.get() + 1);
            self.replies.borrow_mut().push_back(Given { reply, at: Instant::now(), _held: held });
            self.wake_writer();
        }
    }

    fn wake_writer(&self) {
        if let Some(writer) = self.writer.take() {
            writer.wake();
        }
    }

    /// An answer is open or not yet written.
    fn is_owed(&self) -> bool {
        !self.open.borrow().is_empty() || !self.replies.borrow().is_empty() || self.writing.get()
    }

    /// Nothing is owed, and nothing of a next call is known to have come.
    pub fn is_idle(&self) -> bool {
        self.is_quiet() && !self.unfinished.get()
    }

    /// It never sent a whole frame, and has had its time: half a frame does not keep its place then.
    pub fn is_stalled(&self, first_call: Duration) -> bool {
        self.is_quiet() && !self.asked.get() && self.used.get().elapsed() >= first_call
    }

    fn is_quiet(&self) -> bool {
        self.phase.get() == Phase::Open && !self.is_owed() && !self.unread.get()
    }

    /// The one way to close a connection on which nothing is owed: the router's side is shut in the same step in
    /// which nothing is found unread, and the reader drops what comes from then on. Closed as a whole, a
    /// connection on which a call arrives meanwhile is reset, and the last answer may be destroyed with it. False
    /// where something has come.
    pub fn close_unless_unread(&self) -> bool {
        if self.has_unread() {
            self.unread.set(true);
            return false;
        }
        self.half_close();
        self.wake_writer();
        true
    }

    fn has_unread(&self) -> bool {
        self.stream.get_ref().peek(&mut [0]).is_ok_and(|size| size > 0)
    }

    /// Takes no further call; what is open is left, which answers it.
    pub fn stop_taking(&self) {
        if self.phase.get() == Phase::Open {
            self.phase.set(Phase::Closing);
        }
        self.open.borrow().values().for_each(|mailbox| mailbox.put(Action::Abandon));
        self.wake_writer();
    }

    /// Closes the router's side; the client reads what was written, and then the end.
    pub fn half_close(&self) {
        if matches!(self.phase.get(), Phase::Open | Phase::Closing) {
            self.phase.set(Phase::HalfClosed);
            self.used.set(Instant::now());
            // One that is gone already has no side left to close.
            let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        }
    }

    /// Nobody waits on it any more: what is open is left, what is not yet written is dropped.
    pub fn end(&self) {
        self.phase.set(Phase::Ended);
        let unwritten = self.replies.borrow_mut().drain(..).count();
        self.unwritten.set(self.unwritten.get() - unwritten);
        for (_, mailbox) in self.open.borrow_mut().drain() {
            mailbox.put(Action::Abandon);
        }
    }

    /// Ends a connection whose client did not close its side within `least` of the router's close.
    pub fn cut(&self, least: Duration) -> bool {
        let cut = self.phase.get() == Phase::HalfClosed && self.used.get().elapsed() >= least;
        if cut {
            self.phase.set(Phase::Ended);
            self.wake_writer();
        }
        cut
    }

    /// Waits until the connection is cut.
    async fn is_cut(&self) -> io::Result<()> {
        future::poll_fn(|context| {
            if self.phase.get() == Phase::Ended {
                return Poll::Ready(Ok(()));
            }
            self.writer.set(Some(context.waker().clone()));
            Poll::Pending
        })
        .await
    }

    /// Has the task that reads take what has come, a withdrawal perhaps, before something is sent on; one that sends
    /// without end is not waited for.
    pub async fn caught_up(&self) {
        for _ in 0..CATCH_UP_TURNS {
            if self.has_unread() {
                future::yield_now().await;
            }
        }
    }

    /// Whether its client can be taken to wait still: it has not closed its side, and what it sent was read to the end
    /// within `longest`; else a close or a withdrawal may lie behind the rest. Asked right before a request is sent on,
    /// as the task that reads may not have run since the close came.
    pub fn still_waits(&self, longest: Duration) -> bool {
        let heard = self.behind.get().is_none_or(|since| since.elapsed() <= longest);
        let here = match self.stream.get_ref().peek(&mut [0]) {
            Ok(size) => size > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        };
        heard && here && matches!(self.phase.get(), Phase::Open | Phase::Closing)
    }

    /// The next answer to write; none once the connection is to be closed and nothing more is owed.
    pub async fn next_reply(&self) -> Option<Given> {
        future::poll_fn(|context| {
            let next = self.replies.borrow_mut().pop_front();
            self.writing.set(next.is_some());
            if let Some(reader) = self.reader.take() {
                reader.wake();
            }
            match next {
                Some(reply) => Poll::Ready(Some(reply)),
                None if self.phase.get() != Phase::Open && self.open.borrow().is_empty() => Poll::Ready(None),
                None => {
                    self.writer.set(Some(context.waker().clone()));
                    Poll::Pending
                }
            }
        })
        .await
    }

    /// Waits until so few answers are left to be taken that more may be read.
    pub async fn drained(&self, most: usize) {
        future::poll_fn(|context| {
            if self.replies.borrow().len() < most {
                return Poll::Ready(());
            }
            self.reader.set(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    /// Reads and drops what comes, to the client's own close or until the connection is cut.
    pub async fn drop_rest(&self, size: usize) -> io::Result<()> {
        let mut dropped = vec![0; size];
        let mut reader = &self.stream;
        let to_end = async {
            while reader.read(&mut dropped).await? > 0 {
                future::yield_now().await;
            }
            Ok(())
        };
        future::or(to_end, self.is_cut()).await
    }
}

/// The frames that a client sends, each with when its last byte was read.
pub fn frames<'a>(
    client: &'a Client,
    limits: Limits,
) -> impl Stream<Item = io::Result<(Bytes, Instant)>> + use<'a> {
    // A connection that never asked, and one with half a frame, has so long from then on; others may rest.
    let first = (BytesMut::new(), Instant::now(), Some(Instant::now()));
    stream::try_unfold(first, move |(mut read, mut arrived, mut begun)| async move {
        loop {
            let frame = tindoor_thrift::take_frame(&mut read, limits.frame).map_err(unreadable)?;
            client.unfinished.set(!read.is_empty());
            if let Some(frame) = frame {
                let begun = Some(arrived).filter(|_| !read.is_empty());
                return Ok(Some(((frame, arrived), (read, arrived, begun))));
            }
            // One that sends at full speed gets its turn as the others do.
            future::yield_now().await;
            // Nothing is taken on a connection that is to be closed: its answer could not be given.
            if client.phase() != Phase::Open {
                return Ok(None);
            }
            let filled = read.len();
            read.resize(filled + limits.read, 0);
            client.unread.set(false);
            let more = match client.stream.get_ref().read(&mut read[filled..]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    read.truncate(filled);
                    client.behind.set(None);
                    if read.is_empty() {
                        // One that rests holds no memory.
                        read = BytesMut::new();
                    }
                    match begun {
                        Some(begun) => {
                            let left = limits.frame_wait.saturating_sub(begun.elapsed());
                            within(left, client.stream.readable()).await.map_err(|_| silent())?;
                        }
                        None => client.stream.readable().await?,
                    }
                    continue;
                }
                more => more?,
            };
            read.truncate(filled + more);
            if more == 0 {
                return Ok(None);
            }
            arrived = Instant::now();
            client.behind.set(client.behind.get().or(Some(arrived)));
            begun = begun.or(Some(arrived));
        }
    })
}

fn silent() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "no whole frame came in time")
}

pub fn unreadable(fault: Fault) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{fault:?}"))
}

/// Writes the client's answers until the connection is to be closed.
pub async fn write(limits: &Limits, client: &Client) -> io::Result<()> {
    let mut stream = &client.stream;
    while let Some(Given { reply: Reply { mut head, mut body, mut tail }, at, _held }) =
        client.next_reply().await
    {
        // One that takes its answers too slowly is given up: they must not hold memory for others.
        let left = limits.untaken.saturating_sub(at.elapsed());
        // Counted until it is written, whatever happens to this connection.
        let _unwritten = Unwritten(&client.unwritten);
        while !(head.is_empty() && body.is_empty() && tail.is_empty()) {
            let slices = [IoSlice::new(&head), IoSlice::new(&body), IoSlice::new(&tail)];
            let mut written = within(left, stream.write_vectored(&slices)).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            for part in [&mut head, &mut body, &mut tail] {
                let taken = written.min(part.len());
                part.advance(taken);
                written -= taken;
            }
        }
        client.used.set(Instant::now());
    }
    Ok(())
}

struct Unwritten<'a>(&'a Cell<usize>);

impl Drop for Unwritten<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
