//! The client side of a router's control socket.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use serde_json::Value;

use super::control_protocol::ControlRequest;

/// How long a command waits for the answer of the router, unless its caller waits longer.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request and returns the answer. Fails if the answer contains an error.
pub fn send(socket: &Path, request: &ControlRequest) -> Result<Value> {
    send_within(socket, request, RESPONSE_TIMEOUT)
}

/// Sends a request and waits for the answer for up to this time.
pub fn send_within(socket: &Path, request: &ControlRequest, timeout: Duration) -> Result<Value> {
    let mut stream = UnixStream::connect(socket)
        .with_context(|| format!("failed to connect to the control socket {}", socket.display()))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(format!("{}\n", serde_json::to_string(request)?).as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).context("failed to read the answer of the router")?;
    let answer: Value =
        serde_json::from_str(&line).context("the answer of the router is missing or not JSON")?;
    if let Some(error) = answer.get("error").and_then(Value::as_str) {
        bail!("{error}");
    }
    Ok(answer)
}
