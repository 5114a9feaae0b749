//! Utilities for experiments with router processes: addresses, control sockets, health checks.

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

/// Sends a request to a control socket and returns the answer. Fails if the answer is an error.
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

/// Returns an address that stays free while a router restarts. Each process uses a separate loopback address,
/// so that concurrent runs do not use each other's ports.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (run, count) = (process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    // The ports are below the range of ephemeral ports.
    let port = 1024 + (count % 30_000) as u16;
    let address = Ipv4Addr::new(127, 64 + (run >> 16) as u8 % 64, (run >> 8) as u8, run as u8);
    SocketAddr::from((address, port))
}

/// Ensures that the router's build can disable the check. Only test builds can. With any other build the
/// check would stay enabled, and the audit would pass without testing anything.
pub fn ensure_check_is_known(check: &str, all: &[&str]) -> Result<()> {
    ensure!(all.contains(&check), "unknown check {check}; expected one of {}", all.join(", "));
    let program = program();
    let output = Command::new(&program).arg("guards").output()?;
    let known = String::from_utf8_lossy(&output.stdout);
    ensure!(
        known.lines().any(|known| known == check),
        "{} cannot disable the check {check}; use a test build of the router",
        program.display()
    );
    Ok(())
}

/// Waits until a condition holds; fails after `limit`. The error contains the text `condition`.
pub fn wait_until(limit: Duration, condition: &str, mut holds: impl FnMut() -> bool) -> Result<()> {
    let started_at = Instant::now();
    while !holds() {
        ensure!(
            started_at.elapsed() < limit,
            "timed out after {} s waiting for {condition}",
            limit.as_secs()
        );
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Connects to a router as a client. `None` if the connect fails.
pub(super) fn connect(node: &Node) -> Option<Client> {
    let stream = TcpStream::connect_timeout(&node.address, Duration::from_millis(300)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Client(stream))
}

/// Sends a health check to a router and returns the result. `None` if the router does not answer.
pub fn is_healthy(node: &Node) -> Option<bool> {
    let mut client = connect(node)?;
    client.0.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    client.0.write_all(&frame(1, "health", 1, &[2, 0, 1, 1, 0])).ok()?;
    match client.reply_or_end()? {
        (1, Reply::Served { healthy, .. }) => Some(healthy),
        _ => None,
    }
}
