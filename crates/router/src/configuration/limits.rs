//! Every size, count and time that the router keeps to, in one type that is filled at start.

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use tindoor::time::Span;
use tindoor_external_requests::Bounds;

/// How many descriptors are kept for what is neither a client's nor a cache's: about a dozen are in use.
const KEPT_AT_LEAST: usize = 16;
const KEPT_AT_MOST: usize = 32;

/// What the configuration says of the machine and of the connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Machine {
    pub memory_mb: u64,
    pub descriptors: usize,
    pub connect: Duration,
    pub cache_idle: Duration,
    pub open_requests: usize,
    /// The longest deadline of any request class.
    pub cut_off: Duration,
    /// How long a cache that starts takes to be warm.
    pub warm_within: Duration,
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections of clients at once.
    pub client_connections: usize,
    /// How many of them are kept free, or on their way to be closed, for those that come.
    pub clients_closing: usize,
    /// Connections to caches at once, idle ones included.
    pub cache_connections: usize,
    /// Requests in hand at once.
    pub open_requests: usize,
    /// Open calls on one connection.
    pub open_calls: usize,
    /// Answers that may wait on one connection before no more is read from it.
    pub replies: usize,
    /// Bytes of bodies and frames held at once.
    pub buffered: usize,
    /// The longest frame of a client, without its length.
    pub frame: usize,
    /// Frames up to this size are copied out of what was read: a request outlives it, and would pin all of it.
    pub small_frame: usize,
    /// The longest text of a field.
    pub text: usize,
    /// The longest body of a write.
    pub write: usize,
    /// The longest body of an object.
    pub body: usize,
    /// The longest head of a cache's answer.
    pub head: usize,
    /// How much of an answer is read at first, before its length is known.
    pub first_read: usize,
    /// The longest line of the change stream.
    pub line: usize,
    /// What the system may buffer of a client's answers: about one of the longest.
    pub send_buffer: usize,
    /// How much is read at a time.
    pub read: usize,
    /// How long a connection may take to come up.
    pub connect: Duration,
    /// How long a connection to a cache may lie idle; well before the cache closes it.
    pub cache_idle: Duration,
    /// How long the first call of a new connection may be on its way before others that rest make room for
    /// it.
    pub first_call: Duration,
    /// How long a client may take to its first frame, and from the first byte of a frame to its last.
    pub frame_wait: Duration,
    /// How long a client may wait at most; what it says beyond that is cut to it.
    pub patience: Duration,
    /// How long a connection to a cache lies idle before its next use: a second answer, which would pass for that of the
    /// next request, may come some milliseconds after the first.
    pub settle: Duration,
    /// How long the number of a cache that has gone stays its own: the routing engine counts it by what it did for
    /// two warm-ups.
    pub gone_kept: Duration,
    /// How long an answer may wait for its client to take it, from when it was given.
    pub untaken: Duration,
    /// How long the change stream may say nothing: it beats each second, and a new connection, though the first
    /// connect hangs, must be there within 4 s.
    pub feed_silence: Duration,
    /// How long its connection may take to come up.
    pub feed_connect: Duration,
    /// The least pause before the next connection to it; up to twice as long by chance.
    pub feed_pause: Duration,
    /// How long one line of it may take to come whole, however its bytes trickle.
    pub feed_line: Duration,
    /// How long requests may still come after SIGTERM.
    pub last_calls: Duration,
    /// How long after SIGTERM what is open is answered at the latest: it may be killed from the longest
    /// deadline on, but 3 s at most, and 0.7 s more.
    pub stop: Duration,
    /// How long the last answers may take to be written, at the end and on a connection that can't be read.
    pub farewell: Duration,
    /// How long what comes is still read on a connection whose router's side is closed: a call that crossed the close
    /// would reset it, and destroy an answer that was not yet read.
    pub linger: Duration,
    /// The least of that time, where the places of connections run out: what a client sent before the close reached it
    /// has come by then.
    pub crossing: Duration,
    /// How long there may be ever more to read of a client before nothing is sent on for it: a close may lie behind.
    pub unheard: Duration,
    /// How long the address to listen at may be in use at the start.
    pub listen_wait: Duration,
    /// How long to wait before looking again whether a connection can be accepted, or the router can end.
    pub look_again: Duration,
    /// How often idle connections are looked through.
    pub sweep: Duration,
    /// Connections of proxies that call for each request, at once.
    pub proxies: usize,
    /// Calls open on one of them.
    pub streams: usize,
    /// The longest list of headers on it, and the longest message.
    pub header_list: usize,
    pub message: usize,
    /// How many calls a proxy may reset before they are taken, and how many reset ones are remembered.
    pub resets: usize,
    /// What small frames that wait to be read may cost on one connection, by the library's reckoning: two of
    /// them for each stream.
    pub small_frames: usize,
    /// What may wait on one call for its proxy to open a window.
    pub unsent: usize,
    /// When a client may come again whose request could not be taken for want of a lease: once the router has had a
    /// beat or two to find out.
    pub no_lease: Duration,
    /// How long a connection of a proxy may rest.
    pub proxy_idle: Duration,
    /// How long a choice may lie at a proxy before its use, at most.
    pub use_within: Duration,
    /// How long after its time a choice may be reported.
    pub report_within: Duration,
    /// How long a request is kept for the next call of it.
    pub again_within: Duration,
    /// Marks of writes, and tickets of requests that are over, known at once.
    pub idempotency_keys: usize,
    pub over: usize,
    /// Calls that wait for the end of one mark.
    pub waiters: usize,
}

impl Limits {
    pub fn of(machine: Machine) -> Self {
        // Clients get a third; a few are kept for listener, change stream, signals, timers and logs: fewer where the
        // system allows few, as caches must be reached still.
        let kept = (machine.descriptors / 4).clamp(KEPT_AT_LEAST, KEPT_AT_MOST);
        let client_connections = machine.descriptors / 3;
        let memory = machine.memory_mb as usize * 1_000_000;
        Self {
            client_connections,
            clients_closing: client_connections / 8,
            cache_connections: machine.descriptors.saturating_sub(client_connections + kept).max(1),
            open_requests: machine.open_requests,
            open_calls: 32,
            replies: 128,
            buffered: memory / 2,
            frame: 64 << 10,
            small_frame: 4 << 10,
            text: 128,
            write: 48_000,
            body: 240_000,
            head: 8 << 10,
            first_read: 2 << 10,
            line: 1 << 20,
            send_buffer: 256 << 10,
            read: 16 << 10,
            connect: machine.connect,
            cache_idle: machine.cache_idle / 2,
            first_call: Duration::from_millis(250),
            frame_wait: Duration::from_secs(2),
            patience: machine.cut_off.max(Duration::from_secs(60)),
            settle: Duration::from_millis(30),
            gone_kept: machine.warm_within * 3,
            untaken: Duration::from_secs(5),
            feed_silence: Duration::from_millis(1800),
            feed_connect: Duration::from_secs(1),
            feed_pause: Duration::from_millis(100),
            feed_line: Duration::from_millis(2500),
            last_calls: Duration::from_millis(800),
            stop: machine.cut_off.min(Duration::from_secs(3)) + Duration::from_millis(400),
            farewell: Duration::from_millis(200),
            linger: Duration::from_secs(1),
            crossing: Duration::from_millis(60),
            unheard: Duration::from_millis(80),
            listen_wait: Duration::from_secs(8),
            look_again: Duration::from_millis(10),
            sweep: Duration::from_secs(1),
            proxies: (client_connections / 4).max(1),
            streams: 1 << 10,
            header_list: 16 << 10,
            message: 64 << 10,
            resets: 64,
            small_frames: 2 * 256 * (1 << 10),
            unsent: 16 << 10,
            no_lease: Duration::from_millis(400),
            proxy_idle: Duration::from_secs(60),
            use_within: Duration::from_millis(200),
            report_within: Duration::from_millis(250),
            again_within: Duration::from_millis(250),
            idempotency_keys: 1 << 17,
            over: 1 << 17,
            waiters: 8,
        }
    }

    /// Those of the table of calls, with the shortest grace and the longest window of the deployment. A
    /// choice that is given just before a drain or purge is told must be used within half the grace: the
    /// other half is for what is told to reach this router.
    pub fn calls(&self, grace: Duration, window: Duration) -> Bounds {
        let span = |time: Duration| Span::micros(time.as_micros() as u64);
        Bounds {
            requests: self.open_requests,
            idempotency_keys: self.idempotency_keys,
            over: self.over,
            waiters: self.waiters,
            use_within: span(self.use_within.min(grace / 2)),
            report_within: span(self.report_within),
            again_within: span(self.again_within),
            window: span(window),
            longest: span(self.patience),
        }
    }
}

/// Those of what passes between routers of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// Connections to peers, and as many from them.
    pub connections: usize,
    /// The longest message.
    pub frame: usize,
    /// The longest first line.
    pub hello: usize,
    /// Messages that wait for one peer.
    pub queue: usize,
    pub connect: Duration,
    /// How long a message may take to be written, or to come whole.
    pub write: Duration,
    /// How long a connection may rest.
    pub idle: Duration,
    /// The pause after one that failed.
    pub pause: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            connections: 96,
            frame: 1 << 20,
            hello: 256,
            queue: 128,
            connect: Duration::from_millis(400),
            write: Duration::from_secs(2),
            idle: Duration::from_secs(10),
            pause: Duration::from_millis(50),
        }
    }
}

/// What comes of it within its time; an error of kind `TimedOut` after that. A timer costs a system call, so
/// there is none for what is ready at once.
pub async fn within<T>(time: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let mut work = pin!(work);
    if let Some(done) = future::poll_once(work.as_mut()).await {
        return done;
    }
    let late = async {
        Timer::after(time).await;
        Err(io::Error::new(io::ErrorKind::TimedOut, "not in time"))
    };
    future::or(work, late).await
}

/// Counts what would flood the log: the first of a kind is told, then each time that their number doubled.
#[derive(Default)]
pub struct Seldom(Cell<u64>);

impl Seldom {
    /// How many there were, if this one is to be told.
    pub fn told(&self) -> Option<u64> {
        self.0.set(self.0.get() + 1);
        Some(self.0.get()).filter(|count| count.is_power_of_two())
    }
}
