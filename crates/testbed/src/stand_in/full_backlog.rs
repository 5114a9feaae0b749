//! A stand-in cache whose backlog of pending connections is full.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::thread;

use socket2::{Domain, Socket, Type};

use super::{Watched, served, until};

/// Number of connections that fill a backlog of length 0, including those that the system admits beyond the
/// backlog's length.
const FILLER_CONNECTIONS: usize = 4;

/// Length of the backlog once the cache accepts connections. With a shorter one, the system may answer the
/// pending connects that it retries at the same time and then drop some of them, without any sign to their
/// clients.
const OPEN_BACKLOG: i32 = 128;

/// A cache whose backlog is full: connects to it neither succeed nor fail until [`FullBacklogCache::open`] is
/// called.
pub struct FullBacklogCache {
    /// The cache's listening address.
    pub address: SocketAddr,
    /// Number of accepted connections, not counting those that fill the backlog.
    pub accepted: Watched<usize>,
    socket: Socket,
    fillers: Vec<Socket>,
}

impl FullBacklogCache {
    /// Starts a cache on a free port and fills its backlog.
    pub fn start() -> Self {
        let mut cache = Self::start_unfilled();
        cache.fill_backlog();
        cache
    }

    /// Starts a cache on a free port whose backlog is short and not filled yet.
    pub fn start_unfilled() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Self { address, accepted: Watched::default(), socket, fillers: Vec::new() }
    }

    /// Fills the backlog, so that connects neither succeed nor fail from now on.
    fn fill_backlog(&mut self) {
        let address = self.address.into();
        let fill = |_| {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            filler.set_nonblocking(true).unwrap();
            let _ = filler.connect(&address);
            filler
        };
        self.fillers = (0..FILLER_CONNECTIONS).map(fill).collect();
    }

    /// Reads one request, fills the backlog, and then closes the connection of the request without a
    /// response. Must be called while the backlog is not filled.
    pub fn break_off_request(&mut self) {
        let (mut stream, _) = self.socket.accept().unwrap();
        let received = stream.read(&mut [0; 4096]).unwrap();
        assert!(received > 0, "the connection ended before a request");
        self.fill_backlog();
    }

    fn filler_addresses(&self) -> Vec<SocketAddr> {
        let local_address =
            |filler: &Socket| filler.local_addr().ok().and_then(|address| address.as_socket());
        self.fillers.iter().filter_map(local_address).collect()
    }

    /// Waits until the system has begun a connect to this cache, other than those that fill the backlog.
    pub fn wait_for_connect(&self) {
        const SYN_SENT: &str = "02";
        let port = |field: &str| u16::from_str_radix(field.split_once(':')?.1, 16).ok();
        let fillers: Vec<u16> = self.filler_addresses().iter().map(SocketAddr::port).collect();
        until("a connect to the cache to begin", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            table.lines().skip(1).any(|line| {
                let fields: Vec<&str> = line.split_whitespace().collect();
                let from_other = port(fields[1]).is_some_and(|local| !fillers.contains(&local));
                from_other && port(fields[2]) == Some(self.address.port()) && fields[3] == SYN_SENT
            })
        });
    }

    /// Starts accepting connections and serves one request on each; returns the requests as text.
    pub fn open(&self) -> Watched<Vec<String>> {
        let requests = Watched::<Vec<String>>::default();
        self.socket.listen(OPEN_BACKLOG).unwrap();
        let socket = self.socket.try_clone().unwrap();
        let received = requests.clone();
        let accepted = self.accepted.clone();
        let fillers = self.filler_addresses();
        thread::spawn(move || {
            while let Ok((mut stream, from)) = socket.accept() {
                if !from.as_socket().is_some_and(|from| fillers.contains(&from)) {
                    accepted.change(|count| *count += 1);
                }
                let received = received.clone();
                thread::spawn(move || {
                    let mut buffer = [0; 4096];
                    if let Ok(size @ 1..) = stream.read(&mut buffer) {
                        let request = String::from_utf8_lossy(&buffer[..size]).into_owned();
                        received.change(|received| received.push(request));
                        let _ = stream.write_all(&served(b"stuck"));
                    }
                });
            }
        });
        requests
    }
}
