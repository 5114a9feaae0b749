//! The relay that forwards all messages between the routers under test. The relay drops, delays, duplicates
//! and reorders messages, and blocks the routes between routers. It reads only the length of each message and
//! the name of the sender of each connection. Messages can be recorded for an audit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The faults that the relay injects into the network between routers.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// The probability that a message is lost, from 0 to 1.
    pub loss: f64,
    /// The probability that a message is delayed, from 0 to 1.
    pub delayed: f64,
    /// The probability that a message is duplicated, from 0 to 1.
    pub duplicated: f64,
    /// The upper bound of random delays.
    pub max_delay: Duration,
    /// Routes on which all messages are dropped, as pairs of the sender's and the receiver's name.
    pub severed: BTreeSet<(String, String)>,
}

struct State {
    faults: NetworkFaults,
    random: Pcg64Mcg,
    /// Number of messages that arrived at the relay.
    messages: u64,
    /// Total size of these messages in bytes, including their length headers.
    bytes: u64,
    /// The recorded messages. `None` if messages are not recorded.
    recorded: Option<Vec<RecordedMessage>>,
}

impl State {
    fn record(&mut self, forwarded: bool, route: &Route, frame: &[u8]) {
        let Some(recorded) = &mut self.recorded else { return };
        recorded.push(RecordedMessage {
            at: Instant::now(),
            forwarded,
            from: route.from.clone(),
            to: route.to.clone(),
            message: frame[FRAME_HEADER_BYTES..].to_vec(),
        });
    }
}

/// Size of the length header of each message, in bytes.
const FRAME_HEADER_BYTES: usize = 4;

/// A record of a message that arrived at the relay or was forwarded by it.
#[derive(Clone, Debug)]
pub struct RecordedMessage {
    /// When the message arrived or was forwarded.
    pub at: Instant,
    /// Whether the message was forwarded; if false, this records its arrival.
    pub forwarded: bool,
    /// The sender's name.
    pub from: String,
    /// The receiver's name.
    pub to: String,
    /// The message without its length header.
    pub message: Vec<u8>,
}

/// A relay with one listening address for each router, to which the router's peers connect.
#[derive(Clone)]
pub struct Relay {
    state: Arc<Mutex<State>>,
    /// The relay's listening addresses by router name.
    pub addresses: BTreeMap<String, SocketAddr>,
}

impl Relay {
    /// Starts a relay; `routers` has the listening addresses of the routers by name.
    pub fn start(seed: u64, routers: &BTreeMap<String, SocketAddr>) -> Self {
        let state = Arc::new(Mutex::new(State {
            faults: NetworkFaults::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            messages: 0,
            bytes: 0,
            recorded: None,
        }));
        let mut addresses = BTreeMap::new();
        for (name, to) in routers {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            addresses.insert(name.clone(), listener.local_addr().expect("the listener is bound"));
            let (state, name, to) = (Arc::clone(&state), name.clone(), *to);
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let (state, name) = (Arc::clone(&state), name.clone());
                    thread::spawn(move || drop(relay_connection(&state, stream, name, to)));
                }
            });
        }
        Self { state, addresses }
    }

    /// Changes the faults that are injected into the network.
    pub fn change_faults(&self, change: impl FnOnce(&mut NetworkFaults)) {
        change(&mut self.state.lock().unwrap().faults);
    }

    /// Starts recording all messages and discards earlier records.
    pub fn record(&self) {
        self.state.lock().unwrap().recorded = Some(Vec::new());
    }

    /// Returns the messages recorded so far.
    pub fn recorded(&self) -> Vec<RecordedMessage> {
        self.state.lock().unwrap().recorded.clone().unwrap_or_default()
    }

    /// Returns the number of messages that arrived so far and their total size in bytes.
    pub fn carried(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.messages, state.bytes)
    }
}

/// The names of the sender and the receiver of a connection.
struct Route {
    from: String,
    to: String,
}

/// A queued frame, which is forwarded when it is due. Frames that are due at the same time keep their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueFrame {
    due: Instant,
    /// Sequence number of the frame on its connection.
    order: u64,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct DelayQueueState {
    /// Min-heap by due time.
    frames: BinaryHeap<Reverse<DueFrame>>,
    /// Number of frames pushed so far.
    count: u64,
    closed: bool,
}

/// The queued frames of one connection.
#[derive(Default)]
struct DelayQueue {
    state: Mutex<DelayQueueState>,
    changed: Condvar,
}

impl DelayQueue {
    fn push(&self, due: Instant, bytes: Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        state.count += 1;
        let order = state.count;
        state.frames.push(Reverse(DueFrame { due, order, bytes }));
        drop(state);
        self.changed.notify_one();
    }

    fn close(&self) {
        self.state.lock().unwrap().closed = true;
        self.changed.notify_one();
    }

    /// Waits until the next frame is due and returns it. `None` if the queue is closed and empty.
    fn next(&self) -> Option<Vec<u8>> {
        let mut state = self.state.lock().unwrap();
        loop {
            let now = Instant::now();
            let due = state.frames.peek().map(|Reverse(frame)| frame.due);
            match due {
                Some(due) if due <= now => return state.frames.pop().map(|Reverse(frame)| frame.bytes),
                Some(due) => state = self.changed.wait_timeout(state, due - now).unwrap().0,
                None if state.closed => return None,
                None => state = self.changed.wait(state).unwrap(),
            }
        }
    }
}

/// Forwards the messages of one connection, with the faults of the network.
fn relay_connection(
    state: &Arc<Mutex<State>>,
    downstream: TcpStream,
    to: String,
    address: SocketAddr,
) -> io::Result<()> {
    downstream.set_nodelay(true)?;
    let mut reader = BufReader::new(downstream);
    let mut hello = String::new();
    reader.read_line(&mut hello)?;
    let from = hello.trim().rsplit(' ').next().unwrap_or_default().to_string();
    let route = Arc::new(Route { from, to });
    let mut upstream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    upstream.set_nodelay(true)?;
    upstream.set_write_timeout(Some(Duration::from_secs(30)))?;
    upstream.write_all(hello.as_bytes())?;
    let queue = Arc::new(DelayQueue::default());
    let writer = {
        let (queue, state, route) = (Arc::clone(&queue), Arc::clone(state), Arc::clone(&route));
        thread::spawn(move || forward(&queue, upstream, &state, &route))
    };
    while let Ok(frame) = read_frame(&mut reader) {
        if writer.is_finished() {
            break;
        }
        queue_frame(&mut state.lock().unwrap(), &queue, &route, frame);
    }
    queue.close();
    Ok(())
}

fn read_frame(reader: &mut impl Read) -> io::Result<Vec<u8>> {
    let mut header = [0; FRAME_HEADER_BYTES];
    reader.read_exact(&mut header)?;
    let mut frame = header.to_vec();
    frame.resize(FRAME_HEADER_BYTES + u32::from_be_bytes(header) as usize, 0);
    reader.read_exact(&mut frame[FRAME_HEADER_BYTES..])?;
    Ok(frame)
}

/// Queues a frame for forwarding. Depending on the network's faults, the frame is dropped, delayed or
/// duplicated.
fn queue_frame(state: &mut State, queue: &DelayQueue, route: &Route, frame: Vec<u8>) {
    let now = Instant::now();
    state.messages += 1;
    state.bytes += frame.len() as u64;
    state.record(false, route, &frame);
    let State { faults, random, .. } = state;
    let is_severed = faults.severed.contains(&(route.from.clone(), route.to.clone()));
    if is_severed || random.random_bool(faults.loss) {
        return;
    }
    let mut delay = |share: f64| match random.random_bool(share) {
        true => faults.max_delay.mul_f64(random.random()),
        false => Duration::ZERO,
    };
    if faults.duplicated > 0.0 && delay(faults.duplicated) > Duration::ZERO {
        queue.push(now + delay(1.0), frame.clone());
    }
    queue.push(now + delay(faults.delayed), frame);
}

/// Forwards frames as they become due.
fn forward(queue: &DelayQueue, mut upstream: TcpStream, state: &Mutex<State>, route: &Route) {
    while let Some(frame) = queue.next() {
        // Recorded before it is sent, so that the record precedes every effect of the message.
        state.lock().unwrap().record(true, route, &frame);
        if upstream.write_all(&frame).is_err() {
            return;
        }
    }
}
