//! The relay that carries all messages between routers under test: it loses, delays, duplicates and reorders
//! them, and cuts routers off from others. It reads only a message's length and its sender; messages can be
//! recorded for an audit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The faults of the network between routers.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that are delayed.
    pub delayed: f64,
    /// The share of messages that are duplicated.
    pub duplicated: f64,
    /// The longest delay.
    pub max_delay: Duration,
    /// Routes that carry nothing, by the names of sender and receiver.
    pub severed: BTreeSet<(String, String)>,
}

struct State {
    faults: NetworkFaults,
    random: Pcg64Mcg,
    /// Number of messages that arrived.
    messages: u64,
    /// Their size, lengths included.
    bytes: u64,
    /// None where messages are not recorded.
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

/// Size of the length in front of each message, in bytes.
const FRAME_HEADER_BYTES: usize = 4;

/// A message that arrived at the relay, or that it forwarded.
#[derive(Clone, Debug)]
pub struct RecordedMessage {
    /// When it arrived, or was forwarded.
    pub at: Instant,
    /// Whether this records that it was forwarded.
    pub forwarded: bool,
    /// The sender's name.
    pub from: String,
    /// The receiver's name.
    pub to: String,
    /// The message without its length.
    pub message: Vec<u8>,
}

/// The relay, with one address for each router at which its peers reach it.
#[derive(Clone)]
pub struct Relay {
    state: Arc<Mutex<State>>,
    /// The addresses by the routers' names.
    pub addresses: BTreeMap<String, SocketAddr>,
}

impl Relay {
    /// Starts a relay for routers that listen at these addresses, by their names.
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
            addresses.insert(name.clone(), listener.local_addr().expect("it is bound"));
            let (state, name, to) = (Arc::clone(&state), name.clone(), *to);
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let (state, name) = (Arc::clone(&state), name.clone());
                    thread::spawn(move || drop(carry(&state, stream, name, to)));
                }
            });
        }
        Self { state, addresses }
    }

    /// Changes the faults of the network.
    pub fn change_faults(&self, change: impl FnOnce(&mut NetworkFaults)) {
        change(&mut self.state.lock().unwrap().faults);
    }

    /// Records all messages from now on.
    pub fn record(&self) {
        self.state.lock().unwrap().recorded = Some(Vec::new());
    }

    /// The messages recorded so far.
    pub fn recorded(&self) -> Vec<RecordedMessage> {
        self.state.lock().unwrap().recorded.clone().unwrap_or_default()
    }

    /// Number and size in bytes of the messages that arrived so far.
    pub fn carried(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.messages, state.bytes)
    }
}

/// The names of a connection's sender and receiver.
struct Route {
    from: String,
    to: String,
}

/// A frame that waits until it is due. Frames that are due at the same time keep their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueFrame {
    due: Instant,
    /// Number of the frame on its connection.
    order: u64,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct DelayQueueState {
    /// The one that is due first is the greatest.
    frames: BinaryHeap<Reverse<DueFrame>>,
    count: u64,
    closed: bool,
}

/// The frames that wait on one connection.
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

    /// Waits for the next frame that is due; none once the queue is closed and empty.
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

/// Carries the messages of one connection.
fn carry(
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
        deliver(&mut state.lock().unwrap(), &queue, &route, frame);
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

/// Queues a frame, as often and as late as the network's faults have it.
fn deliver(state: &mut State, queue: &DelayQueue, route: &Route, frame: Vec<u8>) {
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
        // Recorded before it is sent, so that whatever the receiver does with it comes later.
        state.lock().unwrap().record(true, route, &frame);
        if upstream.write_all(&frame).is_err() {
            return;
        }
    }
}
