//! Experiment with signed URLs of every kind, valid and tampered, under key rotation. An oracle determines
//! the expected result of each request; it shares no code with the router and signs with other libraries. The
//! caches record whether a denied request reached them.

mod client;
mod oracle;
mod playback;
mod tokens;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

use crate::cluster::{ensure_check_is_known, free_address};
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::proxy::Proxy;
use crate::stand_in::{Router, StartOptions, configuration};

use client::Request;
use oracle::{ClockOffsets, Expected, KINDS, SKEW, Variant};
use playback::{Tally, run_playbacks};
use tokens::{NEW_KEY, OLD_KEY, write_key_set};

const ENDPOINTS: usize = 4;
const ATTEMPT_LIMIT: u64 = 8;
const CLIENTS: u64 = 16;
const MAX_PLAYBACKS: u64 = 64;
/// Number of requests, without signed URLs, from whose answers the router learns the time.
const CLOCK_REQUESTS: u64 = 200;

/// The settings of the experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Maximum number of requests that are sent.
    pub requests: u64,
    /// Offset of the signers' clocks from the caches' clocks, in seconds.
    pub signer_off: i64,
    /// Offset of the caches' and signers' clocks from the router's clock, in seconds. `None` if the caches do
    /// not report their time.
    pub router_off: Option<i64>,
    /// The check of the router that is disabled, if any.
    pub without: Option<String>,
}

/// Runs the experiment, with half of the requests before the old key is revoked and half after.
pub fn run(plan: &Plan) -> Result<Figures> {
    if let Some(check) = &plan.without {
        ensure_check_is_known(check, &["links", "revoked", "clock"])?;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let experiment = Experiment::start(plan, &runtime)?;
    if let Some(offset) = plan.router_off {
        experiment.fleet.report_time(offset);
        runtime.block_on(send_clock_requests(experiment.proxy.address));
    }
    let playbacks = plan.requests.min(MAX_PLAYBACKS);
    let offset = plan.router_off.unwrap_or_default();
    let tallies = runtime.block_on(run_playbacks(experiment.proxy.address, playbacks, offset));
    let counts = Arc::new(Mutex::new(Counts::default()));
    runtime.block_on(send_requests(plan, experiment.proxy.address, false, &counts));
    experiment.revoke_old_key()?;
    runtime.block_on(send_requests(plan, experiment.proxy.address, true, &counts));
    std::fs::remove_dir_all(&experiment.folder)?;
    let counts = std::mem::take(&mut *counts.lock().unwrap());
    Ok(report(&experiment.fleet, counts, &tallies))
}

/// The router under test, with its stand-in fleet and proxy.
struct Experiment {
    proxy: Arc<Proxy>,
    router: Router,
    fleet: Fleet,
    /// Temporary folder, removed at the end of the experiment.
    folder: PathBuf,
    /// The key set file, in that folder.
    key_set: PathBuf,
}

impl Experiment {
    fn start(plan: &Plan, runtime: &Runtime) -> Result<Self> {
        let fleet = Fleet::start(ENDPOINTS);
        let [front, call] = [free_address(), free_address()];
        let folder_name = format!("tindoor-keys-{}-{}", std::process::id(), front.port());
        let folder = std::env::temp_dir().join(folder_name);
        std::fs::create_dir_all(&folder)?;
        let key_set = folder.join("keys.json");
        write_key_set(&key_set, false)?;
        let options = StartOptions {
            fronts: Some(fronts(front, call, &key_set)),
            disabled_check: plan.without.clone(),
            log_level: Some("info"),
            ..StartOptions::default()
        };
        let router = Router::start_with(&router_configuration(&fleet), &options);
        fleet.change_stream.wait_for_subscriptions(1);
        let proxy = runtime.block_on(Proxy::start(front, call));
        Ok(Self { proxy, router, fleet, folder, key_set })
    }

    /// Revokes the old key, and waits until the router has reread its keys.
    fn revoke_old_key(&self) -> Result<()> {
        write_key_set(&self.key_set, true)?;
        self.router.reread_files();
        self.router.log.wait("the router to reread its keys", |log| {
            log.iter().any(|line| line.contains("keys read again")).then_some(())
        });
        Ok(())
    }
}

/// Returns the fronts file, which configures the signed URLs.
fn fronts(front: SocketAddr, call: SocketAddr, key_set: &Path) -> Value {
    let signed_urls = json!({
        "keys": key_set, "base": "https://videos.example", "skew_ms": SKEW * 1000,
        "offerings": ["pages"], "playback": {"cookie": "play"},
        "forms": [{"form": "hmac", "from": {"query": "t"}, "keys": [OLD_KEY, NEW_KEY]},
                  {"form": "uri-signing", "from": {"query": "URISigningPackage"}},
                  {"form": "uri-signing", "from": {"cookie": "URISigningPackage"}}]});
    json!({"external_processing": {"listen": front}, "call": {"listen": call}, "links": signed_urls})
}

/// Returns the router's configuration, with an additional request class that needs no signed URL.
fn router_configuration(fleet: &Fleet) -> Value {
    let mut configuration = configuration(fleet.change_stream.address, fleet.endpoint_list());
    let settings = &mut configuration["settings"];
    let mut free = settings["request_classes"][0].clone();
    free["name"] = json!("free");
    settings["request_classes"].as_array_mut().expect("a list").push(free);
    settings["family_info"]["class_fresh"] = json!([8_000_000, 0, 0, 8_000_000]);
    settings["family_info"]["goes_through"] = json!([false, true, false, false]);
    configuration
}

/// Sends requests from whose answers the router learns the time. They need no signed URL, so that each of
/// them may be served.
async fn send_clock_requests(address: SocketAddr) {
    for index in 0..CLOCK_REQUESTS {
        let target = format!("/v1/store/free/{:016x}/0", 0x2000 + index);
        let request = Request { target: &target, headers: "x-envoy-external-address: 10.1.1.1\r\n" };
        request.send(address, 0x7000 + index).await;
    }
}

/// What the clients counted.
#[derive(Default)]
struct Counts {
    figures: Figures,
    /// Number of requests of each kind, by the expected result and, if it differs, the received status.
    by_kind: BTreeMap<&'static str, BTreeMap<String, u64>>,
    /// Number of requests whose result was not the expected one.
    mismatches: u64,
    /// Correlation ids of the requests that must not reach a cache.
    unauthorized: Vec<u64>,
}

impl Counts {
    fn add(&mut self, kind: &'static str, correlation_id: u64, expected: Expected, status: Option<u16>) {
        let seen = status.and_then(Expected::from_status);
        self.figures.requests += 1;
        match seen {
            Some(Expected::Authorized) => self.figures.done += 1,
            Some(Expected::RetryLater) => self.figures.rejected += 1,
            Some(Expected::Denied) => self.figures.failed += 1,
            None => self.figures.answered_none += 1,
        }
        if expected != Expected::Authorized {
            self.unauthorized.push(correlation_id);
        }
        let mut result = expected.report_key().to_string();
        if seen != Some(expected) {
            self.mismatches += 1;
            result.push_str(&format!(" got {status:?}"));
        }
        *self.by_kind.entry(kind).or_default().entry(result).or_default() += 1;
    }
}

/// Sends half of the requests from all clients concurrently.
async fn send_requests(plan: &Plan, address: SocketAddr, old_key_revoked: bool, counts: &Arc<Mutex<Counts>>) {
    let offsets = ClockOffsets { agreed: plan.router_off.unwrap_or_default(), signer: plan.signer_off };
    let tasks: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let stream = client * 2 + u64::from(old_key_revoked);
            let sender = Sender {
                address,
                random: Pcg64Mcg::seed_from_u64(plan.seed.wrapping_mul(0x9E37_79B9).wrapping_add(stream)),
                old_key_revoked,
                offsets,
                counts: Arc::clone(counts),
            };
            tokio::spawn(sender.run(plan.requests / (2 * CLIENTS)))
        })
        .collect();
    for task in tasks {
        task.await.expect("a client finishes");
    }
}

/// A client that sends requests of random kinds, one after another.
struct Sender {
    address: SocketAddr,
    random: Pcg64Mcg,
    old_key_revoked: bool,
    offsets: ClockOffsets,
    counts: Arc<Mutex<Counts>>,
}

impl Sender {
    async fn run(mut self, requests: u64) {
        for _ in 0..requests {
            let kind = KINDS[self.random.random_range(0..KINDS.len())];
            let key = if self.random.random_bool(0.5) { OLD_KEY } else { NEW_KEY };
            let correlation_id = self.random.random::<u64>();
            let Self { old_key_revoked, offsets, .. } = self;
            let signed = Variant { kind, key, old_key_revoked, offsets }.request(&mut self.random);
            let request = Request { target: &signed.target, headers: &signed.headers };
            let status = request.send(self.address, correlation_id).await.map(|answer| answer.status);
            self.counts.lock().unwrap().add(kind, correlation_id, signed.expected, status);
        }
    }
}

/// Combines the counts of the clients, the audit of the caches and the tallies of the playbacks.
fn report(fleet: &Fleet, counts: Counts, tallies: &BTreeMap<&'static str, Tally>) -> Figures {
    let Counts { mut figures, by_kind, mismatches, unauthorized } = counts;
    let was_attempted = |id: &&u64| fleet.attempts(&format!("{:016x}", **id)) > 0;
    let reached_a_cache = unauthorized.iter().filter(was_attempted).count() as u64;
    fleet.audit(&mut figures);
    let playbacks: BTreeMap<_, _> =
        tallies.iter().map(|(kind, tally)| (*kind, [tally.passed, tally.total])).collect();
    // One failed check of a kind counts as a failure of all checks of that kind.
    let failed = tallies.values().filter(|tally| tally.passed != tally.total);
    let failed_playbacks: u64 = failed.map(|tally| tally.total).sum();
    let more = [
        ("by_kind", json!(by_kind)),
        ("other_than_must", json!(mismatches)),
        ("refused_reached_a_cache", json!(reached_a_cache)),
        ("videos_as_they_must_of_all", json!(playbacks)),
    ];
    figures.more.extend(more.map(|(key, value)| (key.to_string(), value)));
    figures.judge(ATTEMPT_LIMIT, mismatches + reached_a_cache + failed_playbacks);
    figures
}
