//! Sends and receives messages between the routers of a fleet, over one connection for each pair of routers
//! and direction. Frame lengths and queues are bounded. A message may be lost: a sender that needs a response
//! repeats its request.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bytes::{Buf, BytesMut};
use futures_lite::future;
use socket2::SockRef;
use tindoor_consensus::Envelope;

use crate::configuration::limits::PeerLimits;
use crate::connections::{ConnectionHandler, ConnectionState, ManagedConnection, Phase, listener_names};
use crate::log_throttle::LogThrottle;
use crate::memory::{IncomingMessage, MemoryAccount, Sender, Standing, receive_some};
use crate::timeout::{with_timeout, write_all_with_progress};

/// The beginning of the first line on each connection, the same in all versions. The names of the fleet and
/// of the sender follow it.
const PREFACE: &str = "tindoor-fleet 1";

/// The size of the length before each message, in bytes.
const LENGTH_BYTES: usize = 4;

/// The time without a message after which an accepted connection is closed, as a multiple of the idle
/// timeout.
const ACCEPTED_IDLE_TIMEOUTS: u32 = 2;

/// The frames to be sent to one peer.
#[derive(Default)]
struct SendQueue {
    frames: RefCell<VecDeque<Vec<u8>>>,
    sender_waker: Cell<Option<Waker>>,
}

impl SendQueue {
    /// Appends a frame. If the queue is full, drops the oldest frame, whose content is the most outdated.
    fn push(&self, frame: Vec<u8>, capacity: usize) {
        let mut frames = self.frames.borrow_mut();
        if frames.len() >= capacity {
            frames.pop_front();
        }
        frames.push_back(frame);
        if let Some(waker) = self.sender_waker.take() {
            waker.wake();
        }
    }

    fn clear(&self) {
        self.frames.borrow_mut().clear();
    }

    async fn pop(&self) -> Vec<u8> {
        future::poll_fn(|context| match self.frames.borrow_mut().pop_front() {
            Some(frame) => Poll::Ready(frame),
            None => {
                self.sender_waker.set(Some(context.waker().clone()));
                Poll::Pending
            }
        })
        .await
    }
}

/// The traffic sent to peers since the start.
#[derive(Clone, Copy, Default)]
pub struct SentTraffic {
    /// The size of all messages, in bytes.
    pub bytes: u64,
    /// The number of messages.
    pub messages: u64,
}

/// The connections to all peers.
pub(super) struct Peers {
    executor: Rc<LocalExecutor<'static>>,
    limits: PeerLimits,
    memory: Rc<MemoryAccount>,
    preface: String,
    queues: RefCell<HashMap<String, Rc<SendQueue>>>,
    sent: Cell<SentTraffic>,
    malformed_log: LogThrottle,
}

impl Peers {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        limits: PeerLimits,
        memory: Rc<MemoryAccount>,
        fleet: &str,
        name: &str,
    ) -> Rc<Self> {
        Rc::new(Self {
            executor,
            limits,
            memory,
            preface: format!("{PREFACE} {fleet} {name}\n"),
            queues: RefCell::default(),
            sent: Cell::default(),
            malformed_log: LogThrottle::default(),
        })
    }

    /// Returns the traffic sent so far.
    pub fn sent(&self) -> SentTraffic {
        self.sent.get()
    }

    /// Queues a message for a peer. Drops the message if it is too long, or if no connection can be opened
    /// for it.
    pub fn send(self: &Rc<Self>, address: &str, envelope: &Envelope) {
        let bytes = envelope.to_bytes();
        if bytes.len() > self.limits.max_message_bytes {
            tracing::error!(
                address,
                size = bytes.len(),
                "message to a peer dropped: it is longer than the limit"
            );
            return;
        }
        let sent = self.sent.get();
        self.sent.set(SentTraffic { bytes: sent.bytes + bytes.len() as u64, messages: sent.messages + 1 });
        let known = self.queues.borrow().get(address).cloned();
        if let Some(queue) = known.or_else(|| self.open_queue(address)) {
            queue.push(bytes, self.limits.max_queued_messages);
        }
    }

    /// Opens the queue of a peer and spawns the task that sends its frames. `None` if the address is invalid,
    /// or if the maximum number of connections is reached; the maximum bounds the file descriptors in use.
    fn open_queue(self: &Rc<Self>, address: &str) -> Option<Rc<SendQueue>> {
        let socket_address: SocketAddr = address.parse().ok()?;
        if self.queues.borrow().len() >= self.limits.connections.max_connections {
            return None;
        }
        let queue = Rc::<SendQueue>::default();
        self.queues.borrow_mut().insert(address.to_string(), Rc::clone(&queue));
        let (peers, key, sending) = (Rc::clone(self), address.to_string(), Rc::clone(&queue));
        let task = async move {
            peers.send_queued(socket_address, &sending).await;
            peers.queues.borrow_mut().remove(&key);
        };
        self.executor.spawn(task).detach();
        Some(queue)
    }

    /// Sends the queued frames to one peer, until the queue has been empty for the idle timeout.
    async fn send_queued(&self, address: SocketAddr, queue: &SendQueue) {
        let mut stream: Option<Async<TcpStream>> = None;
        let mut failed_connects = 0;
        while let Some(frame) = self.next_frame(queue).await {
            if stream.is_none() {
                stream = self.connect(address, failed_connects).await;
            }
            let Some(open) = &mut stream else {
                failed_connects += 1;
                // The queued frames would be outdated after the pause; senders repeat what they still need.
                queue.clear();
                Timer::after(self.limits.backoff).await;
                continue;
            };
            failed_connects = 0;
            let length = (frame.len() as u32).to_be_bytes();
            let bytes = [&length[..], &frame].concat();
            if write_all_with_progress(self.limits.progress_timeout, open, &bytes).await.is_err() {
                stream = None;
            }
        }
    }

    async fn next_frame(&self, queue: &SendQueue) -> Option<Vec<u8>> {
        let next = async { Some(queue.pop().await) };
        let idle = async {
            Timer::after(self.limits.idle_timeout).await;
            None
        };
        future::or(next, idle).await
    }

    /// Connects to a peer. The time limit grows with the number of connects that have failed before.
    async fn connect(&self, address: SocketAddr, failed_connects: u32) -> Option<Async<TcpStream>> {
        let limit = self.limits.connect_timeout_after(failed_connects);
        let mut stream = match with_timeout(limit, Async::<TcpStream>::connect(address)).await {
            Ok(stream) => stream,
            Err(error) => {
                tracing::debug!(
                    %address, %error, failed_connects, "can't connect to a peer; queued messages dropped"
                );
                return None;
            }
        };
        let _ = stream.get_ref().set_nodelay(true);
        let preface = self.preface.as_bytes();
        let written = write_all_with_progress(self.limits.progress_timeout, &mut stream, preface).await;
        written.ok().map(|()| stream)
    }

    fn log_malformed(&self, error: &io::Error) {
        if error.kind() == io::ErrorKind::InvalidData
            && let Some(times) = self.malformed_log.record()
        {
            tracing::warn!(%error, times, "peer connection closed: malformed message");
        }
    }

    /// Reads messages from one connection until either side closes it.
    async fn read_connection(&self, connection: &PeerConnection, receive: impl Fn(Envelope)) {
        let closed = async {
            connection.state.wait_for(Phase::Ended).await;
            Ok(())
        };
        if let Err(error) = future::or(self.read_messages(connection, receive), closed).await {
            self.log_malformed(&error);
        }
    }

    /// Reads messages from one connection, and passes each on once it is complete.
    async fn read_messages(&self, connection: &PeerConnection, receive: impl Fn(Envelope)) -> io::Result<()> {
        let address = connection.stream.get_ref().peer_addr().ok();
        let sender = Sender { listener: listener_names::FLEET, address };
        let message = IncomingMessage::new(&self.memory.incoming, sender);
        let preface = self.read_preface(connection, &message);
        with_timeout(self.limits.progress_timeout, preface).await?;
        connection.state.record_message(Instant::now());
        loop {
            // Yields, so that a peer that sends continuously does not starve the others.
            future::yield_now().await;
            let frame = self.read_frame(connection, &message).await?;
            connection.state.record_message(Instant::now());
            receive(
                Envelope::from_bytes(&frame)
                    .map_err(|_| invalid_data("frame can't be decoded as a message"))?,
            );
        }
    }

    /// Reads the next message, without its length.
    async fn read_frame(
        &self,
        connection: &PeerConnection,
        message: &IncomingMessage,
    ) -> io::Result<BytesMut> {
        loop {
            let frame_bytes = self.frame_bytes(&message.buffer())?;
            if let Some(frame_bytes) = frame_bytes
                && message.len() >= frame_bytes
            {
                let mut frame = message.buffer().split_to(frame_bytes);
                message.complete();
                frame.advance(LENGTH_BYTES);
                return Ok(frame);
            }
            let limit = match message.is_empty() {
                true => self.limits.idle_timeout * ACCEPTED_IDLE_TIMEOUTS,
                false => self.limits.progress_timeout,
            };
            future::yield_now().await;
            let received = receive_some(
                &connection.stream,
                message,
                &self.memory,
                Standing::of(connection.state.has_sent_message()),
                frame_bytes,
            );
            if with_timeout(limit, received).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Returns the size of the frame at the front of `received`, with its length. `None` if the length has not
    /// arrived.
    fn frame_bytes(&self, received: &[u8]) -> io::Result<Option<usize>> {
        let Some(length) = received.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > self.limits.max_message_bytes {
            return Err(invalid_data("frame longer than the limit"));
        }
        Ok(Some(LENGTH_BYTES + length))
    }

    /// Reads the preface, and checks that it has the protocol version and fleet name of this router.
    async fn read_preface(&self, connection: &PeerConnection, message: &IncomingMessage) -> io::Result<()> {
        loop {
            let end = message.buffer().iter().position(|byte| *byte == b'\n');
            if let Some(end) = end.filter(|end| *end < self.limits.max_preface_bytes) {
                let line = message.buffer().split_to(end + 1);
                message.complete();
                return self.check_preface(&String::from_utf8_lossy(&line));
            }
            if message.len() >= self.limits.max_preface_bytes {
                return Err(invalid_data("first line longer than the limit"));
            }
            future::yield_now().await;
            if receive_some(&connection.stream, message, &self.memory, Standing::Unproven, None).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn check_preface(&self, line: &str) -> io::Result<()> {
        if without_sender(line) == without_sender(&self.preface) {
            Ok(())
        } else {
            Err(invalid_data("first line names another fleet or protocol version"))
        }
    }
}

/// A connection accepted from a peer.
struct PeerConnection {
    stream: Async<TcpStream>,
    state: ConnectionState,
    /// The time without a message after which the connection may be closed to make room. Senders close their
    /// side after the same time.
    idle_timeout: Duration,
}

impl ManagedConnection for PeerConnection {
    fn state(&self) -> &ConnectionState {
        &self.state
    }

    fn socket(&self) -> SockRef<'_> {
        SockRef::from(self.stream.get_ref())
    }

    fn is_busy(&self) -> bool {
        self.state.has_sent_message() && self.state.idle_time() < self.idle_timeout
    }

    fn closes_at_shutdown(&self) -> bool {
        false
    }

    /// Ends the connection at once. Its sender learns of that with the next message and connects again.
    fn begin_close(&self) -> bool {
        self.state.advance(Phase::Ended);
        true
    }

    fn stop(&self) {}
}

/// Serves the connections of peers, and passes each message to `receive`.
pub(super) struct PeerHandler<F> {
    pub peers: Rc<Peers>,
    pub receive: F,
}

impl<F: Fn(Envelope) + Clone + 'static> ConnectionHandler for PeerHandler<F> {
    type Listener = TcpListener;

    fn serve(&self, stream: TcpStream) -> io::Result<Rc<dyn ManagedConnection>> {
        let connection = Rc::new(PeerConnection {
            stream: Async::new(stream)?,
            state: ConnectionState::default(),
            idle_timeout: self.peers.limits.idle_timeout,
        });
        let (peers, receive, served) = (Rc::clone(&self.peers), self.receive.clone(), Rc::clone(&connection));
        let task = async move { peers.read_connection(&served, receive).await };
        self.peers.executor.spawn(task).detach();
        Ok(connection)
    }

    fn refuse(&self, stream: TcpStream) {
        drop(stream);
    }
}

/// Returns a preface without the sender's name.
fn without_sender(preface: &str) -> &str {
    preface.rsplit_once(' ').map_or("", |(rest, _)| rest)
}

fn invalid_data(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
