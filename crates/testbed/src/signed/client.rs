//! Client that sends requests to the stand-in proxy.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::proxy::read;

/// The maximum number of retries of a request that the router gave up under overload.
const MAX_RETRIES: usize = 8;

/// How long a client waits for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The answer to a request.
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) set_cookie: String,
    /// The pause before a retry; `None` unless the router gave the request up, for example under overload.
    pub(super) retry_after: Option<Duration>,
}

/// A request without its correlation id.
pub(super) struct Request<'a> {
    pub(super) target: &'a str,
    /// Header lines, each terminated by CRLF.
    pub(super) headers: &'a str,
}

impl Request<'_> {
    /// Sends the request once. Returns `None` if no complete answer arrives in time.
    pub(super) async fn send(&self, address: SocketAddr, correlation_id: u64) -> Option<Answer> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(self.head(correlation_id).as_bytes()).await.ok()?;
        let mut unread = Vec::new();
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, read(&mut stream, &mut unread));
        let answer = answer.await.ok()?.ok()??;
        let field = |name| answer.fields.get(name).cloned().unwrap_or_default();
        let was_given_up = answer.target == "503" && field("x-tindoor-reason") == "given-up";
        let retry_after_ms = field("x-tindoor-pause-ms").parse().ok().filter(|_| was_given_up);
        Some(Answer {
            status: answer.target.parse().ok()?,
            set_cookie: field("set-cookie"),
            retry_after: retry_after_ms.map(Duration::from_millis),
        })
    }

    /// Sends the request and retries while the router is overloaded, because an overload answer does not
    /// depend on whether the URL is valid. Each attempt uses the next correlation id.
    pub(super) async fn send_with_retries(
        &self,
        address: SocketAddr,
        correlation_id: &mut u64,
    ) -> Option<Answer> {
        for _ in 0..MAX_RETRIES {
            *correlation_id += 1;
            let answer = self.send(address, *correlation_id).await?;
            let Some(retry_after) = answer.retry_after else { return Some(answer) };
            tokio::time::sleep(retry_after).await;
        }
        *correlation_id += 1;
        self.send(address, *correlation_id).await
    }

    /// Formats the request line and headers.
    fn head(&self, correlation_id: u64) -> String {
        let Self { target, headers } = self;
        format!("GET {target} HTTP/1.1\r\nx-ticket: {correlation_id:016x}\r\nx-max-ms: 3000\r\n{headers}\r\n")
    }
}
