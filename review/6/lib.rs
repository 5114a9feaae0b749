//! What the cases of the second review share: a record, the router's process, a change stream, HTTP and
//! Thrift. Standard library only; every address is a loopback address.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The header lines of a message, by lower-case name.
pub type Fields = HashMap<String, String>;

/// The processes that the case has started and not ended yet.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that the case started, then the case itself.
fn exit(code: i32) -> ! {
    for child in STARTED.lock().unwrap().iter() {
        let mut child = child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
    std::process::exit(code)
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: impl std::fmt::Display) -> ! {
    eprintln!("the case could not run: {why}");
    exit(NOT_RUN)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a case: `record.txt` in its folder, one line an event, with milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let path = folder.join("record.txt");
        let file = File::create(&path).unwrap_or_else(|error| cannot_run(format!("{}: {error}", path.display())));
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>9.1} {}\n", self.now_ms(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        let _ = file.flush();
    }
}

/// What a case is started with: its folder, a temporary folder, and whether there is to be trouble.
pub struct Case {
    pub record: Record,
    pub temporary: PathBuf,
    pub trouble: bool,
}

impl Case {
    pub fn start(folder: &str, temporary: &str) -> Self {
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(Path::new(folder));
        record.line(format!("case begins, trouble {}", u8::from(trouble)));
        Self { record, temporary: PathBuf::from(temporary), trouble }
    }

    /// Writes the verdict and ends the process.
    pub fn end(&self, broken: bool, why: &str) -> ! {
        let verdict = if broken { "RULE BROKEN" } else { "rule held" };
        self.record.line(format!("{verdict}: {why}"));
        println!("{verdict}: {why}");
        exit(if broken { BROKEN } else { HELD })
    }
}

/// A port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).unwrap_or_else(|e| cannot_run(e))
}

/// A process of the router. It is killed at the end of the case.
pub struct Router {
    child: Arc<Mutex<Child>>,
    process: u32,
    log: PathBuf,
    name: String,
}

impl Router {
    /// Starts `target/release/tindoor`, as the deploy file's `run` does, and waits until it logs `ready`.
    pub fn start(case: &Case, name: &str, configuration: &Path, fronts: Option<&Path>) -> Self {
        let log = case.temporary.join(format!("{name}-{}.log", unix_ms()));
        let output = File::create(&log).unwrap_or_else(|error| cannot_run(error));
        let mut run = "exec target/release/tindoor".to_string();
        if let Some(fronts) = fronts {
            run.push_str(&format!(" --fronts {}", fronts.display()));
        }
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("PROXY_CONFIG", configuration)
            .env("PROXY_NAME", name)
            .env("TMPDIR", &case.temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .unwrap_or_else(|error| cannot_run(error));
        let process = child.id();
        let child = Arc::new(Mutex::new(child));
        STARTED.lock().unwrap().push(Arc::clone(&child));
        // For the script, should the case itself be ended.
        let list = case.temporary.join("processes");
        if let Ok(mut list) = std::fs::OpenOptions::new().create(true).append(true).open(list) {
            let _ = writeln!(list, "{process}");
        }
        case.record.line(format!("router {name} started, process {process}"));
        let mut router = Self { child, process, log, name: name.to_string() };
        let begun = Instant::now();
        while !router.log_text().contains(" ready ") {
            if begun.elapsed() > Duration::from_secs(20) || router.has_ended() {
                cannot_run(format!("router {name} is not ready:\n{}", router.log_text()));
            }
            sleep_ms(5);
        }
        case.record.line(format!("router {name} is ready"));
        router
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Its process id.
    pub fn process(&self) -> u32 {
        self.process
    }

    pub fn signal(&self, record: &Record, signal: &str) {
        record.line(format!("router {} gets SIG{signal}", self.name));
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {}", self.process)]).status();
    }

    /// Ends the process by SIGKILL and waits for its end.
    pub fn kill(&mut self, record: &Record) {
        record.line(format!("router {} gets SIGKILL", self.name));
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A change stream: events are told to whoever is connected, and the last number each second.
#[derive(Clone)]
pub struct ChangeStream {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<String>>, Condvar)>,
    first: u64,
}

impl ChangeStream {
    /// `first` is the number of the first event that will be added.
    pub fn start(first: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(error));
        let address = listener.local_addr().unwrap();
        let stream = Self { address, events: Arc::default(), first };
        let serving = stream.clone();
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(connection));
            }
        });
        stream
    }

    /// Adds an event; `body` is what follows the number.
    pub fn tell(&self, record: &Record, body: &str) {
        let (events, changed) = &*self.events;
        let mut events = events.lock().unwrap();
        let line = format!("{{\"seq\":{},{body}}}", self.first + events.len() as u64);
        record.line(format!("change stream: {line}"));
        events.push(line);
        changed.notify_all();
    }

    fn serve(&self, mut connection: TcpStream) -> Option<()> {
        let mut line = String::new();
        BufReader::new(connection.try_clone().ok()?).read_line(&mut line).ok()?;
        let since: u64 = line.trim().strip_prefix("since ")?.parse().ok()?;
        let mut next = (since + 1).saturating_sub(self.first) as usize;
        let (events, changed) = &*self.events;
        loop {
            let mut known = events.lock().unwrap();
            if known.len() <= next {
                known = changed.wait_timeout(known, Duration::from_secs(1)).unwrap().0;
            }
            let mut text: String = known.iter().skip(next).map(|line| format!("{line}\n")).collect();
            next = next.max(known.len());
            let last = self.first + known.len() as u64 - 1;
            drop(known);
            if text.is_empty() {
                text = format!("{last}\n");
            }
            connection.write_all(text.as_bytes()).ok()?;
        }
    }
}

/// An HTTP message: its first line, its fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Fields,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one HTTP message; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if message.first.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if message.first.is_empty() {
            message.first = line.to_string();
        } else if let Some((name, value)) = line.split_once(':') {
            message.fields.insert(name.to_lowercase(), value.trim().to_string());
        }
    }
    let length = message.field("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Formats a response of a cache.
pub fn response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Sends one HTTP request on a new connection and reads the response.
pub fn exchange(address: SocketAddr, request: &str, patience: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(1000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(request.as_bytes())?;
    read_message(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// A class of requests in the configuration. Times are in milliseconds.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub deadline_ms: u64,
    pub objective_ms: u64,
    pub window_ms: u64,
    pub goes_through: bool,
}

/// A member of the list, in service for long: its id, address and kind, and where it stands.
pub fn member(id: &str, address: SocketAddr, kind: &str, locality: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"{locality}\",\"flavor\":\"{kind}\",\"cell\":0,\
         \"phase\":\"active\",\"size\":4,\"up_since_ms\":0}}"
    )
}

/// The configuration of a router of a small deployment.
pub struct Deployment<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub change_stream: SocketAddr,
    /// The locations, and which of them is the router's.
    pub zones: Vec<String>,
    pub zone: usize,
    /// Whether parents and the origin take requests too.
    pub bypass: bool,
    pub members: Vec<String>,
    pub classes: Vec<Class>,
    pub memory_mb: u64,
    pub drain_grace_ms: u64,
    pub purge_grace_ms: u64,
}

impl Deployment<'_> {
    pub fn write(&self, path: &Path) {
        let list = |items: Vec<String>| items.join(",");
        let each = |of: &dyn Fn(&Class) -> String| list(self.classes.iter().map(of).collect());
        let classes = each(&|class| {
            let Class { name, effect, deadline_ms, objective_ms, window_ms, .. } = class;
            format!(
                "{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"group\":\"all\",\"deadline\":{},\
                 \"objective\":{},\"window\":{},\"late_value\":0,\"points\":3,\"stream\":false}}",
                deadline_ms * 1000,
                objective_ms * 1000,
                window_ms * 1000
            )
        });
        let zeros = each(&|_| "0".into());
        let through = each(&|class| class.goes_through.to_string());
        let (name, listen, change_stream) = (self.name, self.listen, self.change_stream);
        let (members, zone, bypass) = (self.members.join(","), self.zone, self.bypass);
        let zones = format!("\"{}\"", self.zones.join("\",\""));
        let instances = vec!["3"; self.zones.len()].join(",");
        let (drain, purge, memory_mb) = (self.drain_grace_ms * 1000, self.purge_grace_ms * 1000, self.memory_mb);
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":1024}},\"changelog\":\"{change_stream}\",\
             \"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\
             \"known\":{{\"seq\":1,\"results\":[{{\"seq\":1,\"fleet\":{{\"revision\":1,\"complete\":true,\
             \"members\":[{members}]}}}}]}},\
             \"settings\":{{\"family\":\"edge\",\"zone\":{zone},\"zones\":[{zones}],\
             \"flavors\":[\"standard\",\"parent\",\"origin\"],\"balancers\":3,\"weights\":\"off\",\
             \"registry_mode\":\"pushed\",\"request_classes\":[{classes}],\
             \"limits\":{{\"cancelling\":true,\"conn_idle\":30000000,\"connect_timeout\":400000,\
             \"most_tries\":8,\"max_retry_after\":500000,\"retry_after\":true,\"second_copies\":false,\
             \"open_cap\":4096}},\
             \"rules\":{{\"cold_share\":0.15,\"warm_within\":17000000,\"drain_grace\":{drain},\
             \"overload_factor\":2.5,\"overload_for\":1500000}},\
             \"family_info\":{{\"bypass_allowed\":{bypass},\"class_fresh\":[{zeros}],\"older_by\":[{zeros}],\
             \"worth_when_old\":[{zeros}],\"goes_through\":[{through}],\"gone_everywhere\":6000000,\
             \"heed_within\":{purge},\"instances_by_zone\":[{instances}],\"note_level\":\"all\",\"root_kind\":2,\
             \"second_tier_kind\":1,\"parent_floor\":0.077,\"parent_warms_in\":20000000,\
             \"parent_breaks_at\":2.0,\"client_kb_per_s\":9100.0,\"lateral\":\"any\",\"collapses\":true}}}}}}"
        );
        std::fs::write(path, text).unwrap_or_else(|error| cannot_run(error));
    }
}

fn text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

/// A frame with a call.
pub fn call(sequence: u32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x80, 1, 0, 1];
    text(&mut out, b"call");
    out.extend(sequence.to_be_bytes());
    out.extend([13, 0, 1, 11, 11]);
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        text(&mut out, name.as_bytes());
        text(&mut out, value.as_bytes());
    }
    out.extend([11, 0, 2]);
    text(&mut out, body);
    out.push(0);
    let mut frame = (out.len() as u32).to_be_bytes().to_vec();
    frame.extend(out);
    frame
}

/// Reads a frame of the router.
pub fn answer(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame)?;
    Ok(frame)
}
