//! One connection of a client: the frames that it sends, the answers that it is owed, and their writer.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{self, IoSlice, Read};
use std::net::TcpStream;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Instant;

use async_io::Async;
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncWriteExt, Stream, future, stream};
use tindoor_desk::{Order, Slot};
use tindoor_thrift::{Fault, Reply};

use crate::caches::Held;
use crate::limits::{Limits, within};

/// An answer on its way to the client, with the memory that it stands for.
pub struct Given {
    reply: Reply,
    at: Instant,
    _held: Option<Held>,
}

/// One connection of a client.
pub struct Client {
    pub stream: Async<TcpStream>,
    /// The views whose answers are owed, by sequence number.
    pub open: RefCell<HashMap<i32, Rc<Slot>>>,
    pub replies: RefCell<VecDeque<Given>>,
    writer: Cell<Option<Waker>>,
    pub closing: Cell<bool>,
    /// Nothing more is read: what is to be written still are the last answers.
    pub parting: Cell<bool>,
    /// Something has come that is not yet read.
    come: Cell<bool>,
    /// An answer is being written.
    writing: Cell<bool>,
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
            closing: Cell::new(false),
            parting: Cell::new(false),
            come: Cell::new(false),
            writing: Cell::new(false),
            asked: Cell::new(false),
            used: Cell::new(Instant::now()),
            unwritten,
        }
    }

    /// The final answer of a call, unless nobody waits for it any more. A client may use the number of a call
    /// that it has cancelled again: the slot tells the two apart.
    pub fn answer(&self, seq: i32, slot: &Rc<Slot>, reply: Reply, held: Option<Held>) {
        let waits = self.open.borrow().get(&seq).is_some_and(|open| Rc::ptr_eq(open, slot));
        if waits {
            self.open.borrow_mut().remove(&seq);
            self.send(reply, held);
        }
    }

    pub fn send(&self, reply: Reply, held: Option<Held>) {
        if !self.closing.get() {
            self.unwritten.set(self.unwritten.get() + 1);
            self.replies.borrow_mut().push_back(Given { reply, at: Instant::now(), _held: held });
            self.wake_writer();
        }
    }

    pub fn close(&self) {
        self.closing.set(true);
        self.wake_writer();
    }

    fn wake_writer(&self) {
        if let Some(writer) = self.writer.take() {
            writer.wake();
        }
    }

    /// Nothing is open. While an answer is still being written, a next call may come, and would be lost.
    pub fn is_idle(&self) -> bool {
        let owes = !self.open.borrow().is_empty() || !self.replies.borrow().is_empty() || self.writing.get();
        !owes && !self.come.get() && !self.closing.get()
    }

    /// Closes it, unless a call lies in the system's buffer: a close would destroy it.
    pub fn make_way(&self) -> bool {
        self.come.set(self.stream.get_ref().peek(&mut [0]).is_ok_and(|size| size > 0));
        if !self.come.get() {
            self.close();
        }
        !self.come.get()
    }

    /// Nobody waits on it any more: what is open is left, what is not yet written is dropped.
    pub fn end(&self) {
        self.closing.set(true);
        let unwritten = self.replies.borrow_mut().drain(..).count();
        self.unwritten.set(self.unwritten.get() - unwritten);
        for (_, slot) in self.open.borrow_mut().drain() {
            slot.put(Order::Left);
        }
    }

    /// The next answer to write; none once the connection is to be closed.
    pub async fn next_reply(&self) -> Option<Given> {
        future::poll_fn(|context| {
            if self.closing.get() {
                return Poll::Ready(None);
            }
            let next = self.replies.borrow_mut().pop_front();
            self.writing.set(next.is_some());
            match next {
                Some(reply) => Poll::Ready(Some(reply)),
                None if self.parting.get() => Poll::Ready(None),
                None => {
                    self.writer.set(Some(context.waker().clone()));
                    Poll::Pending
                }
            }
        })
        .await
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
            if let Some(frame) = frame {
                let begun = Some(arrived).filter(|_| !read.is_empty());
                return Ok(Some(((frame, arrived), (read, arrived, begun))));
            }
            // One that sends at full speed gets its turn as the others do.
            future::yield_now().await;
            // Nothing is taken on a connection that is to be closed: its answer could not be given.
            if client.closing.get() {
                return Ok(None);
            }
            let filled = read.len();
            read.resize(filled + limits.read, 0);
            client.come.set(false);
            let more = match client.stream.get_ref().read(&mut read[filled..]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    read.truncate(filled);
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
