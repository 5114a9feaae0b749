//! Starts and controls the router under test as a separate process.

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

/// Options for the start of a router process.
#[derive(Clone, Debug, Default)]
pub struct StartOptions {
    /// Limit of open file descriptors. `None` if the limit is inherited.
    pub descriptors: Option<u32>,
    /// Contents of the fronts file. `None` if the router is started without one.
    pub fronts: Option<Value>,
    /// The name of a check that is disabled; supported only by test builds of the router.
    pub disabled_check: Option<String>,
    /// The log level; `debug` if `None`.
    pub log_level: Option<&'static str>,
    /// The fault of the router's clock; supported only by test builds of the router.
    pub clock_fault: Option<String>,
}

/// Returns the path of the router's executable: the value of `TINDOOR_PROGRAM` if it is set, otherwise the
/// executable in the directory of the running executable or in its parent directory.
pub fn program() -> PathBuf {
    if let Some(path) = std::env::var_os("TINDOOR_PROGRAM") {
        return path.into();
    }
    let executable = std::env::current_exe().expect("the path of the running executable is known");
    let candidates = executable.ancestors().skip(1).take(2).map(|folder| folder.join("tindoor"));
    candidates
        .into_iter()
        .find(|path| path.is_file())
        .expect("the tindoor executable exists; build it with cargo build -p tindoor-router")
}

/// Runs the router with a configuration that it must reject; returns its exit status and its log.
pub fn fails_with(configuration: &str) -> (ExitStatus, String) {
    let (child, configuration_path) = spawn(configuration, &StartOptions::default());
    let output = child.wait_with_output().unwrap();
    let _ = std::fs::remove_file(configuration_path);
    (output.status, String::from_utf8(output.stderr).unwrap())
}

/// Returns the number of open file descriptors of a process.
pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count()
}

/// Starts the router with this configuration; returns the process and the path of its configuration file.
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

/// Collects the lines that the process logs, in the background.
fn collect_log(child: &mut Child) -> Watched<Vec<String>> {
    let log = Watched::<Vec<String>>::default();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let collected = log.clone();
    thread::spawn(move || {
        lines.map_while(Result::ok).for_each(|line| collected.change(|log| log.push(line)));
    });
    log
}

/// A router process. The process is killed on drop.
pub struct Router {
    child: Child,
    /// The address on which the router listens for clients.
    pub address: SocketAddr,
    /// The lines that the router has logged.
    pub log: Watched<Vec<String>>,
    configuration_path: PathBuf,
}

impl Router {
    /// Starts a router and waits until the router listens for clients.
    pub fn start(configuration: &Value) -> Self {
        Self::start_with(configuration, &StartOptions::default())
    }

    /// Starts a router with these options and waits until the router listens for clients.
    pub fn start_with(configuration: &Value, options: &StartOptions) -> Self {
        let (mut child, configuration_path) = spawn(&configuration.to_string(), options);
        let log = collect_log(&mut child);
        let started_at = Instant::now();
        let address = log.wait("the router to listen", |log| {
            let has_failed = started_at.elapsed() > WAIT_TIMEOUT / 2
                || child.try_wait().is_ok_and(|status| status.is_some());
            assert!(!has_failed, "the router did not start; its log:\n{}", log.join("\n"));
            let address =
                log.iter().find_map(|line| line.split_once("bound=").map(|(_, address)| address.to_string()));
            address.map(|address| address.trim().parse().unwrap())
        });
        Self { child, address, log, configuration_path }
    }

    /// Starts a router that listens on this address. Returns without waiting until the router listens.
    pub fn start_at(configuration: &Value, address: SocketAddr) -> Self {
        let mut configuration = configuration.clone();
        configuration["listen"] = json!(address.to_string());
        let (mut child, configuration_path) = spawn(&configuration.to_string(), &StartOptions::default());
        let log = collect_log(&mut child);
        Self { child, address, log, configuration_path }
    }

    /// Waits until the front that has this key in the fronts file listens; returns its address.
    pub fn front(&self, key: &str) -> SocketAddr {
        let named = format!("front=\"{key}\"");
        self.log.wait("the front to listen", |log| {
            let line = log.iter().find(|line| line.contains(&named))?;
            line.split_once("at=")?.1.trim().parse().ok()
        })
    }

    /// Signals the router to shut down gracefully (SIGTERM).
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and signals the router to read it.
    pub fn reload(&self, configuration: &str) {
        let new_path = self.configuration_path.with_extension("new");
        std::fs::write(&new_path, configuration).unwrap();
        std::fs::rename(new_path, &self.configuration_path).unwrap();
        self.reread_files();
    }

    /// Signals the router to read its files again (SIGHUP).
    pub fn reread_files(&self) {
        self.signal("-HUP");
    }

    /// Stops the process, or resumes it if `pause` is false (SIGSTOP, SIGCONT).
    pub fn pause(&self, pause: bool) {
        self.signal(if pause { "-STOP" } else { "-CONT" });
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills the process.
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

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the peak of the process's memory in kilobytes, without file-backed pages. Pages of the
    /// executable are excluded because the system can read them from the file again, and because a test build
    /// has twice as many of them as another build.
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
