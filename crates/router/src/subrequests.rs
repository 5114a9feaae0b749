//! The plain call: an HTTP/1.1 request that asks for a choice, and one that reports its end, for proxies that
//! know no more than sub-requests. It is a second, thin codec over the same table as the external processor.

use std::io;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use tindoor_external_requests::{CallId, CallReply};
use tindoor_extproc::ask::{self, Headers, Names};
use tindoor_extproc::say::{self, Fields};

use crate::external::Open;
use crate::places;
use crate::state::RouterState;
use crate::timeout::with_timeout;
use crate::wanted::{Wanted, refused, unix_ms, wanted};

/// A request's head as it was read.
struct Asked {
    path: String,
    headers: Vec<(String, Vec<u8>)>,
    closes: bool,
}

impl Asked {
    fn pairs(&self) -> Headers<'_> {
        let path = (":path", self.path.as_bytes());
        let headers = self.headers.iter().map(|header| (header.0.as_str(), header.1.as_slice()));
        Headers(std::iter::once(path).chain(headers).collect())
    }

    fn number(&self, name: &str) -> Option<u64> {
        let mut values = self.headers.iter().filter(|header| header.0 == name);
        let value = values.next().filter(|_| values.next().is_none())?;
        std::str::from_utf8(&value.1).ok()?.parse().ok()
    }
}

fn bad(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// One connection: one request after another, each answered before the next is read.
pub async fn converse(
    router: Rc<RouterState>,
    mut stream: Async<TcpStream>,
    names: Rc<Names>,
) -> io::Result<()> {
    let (router, names) = (&router, &*names);
    let mut read = Vec::new();
    loop {
        let asked = match next(router, &mut stream, &mut read).await {
            Ok(Some(asked)) => asked,
            Ok(None) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                let fields = vec![("x-tindoor-reason", error.to_string())];
                return give(router, &mut stream, 400, &fields, true).await;
            }
            Err(error) => return Err(error),
        };
        let closes = asked.closes;
        match asked.path.as_str() {
            "/report" => report(router, &mut stream, &asked, names).await?,
            _ => choose(router, &mut stream, &asked, names).await?,
        }
        if closes {
            return Ok(());
        }
    }
}

/// Reads the next request; none where the caller has closed.
async fn next(
    router: &RouterState,
    stream: &mut Async<TcpStream>,
    read: &mut Vec<u8>,
) -> io::Result<Option<Asked>> {
    let limits = &router.limits.proxy;
    loop {
        let mut room = [httparse::EMPTY_HEADER; 64];
        let mut request = httparse::Request::new(&mut room);
        let size = match request.parse(read) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if read.len() > limits.max_header_list_bytes => {
                return Err(bad("the head is over the limit"));
            }
            Ok(httparse::Status::Partial) => {
                let wait = if read.is_empty() { limits.idle_timeout } else { limits.frame_timeout };
                let filled = read.len();
                read.resize(filled + limits.initial_read_bytes, 0);
                let more = with_timeout(wait, stream.read(&mut read[filled..])).await;
                read.truncate(filled + more.as_ref().map_or(0, |more| *more));
                match more {
                    Ok(0) => return Ok(None),
                    Ok(_) => continue,
                    Err(error) => return Err(error),
                }
            }
            Err(_) => return Err(bad("the request can't be read")),
        };
        let headers: Vec<_> =
            request.headers.iter().map(|h| (h.name.to_ascii_lowercase(), h.value.to_vec())).collect();
        let named = |name: &str| headers.iter().find(|header| header.0 == name).map(|header| &header.1[..]);
        if named("transfer-encoding").is_some() || named("content-length").is_some_and(|size| size != b"0") {
            return Err(bad("a call has no body"));
        }
        let closes = named("connection").is_some_and(|words| words.eq_ignore_ascii_case(b"close"));
        let asked = Asked { path: request.path.unwrap_or_default().to_string(), headers, closes };
        read.drain(..size);
        return Ok(Some(asked));
    }
}

async fn give(
    router: &RouterState,
    stream: &mut Async<TcpStream>,
    status: u16,
    fields: &Fields,
    closes: bool,
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if closes {
        head.push_str("connection: close\r\n");
    }
    head.push_str("content-length: 0\r\n\r\n");
    with_timeout(router.limits.proxy.write_timeout, stream.write_all(head.as_bytes())).await
}

/// A choice, or a final refusal. One that ends its connection before has given the request up.
async fn choose(
    router: &Rc<RouterState>,
    stream: &mut Async<TcpStream>,
    asked: &Asked,
    names: &Names,
) -> io::Result<()> {
    let Wanted { call, path, why, playback } = match wanted(router, &asked.pairs(), names) {
        Ok(wanted) => wanted,
        Err(fault) => {
            let fields = vec![("x-tindoor-reason", fault.to_string())];
            return give(router, stream, 400, &fields, asked.closes).await;
        }
    };
    let mut open = router.external.open();
    router.external.call(&open, call);
    loop {
        let said = said_or_gone(&open, stream).await?;
        match &said {
            CallReply::Decision { decision, use_within, left } if router.external.leaves(&open, &said) => {
                let place = places::of(router, decision);
                let mut fields = say::decision(&call, decision, &place, *use_within, *left);
                fields.push(("x-tindoor-lease", open.stream.0.to_string()));
                fields.extend(path.clone().map(|path| ("x-tindoor-path", path)));
                let links = router.signed_urls.as_ref().zip(playback.as_ref());
                let cookie =
                    links.and_then(|(links, playback)| links.renewal_cookie(playback, unix_ms(router)));
                fields.extend(cookie.map(|cookie| ("x-tindoor-set-cookie", cookie)));
                // From its first byte on it may be used: its report comes as a request of its own, or its
                // time ends.
                open.outlives = true;
                return give(router, stream, 200, &fields, asked.closes).await;
            }
            CallReply::Decision { .. } => {}
            other => {
                let (status, fields) = refused(other, why.as_deref());
                return give(router, stream, status, &fields, asked.closes).await;
            }
        }
    }
}

async fn said_or_gone(open: &Open, stream: &Async<TcpStream>) -> io::Result<CallReply> {
    let said = async { Ok(open.says.next().await) };
    let gone = async {
        stream.readable().await?;
        match stream.get_ref().peek(&mut [0]) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            // The next request came early; it is read in its turn.
            Ok(_) => std::future::pending().await,
            Err(error) => Err(error),
        }
    };
    future::or(said, gone).await
}

/// How a choice ended: 204 has the proxy pass the answer on, 200 has it call again, all others are the
/// answer.
async fn report(
    router: &Rc<RouterState>,
    stream: &mut Async<TcpStream>,
    asked: &Asked,
    names: &Names,
) -> io::Result<()> {
    let mut pairs = asked.pairs();
    // The cache's status comes as a header of its own.
    for pair in &mut pairs.0 {
        if pair.0 == "x-status" {
            pair.0 = ":status";
        }
    }
    let correlation_id = pairs.0.iter().find(|pair| pair.0 == names.correlation_id).and_then(|pair| {
        let text = std::str::from_utf8(pair.1).ok().filter(|text| text.len() == 16)?;
        u64::from_str_radix(text, 16).ok()
    });
    let lease = asked.number("x-tindoor-lease").map(CallId);
    let (Some(correlation_id), Some(lease)) = (correlation_id, lease) else {
        let fields = vec![("x-tindoor-reason", "x-tindoor-lease or the ticket: missing".to_string())];
        return give(router, stream, 400, &fields, asked.closes).await;
    };
    let report = match ask::report(&pairs) {
        Ok(report) => report,
        Err(fault) => {
            let fields = vec![("x-tindoor-reason", fault.to_string())];
            return give(router, stream, 400, &fields, asked.closes).await;
        }
    };
    let open = router.external.open();
    let taken = router.external.report_on(&open, lease, correlation_id, report);
    let said = said_or_gone(&open, stream).await;
    // Only what was its own: a number that somebody made up must not take another call's answer away.
    if taken {
        router.external.forget(lease);
    }
    match said? {
        CallReply::PassThrough => give(router, stream, 204, &Vec::new(), asked.closes).await,
        CallReply::AwaitRetry => {
            give(router, stream, 200, &vec![("x-tindoor-again", "1".into())], asked.closes).await
        }
        other => {
            let (status, fields) = say::refusal(&other).unwrap_or((502, Vec::new()));
            give(router, stream, status, &fields, asked.closes).await
        }
    }
}
