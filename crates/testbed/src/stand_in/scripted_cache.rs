//! A cache over HTTP/1.1 whose behavior a closure decides for each request.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::Watched;

/// What a cache does with a request.
#[derive(Clone)]
pub enum Behavior {
    /// Writes these bytes at once.
    Respond(Vec<u8>),
    /// Writes these bytes, then closes the connection.
    RespondAndClose(Vec<u8>),
    /// Resets the connection.
    Reset,
    /// Does nothing until the router closes the connection.
    Hang,
    /// Writes these bytes once the gate is released.
    RespondOnRelease(Watched<bool>, Vec<u8>),
    /// Works for this long, then writes what the closure returns.
    RespondAfter(Duration, Completion),
}

/// Makes the response of a request that ran for a while; the argument says whether the router still waits for
/// it.
pub type Completion = Arc<dyn Fn(bool) -> Vec<u8> + Send + Sync>;

/// An HTTP response with this status, these header lines and this body.
pub fn http_response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// The response of a cache that had the object.
pub fn served(body: &[u8]) -> Vec<u8> {
    http_response(200, "X-Remark: warm\r\nX-Version: 4be0c1927d55a6f3\r\n", body)
}

/// A request as a cache received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Method, target and version.
    pub request_line: String,
    /// Header values by their name in lower case.
    pub headers: HashMap<String, String>,
    /// The request's body.
    pub body: Vec<u8>,
    /// Index of the connection that it came on, in the order of their acceptance.
    pub connection: usize,
}

type Script = dyn Fn(&ReceivedRequest) -> Behavior + Send + Sync;

/// A cache that behaves as its script says.
pub struct Cache {
    /// Where it listens.
    pub address: SocketAddr,
    /// All requests so far.
    pub received: Watched<Vec<ReceivedRequest>>,
    /// Number of connections that have ended.
    pub closed: Watched<usize>,
    /// Number of responses that were written after a release.
    pub released: Watched<usize>,
}

/// What the connections of one cache share.
#[derive(Clone)]
struct Shared {
    script: Arc<Script>,
    received: Watched<Vec<ReceivedRequest>>,
    closed: Watched<usize>,
    released: Watched<usize>,
}

impl Cache {
    /// Starts a cache on a free port; `script` decides what it does with each request.
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

    /// Waits for `count` requests and returns all that were received by then.
    pub fn requests(&self, count: usize) -> Vec<ReceivedRequest> {
        self.received.wait("requests", |received| (received.len() >= count).then(|| received.clone()))
    }

    /// Number of requests received so far.
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
                // Shut down, as a process just being started may hold a copy of the descriptor for a moment.
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

/// Reads the next request, none where the connection ends.
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

/// Whether the other end has neither closed nor reset the connection.
fn peer_is_open(stream: &TcpStream) -> Result<bool> {
    stream.set_nonblocking(true)?;
    let is_open = !matches!(stream.peek(&mut [0]), Ok(0))
        && !stream.peek(&mut [0]).is_err_and(|error| error.kind() != ErrorKind::WouldBlock);
    stream.set_nonblocking(false)?;
    Ok(is_open)
}
