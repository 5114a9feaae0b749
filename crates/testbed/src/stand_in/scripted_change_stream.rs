//! A stand-in for a server of the change stream that is slow, stuck or crowded, as a script directs.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::Watched;

/// How often a subscription that waits checks whether the router has closed it.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// A subscription of a router.
pub struct Subscription {
    /// The number of subscriptions before this one.
    pub index: usize,
    /// The sequence number that the subscription starts from.
    pub since: u64,
    stream: TcpStream,
}

impl Subscription {
    /// Sends this text. Returns false if the router has closed the connection.
    pub fn send(&mut self, text: &str) -> bool {
        !self.is_closed() && self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Sends this text in pieces, each after a pause.
    pub fn send_in_pieces(&mut self, text: &str, piece_bytes: usize, pause: Duration) {
        for piece in text.as_bytes().chunks(piece_bytes) {
            thread::sleep(pause);
            self.send(std::str::from_utf8(piece).expect("the text is ASCII"));
        }
    }

    /// Returns whether the router has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(received) => received == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Sends heartbeats with this sequence number until the router closes the connection.
    pub fn send_heartbeats(&mut self, sequence: u64) {
        while self.send(&format!("{sequence}\n")) {
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    /// Waits until the router closes the connection.
    pub fn wait_until_closed(&self) {
        while !self.is_closed() {
            thread::sleep(CLOSE_CHECK_INTERVAL);
        }
    }
}

/// The subscriptions that a scripted change stream has received.
#[derive(Clone, Debug, Default)]
pub struct SubscriptionRecord {
    /// When each subscription was received.
    pub received: Vec<Instant>,
    /// The number of subscriptions whose script still runs.
    pub open: usize,
    /// The maximum of `open` so far.
    pub max_open: usize,
}

/// A change stream server whose subscriptions each run a script.
pub struct ScriptedChangeStream {
    /// The server's listening address.
    pub address: SocketAddr,
    /// The subscriptions so far.
    pub subscriptions: Watched<SubscriptionRecord>,
}

impl ScriptedChangeStream {
    /// Starts a server on a free port that runs the script for each subscription, on a thread of its own. The
    /// connection is closed at the end of the script.
    pub fn start(script: impl Fn(Subscription) + Send + Sync + 'static) -> Self {
        let script = Arc::new(script);
        Self::accept_each(move |subscription, subscriptions| {
            let (script, subscriptions) = (Arc::clone(&script), subscriptions.clone());
            thread::spawn(move || {
                script(subscription);
                subscriptions.change(|record| record.open -= 1);
            });
        })
    }

    /// Starts a server on a free port that serves one subscription after another, each for `service_time`, also
    /// those that their router has closed. From then on it sends heartbeats with this sequence number.
    pub fn start_in_turn(service_time: Duration, sequence: u64) -> Self {
        Self::accept_each(move |mut subscription, subscriptions| {
            thread::sleep(service_time);
            let subscriptions = subscriptions.clone();
            thread::spawn(move || {
                subscription.send_heartbeats(sequence);
                subscriptions.change(|record| record.open -= 1);
            });
        })
    }

    /// Starts a server that passes each subscription to `serve` and then accepts the next.
    fn accept_each(serve: impl Fn(Subscription, &Watched<SubscriptionRecord>) + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let subscriptions = Watched::<SubscriptionRecord>::default();
        let recorded = subscriptions.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(since) = read_subscription(&stream) else { continue };
                let index = recorded.change(|record| {
                    record.received.push(Instant::now());
                    record.open += 1;
                    record.max_open = record.max_open.max(record.open);
                    record.received.len() - 1
                });
                serve(Subscription { index, since, stream }, &recorded);
            }
        });
        Self { address, subscriptions }
    }

    /// Waits for `count` subscriptions, and returns when each one was received.
    pub fn wait_for_subscriptions(&self, count: usize) -> Vec<Instant> {
        self.subscriptions.wait("the router to subscribe to the change stream", |record| {
            (record.received.len() >= count).then(|| record.received.clone())
        })
    }

    /// Returns the number of subscriptions so far.
    pub fn count(&self) -> usize {
        self.subscriptions.change(|record| record.received.len())
    }
}

/// Reads the subscription on a new connection, and returns the sequence number that it starts from. `None` if the
/// router closed the connection without one.
pub(super) fn read_subscription(stream: &TcpStream) -> Option<u64> {
    let mut line = String::new();
    let _ = BufReader::new(stream).read_line(&mut line);
    line.trim().strip_prefix("since ")?.parse().ok()
}
