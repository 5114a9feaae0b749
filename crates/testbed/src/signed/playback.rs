//! Playbacks that continue after their signed URL has expired, with a renewal that the router sends as a
//! cookie.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::client::{Answer, Request};
use super::tokens::{NEW_KEY, hmac_token};
use crate::fleet::unix_ms;

/// Number of correlation ids reserved for the requests of one playback, including retries.
const CORRELATION_IDS_PER_PLAYBACK: u64 = 64;
const FIRST_CORRELATION_ID: u64 = 0x5000_0000_0000_0000;

/// The longest time until the first answer of a playback. A playback that takes longer is not checked,
/// because its URL may have expired before the answer.
const MAX_START_TIME: Duration = Duration::from_millis(700);
/// How long a playback waits after its first answer, so that its signed URL has certainly expired.
const WAIT_FOR_EXPIRY: Duration = Duration::from_secs(3);
const OTHER_CLIENT: &str = "10.1.8.1";
const OTHER_OBJECT: &str = "00000000000000aa";

/// Results of the checks of one kind.
#[derive(Clone, Copy, Default)]
pub(super) struct Tally {
    /// Number of checks that got the expected result.
    pub(super) passed: u64,
    /// Number of all checks.
    pub(super) total: u64,
}

/// Runs `count` concurrent playbacks and returns the tallies by kind of check. `clock_offset` is the offset
/// of the time that caches and signers agree on, in seconds.
pub(super) async fn run_playbacks(
    address: SocketAddr,
    count: u64,
    clock_offset: i64,
) -> BTreeMap<&'static str, Tally> {
    // URLs expire at whole seconds. All playbacks start just after a whole second, because the remaining time
    // would be too short for some of them otherwise.
    tokio::time::sleep(Duration::from_millis(1010 - unix_ms() % 1000)).await;
    let spawn = |index| tokio::spawn(async move { Playback::new(address, index, clock_offset).run().await });
    let tasks: Vec<_> = (0..count).map(spawn).collect();
    let mut tallies = BTreeMap::<_, Tally>::new();
    for task in tasks {
        for check in task.await.expect("a playback finishes") {
            let tally = tallies.entry(check.kind).or_default();
            tally.passed += u64::from(check.passed);
            tally.total += 1;
            if !check.passed {
                eprintln!("{}: {}", check.kind, check.observed);
            }
        }
    }
    tallies
}

/// One playback, by one client, of one object.
struct Playback {
    address: SocketAddr,
    started_at: Instant,
    /// The token in the signed URL.
    token: String,
    object: String,
    client: String,
    /// The correlation id of the last request.
    correlation_id: u64,
}

impl Playback {
    fn new(address: SocketAddr, index: u64, clock_offset: i64) -> Self {
        let started_at = Instant::now();
        // By the agreed time the URL has already expired, but the tolerated skew still lets the playback
        // start within a short time.
        let ends = unix_ms() as i64 / 1000 + clock_offset - 1;
        let fields = format!("ip=10.1.0.0/16~st={}~exp={ends}~acl=/v1/store/pages/*", ends - 600);
        Self {
            address,
            started_at,
            token: hmac_token(NEW_KEY, &fields).replace('=', "%3d"),
            object: format!("{:016x}", 0x1000 + index % 40),
            client: format!("10.1.7.{index}"),
            correlation_id: FIRST_CORRELATION_ID + index * CORRELATION_IDS_PER_PLAYBACK,
        }
    }

    /// Runs the playback. Returns no checks if the first answer came too late.
    async fn run(mut self) -> Vec<PlaybackCheck> {
        let client = self.client.clone();
        let first = self.request(&self.signed_path(0), &client, "").await;
        // On a busy machine the URL may have expired before the first answer, so that the results of this
        // playback would prove nothing.
        if self.started_at.elapsed() > MAX_START_TIME {
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

/// Returns the renewal that an answer sets as a cookie.
fn renewal(answer: &Answer) -> Option<String> {
    Some(answer.set_cookie.split(';').next()?.strip_prefix("play=")?.to_string())
}

/// The check of one answer of a playback.
struct PlaybackCheck {
    kind: &'static str,
    passed: bool,
    /// The received status (0 if no answer arrived), followed by any other problem.
    observed: String,
}

impl PlaybackCheck {
    fn new(kind: &'static str, expected: u16, answer: Option<Answer>, other_problem: &str) -> Self {
        let status = answer.map_or(0, |answer| answer.status);
        let passed = status == expected && other_problem.is_empty();
        Self { kind, passed, observed: format!("{status}{other_problem}") }
    }
}
