//! Helpers for experiments with router processes: addresses, control sockets, health checks.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{self, Command};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Result, bail, ensure};
use serde_json::Value;

use super::Node;
use crate::stand_in::{Client, Reply, frame, program};

/// Sends a request to a control socket and returns the answer.
pub fn control_request(socket: &Path, request: &Value) -> Result<Value> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let answer: Value = serde_json::from_str(&line)?;
    if let Some(error) = answer.get("error") {
        bail!("{error}");
    }
    Ok(answer)
}

/// An address that stays free between a router's end and its next start: each run has a loopback address of
/// its own, so that runs side by side do not take each other's ports.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (run, count) = (process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    // Below the range of ephemeral ports.
    let port = 1024 + (count % 30_000) as u16;
    let address = Ipv4Addr::new(127, 64 + (run >> 16) as u8 % 64, (run >> 8) as u8, run as u8);
    SocketAddr::from((address, port))
}

/// Ensures that the router's build can switch the check off. Only builds for tests can: with any other the
/// audit would pass for no reason.
pub fn ensure_check_is_known(check: &str, all: &[&str]) -> Result<()> {
    ensure!(all.contains(&check), "no such guard: {check}; there are {}", all.join(", "));
    let program = program();
    let output = Command::new(&program).arg("guards").output()?;
    let known = String::from_utf8_lossy(&output.stdout);
    ensure!(
        known.lines().any(|known| known == check),
        "{} can't take the guard {check} out: it is no build for tests",
        program.display()
    );
    Ok(())
}

/// Waits until a condition holds, for so long at most.
pub fn wait_until(limit: Duration, condition: &str, mut holds: impl FnMut() -> bool) -> Result<()> {
    let started_at = Instant::now();
    while !holds() {
        ensure!(started_at.elapsed() < limit, "in {} s, no sign of {condition}", limit.as_secs());
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Connects to a router as a client.
pub(super) fn connect(node: &Node) -> Option<Client> {
    let stream = TcpStream::connect_timeout(&node.address, Duration::from_millis(300)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Client(stream))
}

/// Asks a router whether it is healthy; none where it does not answer.
pub fn is_healthy(node: &Node) -> Option<bool> {
    let mut client = connect(node)?;
    client.0.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    client.0.write_all(&frame(1, "health", 1, &[2, 0, 1, 1, 0])).ok()?;
    match client.reply_or_end()? {
        (1, Reply::Served { healthy, .. }) => Some(healthy),
        _ => None,
    }
}
