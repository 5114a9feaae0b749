//! Splits the change stream into lines and parses them.

use crate::events::WatchEvent;

/// The content of one line.
#[derive(Debug)]
pub enum WatchMessage {
    /// A heartbeat, sent every second. Carries the sequence number of the last event.
    Heartbeat(u64),
    /// A change of the endpoint list, a purge, or both.
    Event(WatchEvent),
}

/// Removes the next complete line from the front of `buffer` and returns it without its line feed. `None` if
/// there is no complete line.
pub fn take_line(buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let rest = buffer.split_off(end + 1);
    let mut line = std::mem::replace(buffer, rest);
    line.pop();
    Some(line)
}

/// Parses one line, without its line feed.
///
/// # Errors
///
/// The line is neither a number nor an event.
pub fn parse_line(line: &[u8]) -> Result<WatchMessage, serde_json::Error> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.iter().all(u8::is_ascii_digit) {
        return serde_json::from_slice(line).map(WatchMessage::Heartbeat);
    }
    serde_json::from_slice(line).map(WatchMessage::Event)
}
