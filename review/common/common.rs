//! What the cases share: files, free ports, the router's process, a change log, an HTTP/1.1 server and client,
//! and a client of the external processing service (gRPC over HTTP/2). Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a case: what was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = File::create(path).unwrap_or_else(|error| quit(&format!("{path}: {error}")));
        Arc::new(Self { file: Mutex::new(file), begun: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>6} ms  {text}");
    }
}

/// Ends the case as one that could not run.
pub fn quit(problem: &str) -> ! {
    eprintln!("could not run: {problem}");
    std::process::exit(COULD_NOT_RUN);
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("tindoor-{name}-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| quit(&format!("temporary folder: {error}")));
        Self(path)
    }

    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap_or_else(|error| quit(&format!("{}: {error}", path.display())));
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).map_or(0, |at| at.port())
}

/// A router's process, started as the deploy file says, with a fronts file. It is killed when dropped.
pub struct Router {
    child: Child,
    log: PathBuf,
}

impl Router {
    pub fn start(name: &str, listen: &str, configuration: &Path, fronts: &Path, log: &Path) -> Self {
        let command = "exec target/release/tindoor serve \"$PROXY_CONFIG\" --fronts \"$FRONTS\"";
        Self::run(command, name, listen, configuration, fronts, log)
    }

    /// Starts a router on the platform's front alone, by the deploy file's `run`.
    pub fn start_platform(name: &str, listen: &str, configuration: &Path, log: &Path) -> Self {
        Self::run("exec target/release/tindoor", name, listen, configuration, Path::new(""), log)
    }

    fn run(command: &str, name: &str, listen: &str, configuration: &Path, fronts: &Path, log: &Path) -> Self {
        let _ = std::fs::remove_file(log);
        let output = OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", listen)
            .env("PROXY_CONFIG", configuration)
            .env("FRONTS", fronts)
            .env("TINDOOR_LOG", "info")
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap_or_else(|error| quit(&format!("the router: {error}")));
        note_process(&child.id().to_string());
        Self { child, log: log.to_path_buf() }
    }

    /// Waits until the router logs `ready`; false if that takes over 10 s.
    pub fn wait_ready(&self) -> bool {
        for _ in 0..1000 {
            if std::fs::read_to_string(&self.log).unwrap_or_default().contains("ready") {
                return true;
            }
            sleep_ms(10);
        }
        false
    }

    /// Sends SIGHUP: the configuration file has been replaced.
    pub fn hang_up(&self) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -HUP {}", self.child.id())]).status();
    }

    /// Kills the router outright (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        note_process("");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Tells the shell script which process still runs, so that it can end it whatever becomes of this one.
fn note_process(id: &str) {
    if let Some(file) = std::env::var_os("PROCESSES") {
        let _ = std::fs::write(file, id);
    }
}

/// Ends the process after this time with "could not run", whatever else happens. The router is ended by the
/// shell script.
pub fn limit_time(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        quit("the time limit of the case");
    });
}

/// A change log that has nothing new to tell: each second the last number. Returns its address.
pub fn serve_change_log(last: u64) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut stream = stream;
                while writeln!(stream, "{last}").is_ok() {
                    sleep_ms(1000);
                }
            });
        }
    });
    address
}

/// A head of HTTP/1.1 (request or response) with its body.
pub struct Message {
    pub first: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Reads one message. `None` once the connection ends.
pub fn read_message(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(end) = unread.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&unread[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or_default().to_string();
            let fields: HashMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
                .collect();
            let length: usize = fields.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            while unread.len() < end + 4 + length {
                fill(stream, unread)?;
            }
            let body = unread[end + 4..end + 4 + length].to_vec();
            unread.drain(..end + 4 + length);
            return Some(Message { first, fields, body });
        }
        fill(stream, unread)?;
    }
}

fn fill(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 4096];
    let size = stream.read(&mut chunk).ok().filter(|size| *size > 0)?;
    unread.extend_from_slice(&chunk[..size]);
    Some(())
}

/// What a server does with a request: the response's bytes, or none to end the connection without one.
pub type Handler = dyn Fn(Message) -> Option<Vec<u8>> + Send + Sync;

/// An HTTP/1.1 server, one request at a time on a connection. Returns its address.
pub fn serve_http(handler: Arc<Handler>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let (mut stream, mut unread) = (stream, Vec::new());
                let _ = stream.set_nodelay(true);
                while let Some(request) = read_message(&mut stream, &mut unread) {
                    let Some(response) = handler(request) else { return };
                    if stream.write_all(&response).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Whether a peer has ended a connection (its end or an error is there to read). Does not wait.
pub fn has_ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let ended = match stream.peek(&mut [0]) {
        Ok(size) => size == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    ended
}

/// Whether there are bytes to read, or the end.
pub fn has_input(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let input = match stream.peek(&mut [0]) {
        Ok(_) => true,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    input
}

// ---- The platform's front, as a client calls it ----------------------------------------------------------

/// One call in Thrift's framed strict binary protocol, with an empty body.
pub fn thrift_call(sequence: i32, fields: &[(&str, &str)]) -> Vec<u8> {
    let text = |out: &mut Vec<u8>, text: &str| {
        out.extend((text.len() as u32).to_be_bytes());
        out.extend(text.as_bytes());
    };
    let mut message = 0x8001_0001u32.to_be_bytes().to_vec();
    text(&mut message, "call");
    message.extend(sequence.to_be_bytes());
    message.extend([13, 0, 1, 11, 11]);
    message.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        text(&mut message, name);
        text(&mut message, value);
    }
    message.extend([11, 0, 2, 0, 0, 0, 0, 0]);
    let mut frame = (message.len() as u32).to_be_bytes().to_vec();
    frame.extend(message);
    frame
}

/// Reads one frame. `None` once the connection ends.
pub fn read_frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame).ok()?;
    Some(frame)
}

// ---- The external processing service, as a proxy calls it -----------------------------------------------

/// One stream of the service, on a connection of its own.
pub struct Processing {
    pub stream: TcpStream,
    frames: Vec<u8>,
    data: Vec<u8>,
}

/// The router's reply to a message.
pub enum Reply {
    /// Go on; the headers to set.
    Continue(HashMap<String, String>),
    /// Answer the client with this status and these headers.
    Immediate(u64, HashMap<String, String>),
    /// The stream or the connection ended.
    Ended,
}

impl Processing {
    /// Connects and sends the request's headers. The error says why that did not work.
    pub fn open(front: &str, headers: &[(String, String)]) -> io::Result<Self> {
        let mut stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
        push_frame(&mut bytes, 4, 0, 0, &[]);
        let mut block = Vec::new();
        let path = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";
        let pseudo = [(":method", "POST"), (":scheme", "http"), (":path", path), (":authority", "router")];
        for (name, value) in pseudo.into_iter().chain([("content-type", "application/grpc"), ("te", "trailers")]) {
            block.extend([0, name.len() as u8]);
            block.extend(name.as_bytes());
            block.push(value.len() as u8);
            block.extend(value.as_bytes());
        }
        push_frame(&mut bytes, 1, 4, 1, &block);
        stream.write_all(&bytes)?;
        let mut processing = Self { stream, frames: Vec::new(), data: Vec::new() };
        processing.send(2, headers)?;
        Ok(processing)
    }

    /// Sends the headers of the cache's response: the report.
    pub fn report(&mut self, headers: &[(String, String)]) -> io::Result<()> {
        self.send(3, headers)
    }

    /// Ends the proxy's side of the stream; the connection stays open.
    pub fn finish(&mut self) -> io::Result<()> {
        let mut frame = Vec::new();
        push_frame(&mut frame, 0, 1, 1, &[]);
        self.stream.write_all(&frame)
    }

    /// Sends a `ProcessingRequest` with these headers in the field with this tag.
    fn send(&mut self, tag: u8, headers: &[(String, String)]) -> io::Result<()> {
        let mut map = Vec::new();
        for (name, value) in headers {
            let mut header = Vec::new();
            push_field(&mut header, 1, name.as_bytes());
            push_field(&mut header, 3, value.as_bytes());
            push_field(&mut map, 1, &header);
        }
        let (mut http_headers, mut message) = (Vec::new(), Vec::new());
        push_field(&mut http_headers, 1, &map);
        push_field(&mut message, tag, &http_headers);
        let mut data = vec![0];
        data.extend((message.len() as u32).to_be_bytes());
        data.extend(message);
        let mut frame = Vec::new();
        push_frame(&mut frame, 0, 0, 1, &data);
        self.stream.write_all(&frame)
    }

    /// Waits for the next reply, for this long at most.
    pub fn reply(&mut self, limit: Duration) -> Reply {
        let until = Instant::now() + limit;
        loop {
            if self.data.len() >= 5 {
                let length = u32::from_be_bytes(self.data[1..5].try_into().unwrap()) as usize;
                if self.data.len() >= 5 + length {
                    let message: Vec<u8> = self.data.drain(..5 + length).skip(5).collect();
                    return parse_reply(&message);
                }
            }
            if self.frames.len() >= 9 {
                let length = u32::from_be_bytes([0, self.frames[0], self.frames[1], self.frames[2]]) as usize;
                if self.frames.len() >= 9 + length {
                    let frame: Vec<u8> = self.frames.drain(..9 + length).collect();
                    match self.take_frame(&frame) {
                        true => continue,
                        false => return Reply::Ended,
                    }
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Reply::Ended;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(size) if size > 0 => self.frames.extend_from_slice(&chunk[..size]),
                _ => return Reply::Ended,
            }
        }
    }

    /// Handles one frame; false if it ends the stream.
    fn take_frame(&mut self, frame: &[u8]) -> bool {
        let (kind, flags, payload) = (frame[3], frame[4], &frame[9..]);
        match kind {
            0 => self.data.extend_from_slice(payload),
            1 => return flags & 1 == 0,
            3 | 7 => return false,
            4 if flags & 1 == 0 => {
                let mut acknowledgement = Vec::new();
                push_frame(&mut acknowledgement, 4, 1, 0, &[]);
                return self.stream.write_all(&acknowledgement).is_ok();
            }
            6 if flags & 1 == 0 => {
                let mut pong = Vec::new();
                push_frame(&mut pong, 6, 1, 0, payload);
                return self.stream.write_all(&pong).is_ok();
            }
            _ => {}
        }
        true
    }
}

fn push_frame(bytes: &mut Vec<u8>, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
    bytes.extend(&(payload.len() as u32).to_be_bytes()[1..]);
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
}

fn push_field(bytes: &mut Vec<u8>, tag: u8, content: &[u8]) {
    bytes.push(tag << 3 | 2);
    let mut length = content.len();
    while length >= 0x80 {
        bytes.push(length as u8 | 0x80);
        length >>= 7;
    }
    bytes.push(length as u8);
    bytes.extend(content);
}

/// The fields of a message: tag, number (of a varint) and content (of a length-delimited field).
fn fields(mut bytes: &[u8]) -> Vec<(u64, u64, Vec<u8>)> {
    let mut found = Vec::new();
    while !bytes.is_empty() {
        let key = varint(&mut bytes);
        match key & 7 {
            0 => found.push((key >> 3, varint(&mut bytes), Vec::new())),
            2 => {
                let length = (varint(&mut bytes) as usize).min(bytes.len());
                found.push((key >> 3, 0, bytes[..length].to_vec()));
                bytes = &bytes[length..];
            }
            _ => return found,
        }
    }
    found
}

fn varint(bytes: &mut &[u8]) -> u64 {
    let (mut value, mut shift) = (0, 0);
    while let Some((first, rest)) = bytes.split_first() {
        *bytes = rest;
        value |= u64::from(first & 0x7f) << shift;
        shift += 7;
        if first & 0x80 == 0 {
            break;
        }
    }
    value
}

fn inner(bytes: &[u8], tag: u64) -> Vec<Vec<u8>> {
    fields(bytes).into_iter().filter(|field| field.0 == tag).map(|field| field.2).collect()
}

/// Reads a `HeaderMutation`'s headers to set.
fn set_headers(mutation: &[u8]) -> HashMap<String, String> {
    let mut headers = HashMap::new();
    for header in inner(mutation, 1).iter().flat_map(|option| inner(option, 1)) {
        let text = |tag| inner(&header, tag).first().map(|value| String::from_utf8_lossy(value).into_owned());
        let value = text(3).filter(|value| !value.is_empty()).or(text(2)).unwrap_or_default();
        headers.insert(text(1).unwrap_or_default(), value);
    }
    headers
}

fn parse_reply(message: &[u8]) -> Reply {
    for (tag, _, content) in fields(message) {
        match tag {
            1 | 2 => {
                let mutations: Vec<Vec<u8>> =
                    inner(&content, 1).iter().flat_map(|common| inner(common, 2)).collect();
                return Reply::Continue(mutations.iter().flat_map(|bytes| set_headers(bytes)).collect());
            }
            7 => {
                let status = inner(&content, 1).first().map_or(0, |status| fields(status)[0].1);
                let headers = inner(&content, 2).first().map_or(HashMap::new(), |bytes| set_headers(bytes));
                return Reply::Immediate(status, headers);
            }
            _ => {}
        }
    }
    Reply::Ended
}

pub fn pairs(list: &[(&str, &str)]) -> Vec<(String, String)> {
    list.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// A number that differs from start to start.
pub fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
