//! A stand-in HTTP/1.1 cache. A closure chooses the cache's behavior for each request.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::Watched;

/// How a cache handles a request.
#[derive(Clone)]
pub enum Behavior {
    /// Writes these bytes immediately.
    Respond(Vec<u8>),
    /// Writes these bytes, then closes the connection.
    RespondAndClose(Vec<u8>),
    /// Resets the connection.
    Reset,
    /// Does nothing until the router closes the connection.
    Hang,
    /// Writes these bytes once the gate is released.
    RespondOnRelease(Watched<bool>, Vec<u8>),
    /// Waits for this time, then writes the bytes that the closure returns.
    RespondAfter(Duration, Completion),
}

/// Returns the response to a request that was delayed by [`Behavior::RespondAfter`]. The argument is true if
/// the router still waits for the response.
pub type Completion = Arc<dyn Fn(bool) -> Vec<u8> + Send + Sync>;

/// Returns an HTTP response with this status, these header lines and this body.
pub fn http_response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Returns the response of a cache that holds the object.
pub fn served(body: &[u8]) -> Vec<u8> {
    http_response(200, "X-Remark: warm\r\nX-Version: 4be0c1927d55a6f3\r\n", body)
}

/// A request that a cache has received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request line: method, target and version.
    pub request_line: String,
    /// Header values by lower-case header name.
    pub headers: HashMap<String, String>,
    /// The request body.
    pub body: Vec<u8>,
    /// Index of the request's connection, in the order in which connections were accepted.
    pub connection: usize,
}

type Script = dyn Fn(&ReceivedRequest) -> Behavior + Send + Sync;

/// A cache that handles each request as its script chooses.
pub struct Cache {
    /// The cache's listening address.
    pub address: SocketAddr,
    /// All requests received so far.
    pub received: Watched<Vec<ReceivedRequest>>,
    /// Number of connections that were closed.
    pub closed: Watched<usize>,
    /// Number of responses written by [`Behavior::RespondOnRelease`].
    pub released: Watched<usize>,
}

/// The state that all connections of one cache share.
#[derive(Clone)]
struct Shared {
    script: Arc<Script>,
    received: Watched<Vec<ReceivedRequest>>,
    closed: Watched<usize>,
    released: Watched<usize>,
}

impl Cache {
    /// Starts a cache on a free port; `script` chooses the behavior for each request.
    pub fn start(script: impl Fn(&ReceivedRequest) -> Behavior + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Shared {
            script: Arc::new(script),
            received: Watched::default(),
            closed: Watched::default(),
            released: Watched::default(),
        };
        let cache = Self {
            address,
            received: shared.received.clone(),
            closed: shared.closed.clone(),
            released: shared.released.clone(),
        };
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = shared.serve_connection(connection, stream.unwrap());
                    shared.closed.change(|closed| *closed += 1);
                });
            }
        });
        cache
    }

    /// Waits until `count` requests were received and returns all requests received so far.
    pub fn requests(&self, count: usize) -> Vec<ReceivedRequest> {
        self.received.wait("requests", |received| (received.len() >= count).then(|| received.clone()))
    }

    /// Returns the number of requests received so far.
    pub fn count(&self) -> usize {
        self.received.change(|received| received.len())
    }
}

impl Shared {
    fn serve_connection(&self, connection: usize, stream: TcpStream) -> Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = read_request(&mut reader, connection)? {
            self.received.change(|received| received.push(request.clone()));
            match (self.script)(&request) {
                Behavior::Respond(bytes) => writer.write_all(&bytes)?,
                // An explicit shutdown is required: a process that is just being started may briefly hold a
                // copy of the descriptor, and dropping the stream would then not close the connection.
                Behavior::RespondAndClose(bytes) => {
                    writer.write_all(&bytes)?;
                    return writer.shutdown(Shutdown::Both);
                }
                Behavior::Reset => return SockRef::from(&writer).set_linger(Some(Duration::ZERO)),
                Behavior::Hang => return reader.read(&mut [0]).map(drop),
                Behavior::RespondAfter(time, completion) => {
                    thread::sleep(time);
                    let router_waits = peer_is_open(&writer)?;
                    writer.write_all(&completion(router_waits))?;
                }
                Behavior::RespondOnRelease(gate, bytes) => {
                    gate.wait("the test to release a response", |open| open.then_some(()));
                    writer.write_all(&bytes)?;
                    self.released.change(|count| *count += 1);
                }
            }
        }
        Ok(())
    }
}

/// Reads the next request. `None` if the connection ends.
fn read_request(reader: &mut BufReader<TcpStream>, connection: usize) -> Result<Option<ReceivedRequest>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_string()),
        }
    }
    let headers: HashMap<String, String> = lines[1..]
        .iter()
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_string()))
        .collect();
    let length = headers.get("content-length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(ReceivedRequest { request_line: lines[0].clone(), headers, body, connection }))
}

/// Whether the peer has neither closed nor reset the connection.
fn peer_is_open(stream: &TcpStream) -> Result<bool> {
    stream.set_nonblocking(true)?;
    let is_open = !matches!(stream.peek(&mut [0]), Ok(0))
        && !stream.peek(&mut [0]).is_err_and(|error| error.kind() != ErrorKind::WouldBlock);
    stream.set_nonblocking(false)?;
    Ok(is_open)
}
