//! Playbacks that go on across the end of their signed URL, by a renewal that the router sends as a cookie.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::client::{Answer, Request};
use super::tokens::{NEW_KEY, hmac_token};
use crate::fleet::unix_ms;

/// The correlation ids that the requests of one playback may use, retries included.
const CORRELATION_IDS_PER_PLAYBACK: u64 = 64;
const FIRST_CORRELATION_ID: u64 = 0x5000_0000_0000_0000;

/// A playback whose first answer took longer than this began too late to be judged.
const LONGEST_START: Duration = Duration::from_millis(700);
/// After this wait the signed URL has expired for certain.
const WAIT_FOR_EXPIRY: Duration = Duration::from_secs(3);
const OTHER_CLIENT: &str = "10.1.8.1";
const OTHER_OBJECT: &str = "00000000000000aa";

/// How many requests of a kind got what they must, of how many.
#[derive(Clone, Copy, Default)]
pub(super) struct Tally {
    pub(super) passed: u64,
    pub(super) total: u64,
}

/// Runs this many playbacks at once; the tallies are by the kind of request. `clock_offset` is that of the
/// time that caches and signers agree on.
pub(super) async fn run_playbacks(
    address: SocketAddr,
    count: u64,
    clock_offset: i64,
) -> BTreeMap<&'static str, Tally> {
    // URLs end at whole seconds: all playbacks begin just after one, or the time left is too short for some.
    tokio::time::sleep(Duration::from_millis(1010 - unix_ms() % 1000)).await;
    let spawn = |index| tokio::spawn(async move { Playback::new(address, index, clock_offset).run().await });
    let tasks: Vec<_> = (0..count).map(spawn).collect();
    let mut tallies = BTreeMap::<_, Tally>::new();
    for task in tasks {
        for check in task.await.expect("a playback that ends") {
            let tally = tallies.entry(check.kind).or_default();
            tally.passed += u64::from(check.passed);
            tally.total += 1;
            if !check.passed {
                eprintln!("{}: {}", check.kind, check.seen);
            }
        }
    }
    tallies
}

struct Playback {
    address: SocketAddr,
    begun: Instant,
    /// The token in the signed URL.
    token: String,
    object: String,
    client: String,
    correlation_id: u64,
}

impl Playback {
    fn new(address: SocketAddr, index: u64, clock_offset: i64) -> Self {
        let begun = Instant::now();
        // By the agreed time it is over already; the skew lets the playback begin for a moment more.
        let ends = unix_ms() as i64 / 1000 + clock_offset - 1;
        let fields = format!("ip=10.1.0.0/16~st={}~exp={ends}~acl=/v1/store/pages/*", ends - 600);
        Self {
            address,
            begun,
            token: hmac_token(NEW_KEY, &fields).replace('=', "%3d"),
            object: format!("{:016x}", 0x1000 + index % 40),
            client: format!("10.1.7.{index}"),
            correlation_id: FIRST_CORRELATION_ID + index * CORRELATION_IDS_PER_PLAYBACK,
        }
    }

    async fn run(mut self) -> Vec<PlaybackCheck> {
        let client = self.client.clone();
        let first = self.request(&self.signed_path(0), &client, "").await;
        // A machine without time for it missed the moment, and nothing can be said of this playback.
        if self.begun.elapsed() > LONGEST_START {
            return Vec::new();
        }
        let cookie = first.as_ref().and_then(renewal).unwrap_or_default();
        tokio::time::sleep(WAIT_FOR_EXPIRY).await;
        let next = self.request(&self.signed_path(1), &client, &cookie).await;
        let renewed = next.as_ref().is_some_and(|next| next.set_cookie.starts_with("play="));
        let renewal_missing = if renewed { "" } else { ", no renewal" };
        let unsigned = self.request(&self.path(9), &client, &cookie).await;
        let without_renewal = self.request(&self.signed_path(2), &client, "").await;
        let copied = self.request(&self.signed_path(2), OTHER_CLIENT, &cookie).await;
        let other_path = format!("/v1/store/pages/{OTHER_OBJECT}/1");
        let other_object = self.request(&other_path, &client, &cookie).await;
        vec![
            PlaybackCheck::new("began", 200, first, ""),
            PlaybackCheck::new("goes on", 200, next, renewal_missing),
            PlaybackCheck::new("goes on without its link", 200, unsigned, ""),
            PlaybackCheck::new("lapsed without a renewal", 403, without_renewal, ""),
            PlaybackCheck::new("copied renewal", 403, copied, ""),
            PlaybackCheck::new("renewal of another object", 403, other_object, ""),
        ]
    }

    fn path(&self, part: u64) -> String {
        format!("/v1/store/pages/{}/{part}", self.object)
    }

    fn signed_path(&self, part: u64) -> String {
        format!("{}?t={}", self.path(part), self.token)
    }

    async fn request(&mut self, target: &str, client: &str, cookie: &str) -> Option<Answer> {
        let headers = format!("x-envoy-external-address: {client}\r\ncookie: play={cookie}\r\n");
        let request = Request { target, headers: &headers };
        request.send_with_retries(self.address, &mut self.correlation_id).await
    }
}

/// The renewal that an answer sets as a cookie.
fn renewal(answer: &Answer) -> Option<String> {
    Some(answer.set_cookie.split(';').next()?.strip_prefix("play=")?.to_string())
}

/// One request of a playback, and whether it got what it must.
struct PlaybackCheck {
    kind: &'static str,
    passed: bool,
    /// The status that came, 0 where none did, and what else was wrong.
    seen: String,
}

impl PlaybackCheck {
    fn new(kind: &'static str, expected: u16, answer: Option<Answer>, also_wrong: &str) -> Self {
        let status = answer.map_or(0, |answer| answer.status);
        let passed = status == expected && also_wrong.is_empty();
        Self { kind, passed, seen: format!("{status}{also_wrong}") }
    }
}
