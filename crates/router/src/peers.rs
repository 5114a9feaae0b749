//! What carries messages between routers of a fleet: one connection for each pair and direction, frames of bounded
//! length, bounded queues. A message may be lost; who needs an answer asks again.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{Poll, Waker};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use tindoor_consensus::Frame;

use crate::configuration::limits::PeerLimits;
use crate::log_throttle::LogThrottle;
use crate::timeout::with_timeout;

/// The first line on each connection, with the fleet's and the sender's name after it.
const HELLO: &str = "tindoor-membership 1";

/// Frames that wait for one peer.
#[derive(Default)]
struct Queue {
    frames: RefCell<VecDeque<Vec<u8>>>,
    task: Cell<Option<Waker>>,
}

impl Queue {
    fn put(&self, frame: Vec<u8>, most: usize) {
        let mut frames = self.frames.borrow_mut();
        // The oldest is worth the least: it tells of what was.
        if frames.len() >= most {
            frames.pop_front();
        }
        frames.push_back(frame);
        if let Some(task) = self.task.take() {
            task.wake();
        }
    }

    async fn next(&self) -> Vec<u8> {
        future::poll_fn(|context| match self.frames.borrow_mut().pop_front() {
            Some(frame) => Poll::Ready(frame),
            None => {
                self.task.set(Some(context.waker().clone()));
                Poll::Pending
            }
        })
        .await
    }
}

/// The ways to all peers.
pub struct Peers {
    executor: Rc<LocalExecutor<'static>>,
    limits: PeerLimits,
    hello: String,
    ways: RefCell<HashMap<String, Rc<Queue>>>,
    /// Bytes and frames that were sent, for the figures.
    pub sent: Cell<[u64; 2]>,
    unreadable: LogThrottle,
}

impl Peers {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        limits: PeerLimits,
        fleet: &str,
        name: &str,
    ) -> Rc<Self> {
        let hello = format!("{HELLO} {fleet} {name}\n");
        let (ways, sent, unreadable) = Default::default();
        Rc::new(Self { executor, limits, hello, ways, sent, unreadable })
    }

    /// Sends a frame, as far as there is room and somebody there.
    pub fn send(self: &Rc<Self>, to: &str, frame: &Frame) {
        let bytes = frame.to_bytes();
        if bytes.len() > self.limits.max_message_bytes {
            tracing::error!(to, size = bytes.len(), "a message to a peer is too long, and dropped");
            return;
        }
        let [sum, count] = self.sent.get();
        self.sent.set([sum + bytes.len() as u64, count + 1]);
        let known = self.ways.borrow().get(to).cloned();
        let way = known.or_else(|| {
            let Ok(address) = to.parse::<SocketAddr>() else { return None };
            // Each holds a descriptor: as many as are allowed, and the message is lost beyond that.
            if self.ways.borrow().len() >= self.limits.max_connections {
                return None;
            }
            let queue = Rc::<Queue>::default();
            self.ways.borrow_mut().insert(to.to_string(), Rc::clone(&queue));
            let (peers, to) = (Rc::clone(self), to.to_string());
            let carried = Rc::clone(&queue);
            let carry = async move {
                carry(&peers, address, &carried).await;
                peers.ways.borrow_mut().remove(&to);
            };
            self.executor.spawn(carry).detach();
            Some(queue)
        });
        if let Some(way) = way {
            way.put(bytes, self.limits.max_queued_messages);
        }
    }

    /// Takes in connections of peers for as long as the router runs; each whole frame goes to `heard`.
    pub async fn accept(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        heard: impl Fn(Frame) + Clone + 'static,
    ) {
        let open = Rc::new(Cell::new(0usize));
        loop {
            future::yield_now().await;
            let stream = match listener.accept().await {
                Ok((stream, _)) if open.get() < self.limits.max_connections => stream,
                _ => {
                    Timer::after(self.limits.backoff).await;
                    continue;
                }
            };
            open.set(open.get() + 1);
            let (peers, heard, counted) = (Rc::clone(&self), heard.clone(), Rc::clone(&open));
            let take = async move {
                if let Err(what) = take(&peers, stream, heard).await
                    && what.kind() == io::ErrorKind::InvalidData
                    && let Some(times) = peers.unreadable.record()
                {
                    tracing::warn!(%what, times, "a peer's connection is closed: it can't be read");
                }
                counted.set(counted.get() - 1);
            };
            self.executor.spawn(take).detach();
        }
    }
}

/// Carries what waits for one peer, until nothing has for a while.
async fn carry(peers: &Peers, address: SocketAddr, queue: &Queue) {
    let limits = &peers.limits;
    let mut stream: Option<Async<TcpStream>> = None;
    loop {
        let next = async { Some(queue.next().await) };
        let idle = async {
            Timer::after(limits.idle_timeout).await;
            None
        };
        let Some(frame) = future::or(next, idle).await else { return };
        if stream.is_none() {
            match with_timeout(limits.connect_timeout, Async::<TcpStream>::connect(address)).await {
                Ok(mut new) => {
                    let _ = new.get_ref().set_nodelay(true);
                    let hello =
                        with_timeout(limits.write_timeout, new.write_all(peers.hello.as_bytes())).await;
                    stream = hello.ok().map(|()| new);
                }
                Err(what) => tracing::debug!(%address, %what, "a peer can't be reached"),
            }
        }
        let Some(open) = &mut stream else {
            // What waits was for then. It is asked again, and not at once.
            queue.frames.borrow_mut().clear();
            Timer::after(limits.backoff).await;
            continue;
        };
        let size = (frame.len() as u32).to_be_bytes();
        let whole = [&size[..], &frame].concat();
        if with_timeout(limits.write_timeout, open.write_all(&whole)).await.is_err() {
            stream = None;
        }
    }
}

/// Reads one connection, each frame whole before anything is done by it.
async fn take(peers: &Peers, mut stream: Async<TcpStream>, heard: impl Fn(Frame)) -> io::Result<()> {
    let limits = &peers.limits;
    let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_string());
    let mut line = Vec::new();
    let hello = async {
        let mut byte = [0];
        while line.last() != Some(&b'\n') && line.len() < limits.max_hello_bytes {
            stream.read_exact(&mut byte).await?;
            line.extend(byte);
        }
        Ok(())
    };
    with_timeout(limits.write_timeout, hello).await?;
    let line = String::from_utf8_lossy(&line);
    // The same fleet, by the same form; whoever else comes is told nothing.
    let ours = peers.hello.rsplit_once(' ').map_or("", |(ours, _)| ours);
    if line.rsplit_once(' ').map_or("", |(theirs, _)| theirs) != ours {
        return Err(bad("it is of another fleet, or speaks another form"));
    }
    let mut size = [0; 4];
    loop {
        // A peer that sends without end gets its turn, as all others do.
        future::yield_now().await;
        with_timeout(limits.idle_timeout * 2, stream.read_exact(&mut size)).await?;
        let length = u32::from_be_bytes(size) as usize;
        if length > limits.max_message_bytes {
            return Err(bad("a frame is too long"));
        }
        let mut bytes = vec![0; length];
        with_timeout(limits.write_timeout, stream.read_exact(&mut bytes)).await?;
        heard(Frame::read(&bytes).map_err(|_| bad("a frame is no message"))?);
    }
}
