//! Reads HTTP/1.1 messages.

use std::collections::HashMap;
use std::io;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Header values by lower-case header name.
pub type Fields = HashMap<String, String>;

/// The bytes between a message's head and its body.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A request or a response.
pub struct Message {
    /// The second word of the first line: the path of a request, or the status of a response.
    pub target: String,
    /// The header fields.
    pub fields: Fields,
    /// The body.
    pub body: Vec<u8>,
}

/// Reads a request or a response. `None` if the connection ends before a message starts. Bytes after the
/// message stay in `unread`.
pub async fn read(stream: &mut TcpStream, unread: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some(head_size) = unread.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) {
            return read_body(stream, unread, head_size).await.map(Some);
        }
        if stream.read_buf(unread).await? == 0 {
            return if unread.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    }
}

/// Reads the rest of a message whose complete head is in `unread`; `head_size` is in bytes.
async fn read_body(stream: &mut TcpStream, unread: &mut Vec<u8>, head_size: usize) -> io::Result<Message> {
    let head = String::from_utf8_lossy(&unread[..head_size]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default();
    let target = first_line.split(' ').nth(1).unwrap_or_default().to_string();
    let fields: Fields = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_string()))
        .collect();
    let body_size = fields.get("content-length").and_then(|size| size.parse().ok()).unwrap_or(0);
    let body_start = head_size + HEAD_END.len();
    let message_size: usize = body_start + body_size;
    while unread.len() < message_size {
        if stream.read_buf(unread).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let body = unread[body_start..message_size].to_vec();
    unread.drain(..message_size);
    Ok(Message { target, fields, body })
}
