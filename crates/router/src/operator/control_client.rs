//! The client of a router's control socket.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use serde_json::Value;

use super::control_protocol::ControlRequest;

/// How long an answer is awaited.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request and returns the answer. An answer with an error is an error here.
pub fn send(socket: &Path, request: &ControlRequest) -> Result<Value> {
    let mut stream = UnixStream::connect(socket).with_context(|| format!("{}", socket.display()))?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.write_all(format!("{}\n", serde_json::to_string(request)?).as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).context("no answer")?;
    let answer: Value = serde_json::from_str(&line).context("no answer that can be read")?;
    if let Some(error) = answer.get("error").and_then(Value::as_str) {
        bail!("{error}");
    }
    Ok(answer)
}
