//! The router itself, as a process of its own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Instant;

use serde_json::{Value, json};

use super::Watched;
use super::watched::WAIT_TIMEOUT;

/// How the program is started.
#[derive(Clone, Debug, Default)]
pub struct StartOptions {
    /// Limit of open descriptors, where it is lower than usual.
    pub descriptors: Option<u32>,
    /// The fronts file.
    pub fronts: Option<Value>,
    /// A check that is switched off; only a build for tests can.
    pub disabled_check: Option<String>,
    /// What is logged; `debug` unless stated.
    pub log_level: Option<&'static str>,
    /// How the clock is off; only a build for tests knows.
    pub clock_fault: Option<String>,
}

/// The program: the path in `TINDOOR_PROGRAM`, else the one that was built beside the running executable.
pub fn program() -> PathBuf {
    if let Some(path) = std::env::var_os("TINDOOR_PROGRAM") {
        return path.into();
    }
    let executable = std::env::current_exe().expect("a path of its own");
    let candidates = executable.ancestors().skip(1).take(2).map(|folder| folder.join("tindoor"));
    candidates
        .into_iter()
        .find(|path| path.is_file())
        .expect("tindoor is built: cargo build -p tindoor-router")
}

/// Runs the program with a configuration that it rejects; returns its exit status and its log.
pub fn fails_with(configuration: &str) -> (ExitStatus, String) {
    let (child, configuration_path) = spawn(configuration, &StartOptions::default());
    let output = child.wait_with_output().unwrap();
    let _ = std::fs::remove_file(configuration_path);
    (output.status, String::from_utf8(output.stderr).unwrap())
}

/// How many descriptors a process has open.
pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count()
}

/// Starts the program with this configuration; returns the path of its configuration file too.
fn spawn(configuration: &str, options: &StartOptions) -> (Child, PathBuf) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let unique = format!("tindoor-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let configuration_path = std::env::temp_dir().join(unique);
    std::fs::write(&configuration_path, configuration).unwrap();
    let limit = options.descriptors.map_or(String::new(), |descriptors| format!("ulimit -n {descriptors}; "));
    let mut arguments = String::new();
    if let Some(fronts) = &options.fronts {
        let path = configuration_path.with_extension("fronts");
        std::fs::write(&path, fronts.to_string()).unwrap();
        arguments = format!(" serve --fronts '{}'", path.display());
    }
    let mut command = Command::new("sh");
    command.arg("-c").arg(format!("{limit}exec '{}'{arguments}", program().display()));
    if let Some(check) = &options.disabled_check {
        command.env("TINDOOR_WITHOUT", check);
    }
    if let Some(clock_fault) = &options.clock_fault {
        command.env("TINDOOR_CLOCK", clock_fault);
    }
    let child = command
        .env("PROXY_CONFIG", &configuration_path)
        .env("TINDOOR_LOG", options.log_level.unwrap_or("debug"))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    (child, configuration_path)
}

/// Collects the lines that the process logs.
fn collect_log(child: &mut Child) -> Watched<Vec<String>> {
    let log = Watched::<Vec<String>>::default();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let collected = log.clone();
    thread::spawn(move || {
        lines.map_while(Result::ok).for_each(|line| collected.change(|log| log.push(line)));
    });
    log
}

/// A router process; it is killed when this is dropped.
pub struct Router {
    child: Child,
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// The lines that it has logged.
    pub log: Watched<Vec<String>>,
    configuration_path: PathBuf,
}

impl Router {
    /// Starts a router and waits until it listens.
    pub fn start(configuration: &Value) -> Self {
        Self::start_with(configuration, &StartOptions::default())
    }

    /// Starts a router with these options and waits until it listens.
    pub fn start_with(configuration: &Value, options: &StartOptions) -> Self {
        let (mut child, configuration_path) = spawn(&configuration.to_string(), options);
        let log = collect_log(&mut child);
        let started_at = Instant::now();
        let address = log.wait("the router to listen", |log| {
            let has_failed = started_at.elapsed() > WAIT_TIMEOUT / 2
                || child.try_wait().is_ok_and(|status| status.is_some());
            assert!(!has_failed, "the router did not come up: {}", log.join("\n"));
            let address =
                log.iter().find_map(|line| line.split_once("bound=").map(|(_, address)| address.to_string()));
            address.map(|address| address.trim().parse().unwrap())
        });
        Self { child, address, log, configuration_path }
    }

    /// Starts a router that listens at this address, and waits for nothing.
    pub fn start_at(configuration: &Value, address: SocketAddr) -> Self {
        let mut configuration = configuration.clone();
        configuration["listen"] = json!(address.to_string());
        let (mut child, configuration_path) = spawn(&configuration.to_string(), &StartOptions::default());
        let log = collect_log(&mut child);
        Self { child, address, log, configuration_path }
    }

    /// Waits until the front with this key of the fronts file listens; returns its address.
    pub fn front(&self, key: &str) -> SocketAddr {
        let named = format!("front=\"{key}\"");
        self.log.wait("a front to listen", |log| {
            let line = log.iter().find(|line| line.contains(&named))?;
            line.split_once("at=")?.1.trim().parse().ok()
        })
    }

    /// Asks the router to shut down gracefully.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and has the router read it.
    pub fn reload(&self, configuration: &str) {
        let new_path = self.configuration_path.with_extension("new");
        std::fs::write(&new_path, configuration).unwrap();
        std::fs::rename(new_path, &self.configuration_path).unwrap();
        self.reread_files();
    }

    /// Has the router read its files again.
    pub fn reread_files(&self) {
        self.signal("-HUP");
    }

    /// Suspends the process, or resumes it.
    pub fn pause(&self, pause: bool) {
        self.signal(if pause { "-STOP" } else { "-CONT" });
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Waits until the process ends.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// The id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The peak of the process's own memory in kilobytes: without the pages of its program, which the system
    /// reads again from the file, and of which a build for tests has twice as many as another.
    pub fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = |name: &str| status.lines().find(|line| line.starts_with(name)).unwrap();
        let kilobytes = |name: &str| line(name).split_whitespace().nth(1).unwrap().parse::<u64>().unwrap();
        kilobytes("VmHWM") - kilobytes("RssFile")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.configuration_path);
        let _ = std::fs::remove_file(self.configuration_path.with_extension("fronts"));
    }
}
