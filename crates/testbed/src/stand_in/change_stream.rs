//! The server of the change stream that a router watches.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use super::Watched;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// An event that a later subscriber gets again.
#[derive(Clone)]
struct PublishedEvent {
    sequence: u64,
    line: String,
}

/// A server of the change stream: records where its subscribers start, and sends what the test has it send.
pub struct ChangeStream {
    /// Where it listens.
    pub address: SocketAddr,
    /// The sequence number that each subscription started from.
    pub subscriptions: Watched<Vec<u64>>,
    /// The sequence number that its heartbeats carry; none while it sends no heartbeats.
    pub heartbeat: Watched<Option<u64>>,
    subscribers: Watched<Vec<TcpStream>>,
    history: Watched<Vec<PublishedEvent>>,
}

impl ChangeStream {
    /// Starts a server on a free port; its heartbeats carry sequence number 1.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = Self {
            address: listener.local_addr().unwrap(),
            subscriptions: Watched::default(),
            heartbeat: Watched::default(),
            subscribers: Watched::default(),
            history: Watched::default(),
        };
        stream.set_heartbeat(1);
        stream.spawn_listener(listener);
        stream.spawn_heartbeats();
        stream
    }

    fn spawn_listener(&self, listener: TcpListener) {
        let subscriptions = self.subscriptions.clone();
        let subscribers = self.subscribers.clone();
        let history = self.history.clone();
        thread::spawn(move || {
            for connection in listener.incoming() {
                let mut connection = connection.unwrap();
                // A router that was killed meanwhile sends nothing.
                let Some(since) = read_subscription(&connection) else {
                    continue;
                };
                let _ = connection.set_write_timeout(Some(WRITE_TIMEOUT));
                subscribers.change(|subscribers| {
                    let published = history.change(|history| history.clone());
                    for event in published.iter().filter(|event| event.sequence > since) {
                        let _ = connection.write_all(event.line.as_bytes());
                    }
                    subscribers.push(connection);
                });
                subscriptions.change(|subscriptions| subscriptions.push(since));
            }
        });
    }

    fn spawn_heartbeats(&self) {
        let heartbeat = self.heartbeat.clone();
        let subscribers = self.subscribers.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT_INTERVAL);
                if let Some(sequence) = heartbeat.change(|heartbeat| *heartbeat) {
                    let line = format!("{sequence}\n");
                    subscribers.change(|subscribers| send_to_all(subscribers, &line));
                }
            }
        });
    }

    /// Waits for `count` subscriptions and returns where each one started.
    pub fn wait_for_subscriptions(&self, count: usize) -> Vec<u64> {
        self.subscriptions.wait("the router to ask the change log", |subscriptions| {
            (subscriptions.len() >= count).then(|| subscriptions.clone())
        })
    }

    /// Sets the sequence number of the next heartbeats, once all events up to it are sent.
    pub fn set_heartbeat(&self, sequence: u64) {
        self.heartbeat.change(|heartbeat| *heartbeat = Some(sequence));
    }

    /// Sends an event to all subscribers, and to later ones that start before it.
    pub fn publish(&self, sequence: u64, line: String) {
        self.subscribers.change(|subscribers| {
            send_to_all(subscribers, &line);
            self.history.change(|history| history.push(PublishedEvent { sequence, line }));
        });
    }

    /// Waits for a subscriber and sends this text to all, not to later ones.
    pub fn send(&self, text: &str) {
        self.subscribers.wait("a connection", |subscribers| {
            send_to_all(subscribers, text);
            (!subscribers.is_empty()).then_some(())
        });
    }

    /// Closes all connections.
    pub fn disconnect(&self) {
        self.subscribers.change(Vec::clear);
    }
}

fn read_subscription(connection: &TcpStream) -> Option<u64> {
    let mut line = String::new();
    let _ = BufReader::new(connection).read_line(&mut line);
    line.trim().strip_prefix("since ")?.parse().ok()
}

/// Sends the text to all subscribers and forgets those whose connection has failed.
fn send_to_all(subscribers: &mut Vec<TcpStream>, text: &str) {
    subscribers.retain_mut(|subscriber| subscriber.write_all(text.as_bytes()).is_ok());
}
