//! A stand-in for the server of the change stream to which routers subscribe.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use super::Watched;
use super::scripted_change_stream::read_subscription;

/// How often heartbeats are sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Upper bound of a write to a subscriber.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// An event that is also sent to later subscribers.
#[derive(Clone)]
struct PublishedEvent {
    sequence: u64,
    line: String,
}

/// A change stream server: records the sequence number that each subscription starts from, and sends events
/// and heartbeats as directed by the test.
pub struct ChangeStream {
    /// The server's listening address.
    pub address: SocketAddr,
    /// The sequence number that each subscription started from.
    pub subscriptions: Watched<Vec<u64>>,
    /// The sequence number in the server's heartbeats. `None` if no heartbeats are sent.
    pub heartbeat: Watched<Option<u64>>,
    subscribers: Watched<Vec<TcpStream>>,
    history: Watched<Vec<PublishedEvent>>,
}

impl ChangeStream {
    /// Starts a server on a free port; its heartbeats have sequence number 1.
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
                // A router that was killed after its connect sends no subscription.
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

    /// Waits for `count` subscriptions and returns the sequence number that each one started from.
    pub fn wait_for_subscriptions(&self, count: usize) -> Vec<u64> {
        self.subscriptions.wait("the router to subscribe to the change stream", |subscriptions| {
            (subscriptions.len() >= count).then(|| subscriptions.clone())
        })
    }

    /// Sets the sequence number of the next heartbeats. All events up to this number must have been sent.
    pub fn set_heartbeat(&self, sequence: u64) {
        self.heartbeat.change(|heartbeat| *heartbeat = Some(sequence));
    }

    /// Sends an event to all subscribers, and later to each new subscriber that starts before the event.
    pub fn publish(&self, sequence: u64, line: String) {
        self.subscribers.change(|subscribers| {
            send_to_all(subscribers, &line);
            self.history.change(|history| history.push(PublishedEvent { sequence, line }));
        });
    }

    /// Waits until there is a subscriber, and sends this text to all current subscribers. Later subscribers
    /// do not receive the text.
    pub fn send(&self, text: &str) {
        self.subscribers.wait("a subscriber", |subscribers| {
            send_to_all(subscribers, text);
            (!subscribers.is_empty()).then_some(())
        });
    }

    /// Closes the connections of all subscribers.
    pub fn disconnect(&self) {
        self.subscribers.change(Vec::clear);
    }
}

/// Sends the text to all subscribers, and removes subscribers whose connection has failed.
fn send_to_all(subscribers: &mut Vec<TcpStream>, text: &str) {
    subscribers.retain_mut(|subscriber| subscriber.write_all(text.as_bytes()).is_ok());
}
