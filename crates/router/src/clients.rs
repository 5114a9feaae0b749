//! Connections of clients: accepting, frames, and one writer each.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{self, IoSlice, Read};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::Instant;

use async_io::{Async, Timer};
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt, Stream, StreamExt, future, stream};
use socket2::SockRef;
use tindoor::control::Control;
use tindoor_thrift::{Fault, Message, Objection, Reply, aborted, application_exception};

use crate::Router;
use crate::caches::Held;
use crate::desk::{Order, Slot};
use crate::limits::{Limits, within};
use crate::view::{self, Call};

/// An answer on its way to the client, with the memory that it stands for.
struct Given {
    reply: Reply,
    at: Instant,
    _held: Option<Held>,
}

/// One connection of a client.
pub struct Client {
    stream: Async<TcpStream>,
    /// The views whose answers are owed, by sequence number.
    open: RefCell<HashMap<i32, Rc<Slot>>>,
    replies: RefCell<VecDeque<Given>>,
    writer: Cell<Option<Waker>>,
    closing: Cell<bool>,
    /// Nothing more is read: what is to be written still are the last answers.
    parting: Cell<bool>,
    /// Something has come that is not yet read.
    come: Cell<bool>,
    /// An answer is being written.
    writing: Cell<bool>,
    /// It has sent a whole frame.
    asked: Cell<bool>,
    /// When something was last read or written; at first, when it came up.
    used: Cell<Instant>,
    /// Answers of all connections that are not yet written.
    unwritten: Rc<Cell<usize>>,
}

impl Client {
    fn new(stream: Async<TcpStream>, unwritten: Rc<Cell<usize>>) -> Self {
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

    fn send(&self, reply: Reply, held: Option<Held>) {
        if !self.closing.get() {
            self.unwritten.set(self.unwritten.get() + 1);
            self.replies.borrow_mut().push_back(Given { reply, at: Instant::now(), _held: held });
            self.wake_writer();
        }
    }

    fn close(&self) {
        self.closing.set(true);
        self.wake_writer();
    }

    fn wake_writer(&self) {
        if let Some(writer) = self.writer.take() {
            writer.wake();
        }
    }

    /// Nothing is open. While an answer is still being written, a next call may come, and would be lost.
    fn is_idle(&self) -> bool {
        let owes = !self.open.borrow().is_empty() || !self.replies.borrow().is_empty() || self.writing.get();
        !owes && !self.come.get() && !self.closing.get()
    }

    /// Closes it, unless a call lies in the system's buffer: a close would destroy it.
    fn make_way(&self) -> bool {
        self.come.set(self.stream.get_ref().peek(&mut [0]).is_ok_and(|size| size > 0));
        if !self.come.get() {
            self.close();
        }
        !self.come.get()
    }

    /// The next answer to write; none once the connection is to be closed.
    async fn next_reply(&self) -> Option<Given> {
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

/// Accepts connections for as long as the router runs.
pub async fn accept(router: Rc<Router>, listener: Async<TcpListener>) {
    let mut clients: Vec<Weak<Client>> = Vec::new();
    loop {
        // Hundreds that connect at once must not keep the connections there are from being served.
        future::yield_now().await;
        clients.retain(|client| client.upgrade().is_some_and(|client| !client.closing.get()));
        if clients.len() >= router.limits.client_connections && !make_room(&clients, &router.limits) {
            Timer::after(router.limits.look_again).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                // What the system buffers for a client that reads slowly counts as memory, too.
                let _ = SockRef::from(stream.get_ref()).set_send_buffer_size(router.limits.send_buffer);
                let client = Rc::new(Client::new(stream, Rc::clone(&router.unwritten)));
                clients.push(Rc::downgrade(&client));
                router.executor.spawn(converse(Rc::clone(&router), client)).detach();
            }
            Err(error) => {
                if let Some(times) = router.no_room.told() {
                    tracing::warn!(%error, times, "can't accept; closing idle connections");
                }
                router.caches.sweep();
                make_room(&clients, &router.limits);
                Timer::after(router.limits.look_again).await;
            }
        }
    }
}

/// Closes a connection on which nothing is open; none may be. Those that did not ask in time go first, so that
/// hundreds of silent ones take no place from clients that ask; then the one idle for longest; and last those that
/// just came, whose first call may be on its way.
fn make_room(clients: &[Weak<Client>], limits: &Limits) -> bool {
    let now = Instant::now();
    let rank = |client: &Rc<Client>| {
        let class = match client.asked.get() {
            true => 1,
            false if now - client.used.get() >= limits.first_call => 0,
            false => 2,
        };
        (class, client.used.get())
    };
    loop {
        let idle = clients.iter().filter_map(Weak::upgrade).filter(|client| client.is_idle());
        match idle.min_by_key(rank) {
            None => return false,
            Some(client) if client.make_way() => return true,
            Some(_) => {}
        }
    }
}

/// One connection until either side closes it; what is still open then has nobody waiting.
async fn converse(router: Rc<Router>, client: Rc<Client>) {
    let ended = future::or(read(&router, &client), write(&router, &client)).await;
    match ended {
        Err(what) if what.kind() == io::ErrorKind::InvalidData => {
            if let Some(times) = router.unreadable.told() {
                tracing::warn!(%what, times, "a client's connection is closed: it can't be read");
            }
            let _ = within(router.limits.farewell, part(&router, &client)).await;
        }
        Err(what) => tracing::debug!(%what, open = client.open.borrow().len(), "a client's connection broke"),
        Ok(()) => {
            let (open, ours) = (client.open.borrow().len(), client.closing.get());
            tracing::debug!(open, ours, "a client's connection ended");
        }
    }
    client.closing.set(true);
    let unwritten = client.replies.borrow_mut().drain(..).count();
    client.unwritten.set(client.unwritten.get() - unwritten);
    for (_, slot) in client.open.borrow_mut().drain() {
        slot.put(Order::Left);
    }
}

/// Has the last answers and the close reach a client that may still be sending: a close with bytes unread resets the
/// connection, which destroys what the client has not read. What comes meanwhile is read and dropped.
async fn part(router: &Router, client: &Client) -> io::Result<()> {
    client.parting.set(true);
    write(router, client).await?;
    client.stream.get_ref().shutdown(Shutdown::Write)?;
    let mut dropped = vec![0; router.limits.read];
    let mut reader = &client.stream;
    while reader.read(&mut dropped).await? > 0 {
        future::yield_now().await;
    }
    Ok(())
}

async fn read(router: &Rc<Router>, client: &Rc<Client>) -> io::Result<()> {
    let mut frames = pin!(frames(client, router.limits));
    while let Some((frame, arrived)) = frames.try_next().await? {
        client.used.set(arrived);
        client.asked.set(true);
        take(router, client, frame, arrived)?;
        // Refusals and `health` stand for no memory in the budget: one that asks and never reads is not heard.
        while client.replies.borrow().len() >= router.limits.replies {
            Timer::after(router.limits.look_again).await;
        }
    }
    Ok(())
}

/// The frames that a client sends, each with when its last byte was read.
fn frames<'a>(
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

fn unreadable(fault: Fault) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{fault:?}"))
}

/// Takes one frame; an error closes the connection.
fn take(router: &Rc<Router>, client: &Rc<Client>, frame: Bytes, arrived: Instant) -> io::Result<()> {
    let size = frame.len();
    let frame = if size <= router.limits.small_frame { Bytes::copy_from_slice(&frame) } else { frame };
    match tindoor_thrift::parse(frame) {
        Ok(Message::Health { seq }) => {
            let good = router.stopping.get().is_none();
            client.send(tindoor_thrift::answer("health", seq, Bytes::new(), &[], good), None);
        }
        Ok(Message::Cancel { seq }) => {
            if let Some(slot) = client.open.borrow_mut().remove(&seq) {
                slot.put(Order::Left);
            }
        }
        Ok(Message::Call { seq, fields, body }) => {
            if client.open.borrow().contains_key(&seq) {
                let text = "a call with this sequence number is open";
                client.send(application_exception(seq, Objection::BadSequence, text), None);
                return Ok(());
            }
            // What can't be taken at all never ran.
            let views = router.decisions.open_views();
            let room =
                client.open.borrow().len() < router.limits.open_calls && views < router.limits.open_views;
            let Some(held) = router.budget.take(size).filter(|_| room) else {
                if let Some(times) = router.no_room.told() {
                    tracing::warn!(views, times, "no room for a view");
                }
                let come_back = router.decisions.tell(Control::come_back);
                client.send(view::turned_back(seq, come_back), None);
                return Ok(());
            };
            let (no, slot) = router.decisions.open_view();
            client.open.borrow_mut().insert(seq, Rc::clone(&slot));
            let call = Call { seq, fields, body, arrived, _held: held };
            let task = view::serve(Rc::clone(router), Rc::clone(client), call, no, slot);
            router.executor.spawn(task).detach();
        }
        Err(Fault::UnknownMethod { seq }) => {
            client.send(application_exception(seq, Objection::UnknownMethod, "no such method"), None);
        }
        Err(Fault::BadArguments { seq, what }) => {
            if let Some(times) = router.unreadable.told() {
                tracing::warn!(what, times, "a call whose arguments can't be read");
            }
            client.send(aborted(seq, &[("reason", what)]), None);
        }
        Err(fault) => return Err(unreadable(fault)),
    }
    Ok(())
}

async fn write(router: &Router, client: &Client) -> io::Result<()> {
    let mut stream = &client.stream;
    while let Some(Given { reply: Reply { mut head, mut body, mut tail }, at, _held }) =
        client.next_reply().await
    {
        // One that takes its answers too slowly is given up: they must not hold memory for others.
        let left = router.limits.untaken.saturating_sub(at.elapsed());
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

#[cfg(test)]
mod stories {
    use super::*;
    use crate::limits::Machine;

    #[test]
    fn a_connection_is_not_idle_while_its_answer_is_written_and_takes_nothing_once_it_is_to_close() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut other = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = Client::new(Async::new(listener.accept().unwrap().0).unwrap(), Rc::default());
        client.send(aborted(1, &[]), None);
        assert!(async_io::block_on(client.next_reply()).is_some());
        assert!(!client.is_idle(), "a call that comes now would be lost by a close");
        assert!(async_io::block_on(future::poll_once(client.next_reply())).is_none());
        assert!(client.is_idle());

        io::Write::write_all(&mut other, &[0, 0, 0, 1, 7]).unwrap();
        async_io::block_on(client.stream.readable()).unwrap();
        let (client, limits) = (Rc::new(client), Limits::of(Machine::default()));
        assert!(!make_room(&[Rc::downgrade(&client)], &limits), "a call has come that is not yet read");
        client.close();
        let mut frames = pin!(frames(&client, limits));
        assert!(async_io::block_on(frames.try_next()).unwrap().is_none());
    }
}
