//! Stand-ins on loopback for what the router talks to: caches, the change stream and a client. They speak the
//! published protocol, and every wait is for something to happen.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};

/// Far more than anything here takes, also on a slow machine.
const LONGEST: Duration = Duration::from_secs(60);

/// Something that changes, and that can be waited for.
#[derive(Default)]
pub struct Watched<T>(Arc<(Mutex<T>, Condvar)>);

impl<T> Clone for Watched<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Watched<T> {
    pub fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.0.0.lock().unwrap());
        self.0.1.notify_all();
        result
    }

    pub fn wait<R>(&self, what: &str, mut ready: impl FnMut(&mut T) -> Option<R>) -> R {
        let start = Instant::now();
        let mut value = self.0.0.lock().unwrap();
        loop {
            if let Some(result) = ready(&mut value) {
                return result;
            }
            assert!(start.elapsed() < LONGEST, "waited in vain for {what}");
            value = self.0.1.wait_timeout(value, Duration::from_millis(100)).unwrap().0;
        }
    }
}

/// Does something over and over until it comes true.
pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < LONGEST, "waited in vain for {what}");
    }
}

impl Watched<bool> {
    pub fn let_go(&self) {
        self.change(|open| *open = true);
    }
}

/// What a cache does with a request.
#[derive(Clone)]
pub enum Deed {
    Say(Vec<u8>),
    SayAndClose(Vec<u8>),
    /// The connection is reset.
    Reset,
    /// Nothing, until the router closes the connection.
    Hang,
    /// The answer comes once the test lets it go.
    Once(Watched<bool>, Vec<u8>),
    /// It runs for so long; then, told whether its router still waits, it says what came of it.
    Run(Duration, Running),
}

type Running = Arc<dyn Fn(bool) -> Vec<u8> + Send + Sync>;

pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

pub fn served(body: &[u8]) -> Vec<u8> {
    answer(200, "X-Remark: warm\r\nX-Version: 4be0c1927d55a6f3\r\n", body)
}

/// A request as a cache saw it; header names in lower case.
#[derive(Clone, Debug)]
pub struct Seen {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Which of its connections it came on.
    pub connection: usize,
}

pub struct Cache {
    pub address: SocketAddr,
    pub seen: Watched<Vec<Seen>>,
    /// Connections that the router closed.
    pub closed: Watched<usize>,
    /// Answers that waited for the test and have been written.
    pub let_go: Watched<usize>,
}

impl Cache {
    pub fn start(deed: impl Fn(&Seen) -> Deed + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, deed) = (listener.local_addr().unwrap(), Arc::new(deed));
        let (seen, closed) = (Watched::<Vec<Seen>>::default(), Watched::<usize>::default());
        let let_go = Watched::<usize>::default();
        let cache = Self { address, seen: seen.clone(), closed: closed.clone(), let_go: let_go.clone() };
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (deed, seen, closed) = (Arc::clone(&deed), seen.clone(), closed.clone());
                let let_go = let_go.clone();
                thread::spawn(move || {
                    let _ = Self::talk(connection, stream.unwrap(), &*deed, (&seen, &let_go));
                    closed.change(|closed| *closed += 1);
                });
            }
        });
        cache
    }

    fn talk(
        connection: usize,
        stream: TcpStream,
        deed: &dyn Fn(&Seen) -> Deed,
        (seen, let_go): (&Watched<Vec<Seen>>, &Watched<usize>),
    ) -> std::io::Result<()> {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        loop {
            let mut lines = Vec::new();
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                match line.trim_end() {
                    "" => break,
                    line => lines.push(line.to_string()),
                }
            }
            let split = |line: &String| line.split_once(": ").map(|(n, v)| (n.to_lowercase(), v.to_string()));
            let headers: HashMap<_, _> = lines[1..].iter().filter_map(split).collect();
            let length = headers.get("content-length").map_or(0, |length| length.parse().unwrap());
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let request = Seen { line: lines[0].clone(), headers, body, connection };
            seen.change(|seen| seen.push(request.clone()));
            match deed(&request) {
                Deed::Say(bytes) => writer.write_all(&bytes)?,
                // Shut down, as a process just being started may hold a copy of the descriptor for a moment.
                Deed::SayAndClose(bytes) => {
                    writer.write_all(&bytes)?;
                    return writer.shutdown(Shutdown::Both);
                }
                Deed::Reset => return SockRef::from(&writer).set_linger(Some(Duration::ZERO)),
                Deed::Hang => return reader.read(&mut [0]).map(drop),
                Deed::Run(time, run) => {
                    thread::sleep(time);
                    writer.set_nonblocking(true)?;
                    let waits = !matches!(writer.peek(&mut [0]), Ok(0))
                        && !writer.peek(&mut [0]).is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock);
                    writer.set_nonblocking(false)?;
                    writer.write_all(&run(waits))?;
                }
                Deed::Once(gate, bytes) => {
                    gate.wait("the test to let an answer go", |open| open.then_some(()));
                    writer.write_all(&bytes)?;
                    let_go.change(|count| *count += 1);
                }
            }
        }
    }

    /// The first `count` requests, once they are there.
    pub fn requests(&self, count: usize) -> Vec<Seen> {
        self.seen.wait("requests", |seen| (seen.len() >= count).then(|| seen.clone()))
    }

    pub fn count(&self) -> usize {
        self.seen.change(|seen| seen.len())
    }
}

/// A cache whose queue of connections is full: they neither come up nor fail until it is opened.
pub struct Stuck {
    socket: Socket,
    pub address: SocketAddr,
    /// Connections that came up, but for those that fill its queue.
    pub came_up: Watched<usize>,
    queue: Vec<Socket>,
}

impl Stuck {
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let fill = |_| {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            filler.set_nonblocking(true).unwrap();
            let _ = filler.connect(&address.into());
            filler
        };
        Self { socket, address, came_up: Watched::default(), queue: (0..4).map(fill).collect() }
    }

    fn filler_addresses(&self) -> Vec<SocketAddr> {
        let filled = |filler: &Socket| filler.local_addr().ok().and_then(|address| address.as_socket());
        self.queue.iter().filter_map(filled).collect()
    }

    /// Waits until the system has begun a connect to it for somebody else than those that fill its queue.
    pub fn is_connected_to(&self) {
        const SYN_SENT: &str = "02";
        let port = |field: &str| u16::from_str_radix(field.split_once(':')?.1, 16).ok();
        let fillers: Vec<u16> = self.filler_addresses().iter().map(SocketAddr::port).collect();
        until("a connect to begin", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            table.lines().skip(1).any(|line| {
                let fields: Vec<&str> = line.split_whitespace().collect();
                let by_other = port(fields[1]).is_some_and(|local| !fillers.contains(&local));
                by_other && port(fields[2]) == Some(self.address.port()) && fields[3] == SYN_SENT
            })
        });
    }

    /// Takes connections from now on, and answers; gives what it is asked.
    pub fn open(&self) -> Watched<Vec<String>> {
        let (asked, socket) = (Watched::<Vec<String>>::default(), self.socket.try_clone().unwrap());
        let (all, came_up) = (asked.clone(), self.came_up.clone());
        let fillers = self.filler_addresses();
        thread::spawn(move || {
            while let Ok((mut stream, from)) = socket.accept() {
                if !from.as_socket().is_some_and(|from| fillers.contains(&from)) {
                    came_up.change(|count| *count += 1);
                }
                let all = all.clone();
                thread::spawn(move || {
                    let mut read = [0; 4096];
                    if let Ok(size @ 1..) = stream.read(&mut read) {
                        all.change(|all| all.push(String::from_utf8_lossy(&read[..size]).into_owned()));
                        let _ = stream.write_all(&served(b"stuck"));
                    }
                });
            }
        });
        asked
    }
}

/// The change stream: remembers from where it was asked, and says on its connections what the test says.
pub struct ChangeLog {
    pub address: SocketAddr,
    pub asked: Watched<Vec<u64>>,
    open: Watched<Vec<TcpStream>>,
    /// The number that its beats tell; none while it is silent.
    pub beat: Watched<Option<u64>>,
    /// What is said again to whoever asks from before it.
    past: Watched<Vec<(u64, String)>>,
}

impl ChangeLog {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (asked, open) = (Watched::<Vec<u64>>::default(), Watched::<Vec<TcpStream>>::default());
        let beat = Watched::default();
        beat.change(|beat| *beat = Some(1));
        let past = Watched::<Vec<(u64, String)>>::default();
        let (told, again) = (open.clone(), past.clone());
        let log = Self { address, asked: asked.clone(), open: told, beat: beat.clone(), past };
        let beaten = open.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let mut line = String::new();
                let _ = BufReader::new(&stream).read_line(&mut line);
                // One that was killed meanwhile says nothing.
                let Some(since) = line.trim().strip_prefix("since ").and_then(|since| since.parse().ok())
                else {
                    continue;
                };
                let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
                open.change(|open| {
                    let missed: Vec<(u64, String)> = again.change(|past| past.clone());
                    for (_, line) in missed.iter().filter(|(seq, _)| *seq > since) {
                        let _ = stream.write_all(line.as_bytes());
                    }
                    open.push(stream);
                });
                asked.change(|asked| asked.push(since));
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(300));
                if let Some(number) = beat.change(|beat| *beat) {
                    let line = format!("{number}\n");
                    beaten.change(|open| open.retain_mut(|stream| stream.write_all(line.as_bytes()).is_ok()));
                }
            }
        });
        log
    }

    /// Waits until the router has asked that many times.
    pub fn asks(&self, count: usize) -> Vec<u64> {
        self.asked
            .wait("the router to ask the change log", |asked| (asked.len() >= count).then(|| asked.clone()))
    }

    /// The number that the next beat tells, once everything before it is said.
    pub fn stands_at(&self, number: u64) {
        self.beat.change(|beat| *beat = Some(number));
    }

    /// Says it to whoever is there, and to whoever asks for it later.
    pub fn tell(&self, seq: u64, line: String) {
        self.open.change(|open| {
            open.retain_mut(|stream| stream.write_all(line.as_bytes()).is_ok());
            self.past.change(|past| past.push((seq, line)));
        });
    }

    pub fn say(&self, text: &str) {
        self.open.wait("a connection", |open| {
            open.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
            (!open.is_empty()).then_some(())
        });
    }

    pub fn hang_up(&self) {
        self.open.change(Vec::clear);
    }
}

pub fn member(id: &str, address: SocketAddr, flavor: &str, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "central", "flavor": flavor, "cell": 0,
           "phase": phase, "size": 1, "up_since_ms": 0})
}

/// A whole configuration, with a list of the given members.
pub fn configuration(log: SocketAddr, members: Vec<Value>) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "changelog": log.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"revision": 1, "complete": true, "members": members}}]},
        "settings": {
            "family": "edge", "zone": 0, "zones": ["central"], "flavors": ["cache", "parent", "origin"],
            "balancers": 1, "weights": "off", "registry_mode": "pushed",
            "request_classes": [
                {"name": "pages", "deadline": 3_000_000, "objective": 300_000, "effect": "read_like", "group": "all",
                 "late_value": 0.2, "points": 1.0, "window": 0},
                {"name": "saves", "deadline": 3_000_000, "objective": 300_000, "effect": "idempotency_key",
                 "group": "all", "late_value": 0.2, "points": 1.0, "window": 3_000_000},
                {"name": "orders", "deadline": 3_000_000, "objective": 300_000, "effect": "non_idempotent",
                 "group": "all", "late_value": 0.2, "points": 1.0, "window": 0}],
            "limits": {"cancelling": true, "conn_idle": 3_600_000_000u64, "connect_timeout": 400_000, "most_tries": 8,
                       "max_retry_after": 500_000, "retry_after": true, "second_copies": false, "open_cap": 20000},
            "rules": {"cold_share": 0.2, "warm_within": 18_000_000, "drain_grace": 500_000,
                      "overload_factor": 4.0, "overload_for": 1_000_000},
            "family_info": {"bypass_allowed": true, "class_fresh": [8_000_000, 0, 0], "older_by": [0, 0, 0],
                            "worth_when_old": [0.5, 0.5, 0.5], "goes_through": [false, true, false], "note_level": "all",
                            "root_kind": 2, "second_tier_kind": 1, "gone_everywhere": 6_000_000,
                            "heed_within": 500_000, "instances_by_zone": [1], "client_kb_per_s": 9000.0}
        }
    })
}

/// The router itself, as a process of its own.
pub struct Router {
    child: Child,
    pub address: SocketAddr,
    /// What it logged.
    pub log: Watched<Vec<String>>,
    file: PathBuf,
}

/// How the program is started.
#[derive(Clone, Debug, Default)]
pub struct Start {
    /// Fewer descriptors than it expects.
    pub descriptors: Option<u32>,
    /// Its fronts file.
    pub fronts: Option<Value>,
    /// A guard that is taken out; a build for tests only knows how.
    pub without: Option<String>,
    /// What it logs; `debug` where a test reads it.
    pub log: Option<&'static str>,
    /// How its clock is off; a build for tests only knows how.
    pub clock: Option<String>,
}

/// The program: what TINDOOR_PROGRAM names, else what was built beside whoever runs now.
pub fn program() -> PathBuf {
    if let Some(named) = std::env::var_os("TINDOOR_PROGRAM") {
        return named.into();
    }
    let own = std::env::current_exe().expect("a path of its own");
    let beside = own.ancestors().skip(1).take(2).map(|folder| folder.join("tindoor"));
    beside.into_iter().find(|path| path.is_file()).expect("tindoor is built: cargo build -p tindoor-router")
}

/// Starts the program with this configuration text.
fn spawn(text: &str, start: &Start) -> (Child, PathBuf) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let unique = format!("tindoor-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let file = std::env::temp_dir().join(unique);
    std::fs::write(&file, text).unwrap();
    let limit = start.descriptors.map_or(String::new(), |descriptors| format!("ulimit -n {descriptors}; "));
    let mut fronts = String::new();
    if let Some(value) = &start.fronts {
        let path = file.with_extension("fronts");
        std::fs::write(&path, value.to_string()).unwrap();
        fronts = format!(" serve --fronts '{}'", path.display());
    }
    let mut command = Command::new("sh");
    command.arg("-c").arg(format!("{limit}exec '{}'{fronts}", program().display()));
    if let Some(without) = &start.without {
        command.env("TINDOOR_WITHOUT", without);
    }
    if let Some(clock) = &start.clock {
        command.env("TINDOOR_CLOCK", clock);
    }
    let child = command
        .env("PROXY_CONFIG", &file)
        .env("TINDOOR_LOG", start.log.unwrap_or("debug"))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    (child, file)
}

/// Runs the program with a configuration that it can't use: how it ended and what it said.
pub fn fails_with(text: &str) -> (ExitStatus, String) {
    let (child, file) = spawn(text, &Start::default());
    let output = child.wait_with_output().unwrap();
    let _ = std::fs::remove_file(file);
    (output.status, String::from_utf8(output.stderr).unwrap())
}

impl Router {
    pub fn start(configuration: &Value) -> Self {
        Self::start_with(configuration, &Start::default())
    }

    pub fn start_with(configuration: &Value, start: &Start) -> Self {
        let (mut child, file) = spawn(&configuration.to_string(), start);
        let log = Self::logged(&mut child);
        let begun = Instant::now();
        let address = log.wait("the router to listen", |log| {
            let ended =
                begun.elapsed() > LONGEST / 2 || child.try_wait().is_ok_and(|status| status.is_some());
            assert!(!ended, "the router did not come up: {}", log.join("\n"));
            let line = log.iter().find_map(|line| line.split_once("bound=").map(|found| found.1.to_string()));
            line.map(|address| address.trim().parse().unwrap())
        });
        Self { child, address, log, file }
    }

    /// Starts it with an address of its own, and waits for nothing.
    pub fn start_at(configuration: &Value, address: SocketAddr) -> Self {
        let mut configuration = configuration.clone();
        configuration["listen"] = json!(address.to_string());
        let (mut child, file) = spawn(&configuration.to_string(), &Start::default());
        let log = Self::logged(&mut child);
        Self { child, address, log, file }
    }

    fn logged(child: &mut Child) -> Watched<Vec<String>> {
        let (log, lines) = (Watched::<Vec<String>>::default(), BufReader::new(child.stderr.take().unwrap()));
        let logged = log.clone();
        thread::spawn(move || {
            lines.lines().map_while(Result::ok).for_each(|l| logged.change(|log| log.push(l)))
        });
        log
    }

    /// Where a front of the fronts file listens.
    pub fn front(&self, key: &str) -> SocketAddr {
        let named = format!("front=\"{key}\"");
        self.log.wait("a front to listen", |log| {
            let line = log.iter().find(|line| line.contains(&named))?;
            line.split_once("at=")?.1.trim().parse().ok()
        })
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and tells the router so.
    pub fn reload(&self, text: &str) {
        let new = self.file.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, &self.file).unwrap();
        self.signal("-HUP");
    }

    /// Has the router read its files again.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Stops it where it stands, or has it go on.
    pub fn pause(&self, pause: bool) {
        self.signal(if pause { "-STOP" } else { "-CONT" });
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The most memory that it ever held of its own, in kilobytes: without the pages of its program, which the
    /// system reads again from the file, and of which a build for tests has twice as many as another.
    pub fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = |name: &str| status.lines().find(|line| line.starts_with(name)).unwrap();
        let kb = |name: &str| line(name).split_whitespace().nth(1).unwrap().parse::<u64>().unwrap();
        kb("VmHWM") - kb("RssFile")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(self.file.with_extension("fronts"));
    }
}

/// How many descriptors a process holds now.
pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count()
}

/// A client's connection.
pub struct Client(pub TcpStream);

type Texts = HashMap<String, String>;

#[derive(Debug, PartialEq)]
pub enum Reply {
    Served { body: Vec<u8>, fields: Texts, good: bool },
    TurnedBack(Texts),
    WrittenOff(Texts),
    Exception,
}

fn text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

/// A message's frame, with these arguments.
pub fn frame(kind: u8, method: &str, seq: i32, arguments: &[u8]) -> Vec<u8> {
    let mut message = vec![0x80, 1, 0, kind];
    text(&mut message, method.as_bytes());
    message.extend(seq.to_be_bytes());
    message.extend(arguments);
    [&(message.len() as u32).to_be_bytes()[..], &message].concat()
}

/// Stands for an id that no other call has.
pub const FRESH: &str = "fresh";

/// The frame of a call with these fields.
pub fn call(seq: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![13, 0, 1, 11, 11];
    out.extend((fields.len() as u32).to_be_bytes());
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let fresh = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
    for (name, value) in fields {
        text(&mut out, name.as_bytes());
        text(&mut out, if *value == FRESH { &fresh } else { *value }.as_bytes());
    }
    out.extend([11, 0, 2]);
    text(&mut out, body);
    out.push(0);
    frame(1, "call", seq, &out)
}

/// The frame that withdraws a call.
pub fn cancel(seq: i32) -> Vec<u8> {
    let mut arguments = vec![8, 0, 1];
    arguments.extend(seq.to_be_bytes());
    arguments.push(0);
    frame(4, "cancel", 0, &arguments)
}

/// The fields of a plain request of an object.
pub fn page<'a>(object: &'a str, patience: &'a str) -> Vec<(&'a str, &'a str)> {
    let route = [("route", "pages"), ("trace", FRESH), ("patience", patience)];
    [&route[..], &[("entity", object), ("chunk", "3"), ("tag", "17")]].concat()
}

pub const OBJECT: &str = "7f3a9c21e0b4d655";

impl Client {
    pub fn connect(router: &Router) -> Self {
        let stream = TcpStream::connect(router.address).unwrap();
        stream.set_read_timeout(Some(LONGEST)).unwrap();
        Self(stream)
    }

    /// One that takes in so few bytes that the rest of a long answer stays with the router's system.
    pub fn connect_small(router: &Router) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&router.address.into()).unwrap();
        let stream: TcpStream = socket.into();
        stream.set_read_timeout(Some(LONGEST)).unwrap();
        Self(stream)
    }

    /// Nothing more comes, and the connection ended in order.
    pub fn ends_in_order(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// Asks for an object, with time enough for whatever is to happen meanwhile.
    pub fn ask(&mut self, seq: i32, object: &str) {
        self.send(&call(seq, &page(object, "600000"), b""));
    }

    pub fn cancel(&mut self, seq: i32) {
        self.send(&cancel(seq));
    }

    pub fn healthy(&mut self, seq: i32) -> bool {
        self.send(&frame(1, "health", seq, &[2, 0, 1, 1, 0]));
        match self.reply() {
            (number, Reply::Served { good, .. }) if number == seq => good,
            other => panic!("no answer to health: {other:?}"),
        }
    }

    /// The next answer; panics where the connection ends.
    pub fn reply(&mut self) -> (i32, Reply) {
        self.reply_or_end().expect("the connection ended")
    }

    /// The next answer, or none where the connection ends.
    pub fn reply_or_end(&mut self) -> Option<(i32, Reply)> {
        let mut size = [0; 4];
        self.0.read_exact(&mut size).ok()?;
        let mut message = vec![0; u32::from_be_bytes(size) as usize];
        self.0.read_exact(&mut message).ok()?;
        let mut rest = Parts(&message);
        let kind = rest.take(4)[3];
        rest.text();
        let seq = rest.number() as i32;
        if kind == 3 {
            return Some((seq, Reply::Exception));
        }
        let (_, number) = rest.field().unwrap();
        Some((
            seq,
            match number {
                0 => {
                    let (mut body, mut fields, mut good) = (Vec::new(), Texts::new(), false);
                    while let Some(field) = rest.field() {
                        match field.1 {
                            1 => body = rest.text().to_vec(),
                            2 => fields = rest.texts(),
                            _ => good = rest.take(1)[0] == 1,
                        }
                    }
                    Reply::Served { body, fields, good }
                }
                number => {
                    rest.field().unwrap();
                    if number == 1 {
                        Reply::TurnedBack(rest.texts())
                    } else {
                        Reply::WrittenOff(rest.texts())
                    }
                }
            },
        ))
    }
}

struct Parts<'a>(&'a [u8]);

impl<'a> Parts<'a> {
    fn take(&mut self, size: usize) -> &'a [u8] {
        let (head, tail) = self.0.split_at(size);
        self.0 = tail;
        head
    }

    fn number(&mut self) -> u32 {
        u32::from_be_bytes(self.take(4).try_into().unwrap())
    }

    fn text(&mut self) -> &'a [u8] {
        let size = self.number() as usize;
        self.take(size)
    }

    fn field(&mut self) -> Option<(u8, u16)> {
        let kind = self.take(1)[0];
        (kind != 0).then(|| (kind, u16::from_be_bytes(self.take(2).try_into().unwrap())))
    }

    fn texts(&mut self) -> Texts {
        self.take(2);
        let count = self.number();
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
        (0..count).map(|_| (text(self.text()), text(self.text()))).collect()
    }
}
