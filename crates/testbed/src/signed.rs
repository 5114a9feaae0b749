//! Experiment: links of every kind, good and bent, under key rotation. An oracle that shares no code with the
//! router, and signs by other libraries, says what each must get; caches say whether a refused request
//! reached them.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use jsonwebtoken::{EncodingKey, Header};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use sha2::Sha256;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::figures::Figures;
use crate::fleet::{Fleet, unix_ms};
use crate::proxy::{Proxy, read};
use crate::stand_in::{Router, StartOptions, configuration};

const KINDS: [&str; 14] = [
    "good",
    "good-token",
    "good-cookie",
    "re-encoded",
    "lapsed",
    "just-lapsed",
    "early",
    "forged",
    "foreign",
    "copied",
    "truncated",
    "elsewhere",
    "missing",
    "revoked",
];

/// What the oracle says a client must get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Must {
    Authorization,
    ComeBack,
    Refused,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub requests: u64,
    /// How far the signers' clocks are off, in seconds.
    pub signer_off: i64,
    /// Caches and signers agree on a time that is off the router's by so many seconds.
    pub router_off: Option<i64>,
    pub without: Option<String>,
}

/// The skew that the router is told.
const SKEW: i64 = 2;

fn secret(key: &str) -> [u8; 32] {
    let mut secret = [0x5a; 32];
    secret.iter_mut().zip(key.bytes()).for_each(|(byte, other)| *byte ^= other);
    secret
}

fn hmac(key: &str, text: &str, signed: &str) -> String {
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret(key)).expect("any length");
    mac.update(signed.as_bytes());
    let digits: String = mac.finalize().into_bytes().iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{text}~hmac={digits}")
}

fn token(key: &str, claims: &Value) -> String {
    let mut header = Header::new(jsonwebtoken::Algorithm::HS256);
    header.kid = Some(key.to_string());
    jsonwebtoken::encode(&header, claims, &EncodingKey::from_secret(&secret(key))).expect("a token")
}

/// Writes the key set so that its owner alone can read it.
fn write_keys(path: &Path, revoked: bool) -> Result<()> {
    let key = |id| json!({"kid": id, "kty": "oct", "alg": "HS256", "k": URL_SAFE_NO_PAD.encode(secret(id))});
    let mut set = json!({"keys": [key("old"), key("new")], "revoked_tokens": ["stolen"]});
    set["keys"][1]["key_ops"] = json!(["sign"]);
    if revoked {
        set["revoked_keys"] = json!(["old"]);
    }
    let new = path.with_extension("new");
    let _ = std::fs::remove_file(&new);
    let mut file = std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&new)?;
    file.write_all(set.to_string().as_bytes())?;
    std::fs::rename(new, path)?;
    Ok(())
}

/// A request of a kind: its target and headers, and what it must get.
fn request(
    kind: &str,
    key: &str,
    revoked: bool,
    (signer_off, off): (i64, i64),
    chance: &mut Pcg64Mcg,
) -> (String, String, Must) {
    // The time that caches and signers agree on: the router has to judge by it, however its own clock stands.
    let now = unix_ms() as i64 / 1000 + off;
    let signed = now + signer_off;
    let object = format!("{:016x}", chance.random_range(0x1000..0x1040u64));
    let path = format!("/v1/store/pages/{object}/{}", chance.random_range(0..4));
    // A token each: one that many clients use is refused to all but a few.
    let own: u64 = chance.random();
    let fields = |begins: i64, ends: i64| {
        format!("ip=10.1.0.0/16~st={begins}~exp={ends}~acl=/v1/store/pages/*~data={own}")
    };
    let plain = fields(signed - 30, signed + 600);
    let by_query = |target: &str, token: &str| format!("{target}?t={}", token.replace('=', "%3d"));
    // A client each: what one may have checked is bounded, and most of these tokens are bad.
    let mut client = format!("10.1.{}.{}", chance.random::<u8>(), chance.random::<u8>());
    let mut headers = String::new();
    // A signer that is off by more than the skew makes its links begin or end at other times, as it should.
    let passes = |begins: i64, ends: i64| match () {
        () if now + SKEW < begins => Must::ComeBack,
        () if now >= ends + SKEW => Must::Refused,
        () => Must::Authorization,
    };
    let by_key = |must| if revoked && key == "old" { Must::Refused } else { must };
    let (target, must) = match kind {
        "good" => (by_query(&path, &hmac(key, &plain, &plain)), by_key(passes(signed - 30, signed + 600))),
        "good-token" | "good-cookie" | "revoked" => {
            let id = if kind == "revoked" { "stolen" } else { "t1" };
            let container = "regex:https://videos\\.example/v1/store/pages/.*";
            let claims = json!({"cdniuc": container, "exp": signed + 600,
                                "nbf": signed - 30, "jti": id, "cdniip": "10.1.0.0/16", "note": own});
            let token = token(key, &claims);
            let must = if kind == "revoked" { Must::Refused } else { passes(signed - 30, signed + 600) };
            let target = match kind {
                "good-cookie" => {
                    headers = format!("cookie: a=b; URISigningPackage={token}\r\n");
                    path
                }
                _ => format!("{path}?URISigningPackage={token}"),
            };
            (target, by_key(must))
        }
        "re-encoded" => {
            let bent = path.replace("/pages/", "//%70ages/./").replace("/v1/", "/x/../v1/");
            (by_query(&bent, &hmac(key, &plain, &plain)), by_key(passes(signed - 30, signed + 600)))
        }
        "lapsed" | "just-lapsed" => {
            let ends = if kind == "lapsed" { signed - 600 } else { signed - SKEW - 3 };
            let text = fields(signed - 900, ends);
            (by_query(&path, &hmac(key, &text, &text)), by_key(passes(signed - 900, ends)))
        }
        "early" => {
            let text = fields(signed + 60, signed + 600);
            (by_query(&path, &hmac(key, &text, &text)), by_key(passes(signed + 60, signed + 600)))
        }
        "forged" => {
            let token = hmac(key, &plain, &plain).replace("exp=", "exp=9");
            (by_query(&path, &token), Must::Refused)
        }
        "foreign" => (by_query(&path, &hmac("stranger", &plain, &plain)), Must::Refused),
        "copied" => {
            client = client.replace("10.1.", "10.9.");
            (by_query(&path, &hmac(key, &plain, &plain)), Must::Refused)
        }
        "truncated" => {
            let token = hmac(key, &plain, &plain);
            (by_query(&path, &token[..token.len() - chance.random_range(1..40)]), Must::Refused)
        }
        "elsewhere" => {
            let text = plain.replace("/pages/*", "/pages/ffff*");
            (by_query(&path, &hmac(key, &text, &text)), Must::Refused)
        }
        _ => (path, Must::Refused),
    };
    headers.push_str(&format!("x-envoy-external-address: {client}\r\n"));
    (target, headers, must)
}

type Counts = BTreeMap<String, BTreeMap<String, u64>>;

/// Runs the experiment: half of the requests before the old key is revoked, half after.
pub fn run(plan: &Plan) -> Result<Figures> {
    if let Some(guard) = &plan.without {
        crate::cluster::ensure_check_is_known(guard, &["links", "revoked", "clock"])?;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let fleet = Fleet::start(4);
    let free = || std::net::TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    let [front, call] = [free()?, free()?];
    let folder = std::env::temp_dir().join(format!("tindoor-keys-{}-{}", std::process::id(), front.port()));
    std::fs::create_dir_all(&folder)?;
    let keys = folder.join("keys.json");
    write_keys(&keys, false)?;
    let links = json!({"keys": keys, "base": "https://videos.example", "skew_ms": SKEW * 1000,
        "offerings": ["pages"], "playback": {"cookie": "play"},
        "forms": [{"form": "hmac", "from": {"query": "t"}, "keys": ["old", "new"]},
                  {"form": "uri-signing", "from": {"query": "URISigningPackage"}},
                  {"form": "uri-signing", "from": {"cookie": "URISigningPackage"}}]});
    let fronts = json!({"external_processing": {"listen": front}, "call": {"listen": call}, "links": links});
    let start = StartOptions {
        fronts: Some(fronts),
        disabled_check: plan.without.clone(),
        log_level: Some("info"),
        ..StartOptions::default()
    };
    let mut told = configuration(fleet.log.address, fleet.members());
    let mut free = told["settings"]["request_classes"][0].clone();
    free["name"] = json!("free");
    told["settings"]["request_classes"].as_array_mut().expect("a list").push(free);
    told["settings"]["family_info"]["class_fresh"] = json!([8_000_000, 0, 0, 8_000_000]);
    told["settings"]["family_info"]["goes_through"] = json!([false, true, false, false]);
    let router = Router::start_with(&told, &start);
    fleet.log.wait_for_subscriptions(1);
    let proxy = runtime.block_on(Proxy::start(front, call));
    let off = plan.router_off.unwrap_or_default();
    if let Some(off) = plan.router_off {
        // The router hears the time with the first answers; of pages that need no link it may serve any.
        fleet.tell_time(off);
        runtime.block_on(async {
            for nth in 0..200u64 {
                let path = format!("/v1/store/free/{:016x}/0", 0x2000 + nth);
                let headers = "x-envoy-external-address: 10.1.1.1\r\n";
                ask(proxy.address, &path, headers, &format!("{:016x}", 0x7000 + nth)).await;
            }
        });
    }
    let videos = runtime.block_on(videos(proxy.address, plan.requests.min(64), off));
    let (figures, counts) = (Arc::new(Mutex::new(Figures::default())), Arc::new(Mutex::new(Counts::new())));
    let refused = Arc::new(Mutex::new(Vec::new()));
    for revoked in [false, true] {
        if revoked {
            write_keys(&keys, true)?;
            router.reread_files();
            router.log.wait("the keys to be read", |log| {
                log.iter().any(|line| line.contains("keys read again")).then_some(())
            });
        }
        let tasks: Vec<_> = (0..16u64)
            .map(|no| {
                let (plan, address) = (plan.clone(), proxy.address);
                let (figures, counts, refused) =
                    (Arc::clone(&figures), Arc::clone(&counts), Arc::clone(&refused));
                runtime.spawn(async move {
                    let seed = plan.seed.wrapping_mul(0x9E37_79B9).wrapping_add(no * 2 + u64::from(revoked));
                    let mut chance = Pcg64Mcg::seed_from_u64(seed);
                    for _ in 0..plan.requests / 32 {
                        let kind = KINDS[chance.random_range(0..KINDS.len())];
                        let key = if chance.random_bool(0.5) { "old" } else { "new" };
                        let ticket = format!("{:016x}", chance.random::<u64>());
                        let offs = (plan.signer_off, plan.router_off.unwrap_or_default());
                        let (target, headers, must) = request(kind, key, revoked, offs, &mut chance);
                        let got = ask(address, &target, &headers, &ticket).await.map(|answer| answer.status);
                        let mut figures = figures.lock().unwrap();
                        figures.requests += 1;
                        let was = match got {
                            Some(200) => Some(Must::Authorization),
                            Some(503) => Some(Must::ComeBack),
                            Some(403) => Some(Must::Refused),
                            _ => None,
                        };
                        match was {
                            Some(Must::Authorization) => figures.done += 1,
                            Some(Must::ComeBack) => figures.rejected += 1,
                            Some(Must::Refused) => figures.failed += 1,
                            None => figures.answered_none += 1,
                        }
                        if must != Must::Authorization {
                            refused.lock().unwrap().push(ticket);
                        }
                        let said = if was == Some(must) {
                            format!("{must:?}")
                        } else {
                            format!("{must:?} got {got:?}")
                        };
                        let mut counts = counts.lock().unwrap();
                        *counts.entry(kind.to_string()).or_default().entry(said).or_default() += 1;
                    }
                })
            })
            .collect();
        runtime.block_on(async {
            for task in tasks {
                task.await.expect("a client that ends");
            }
        });
    }
    std::fs::remove_dir_all(folder)?;
    let mut figures = figures.lock().unwrap().clone();
    let counts = counts.lock().unwrap().clone();
    let wrong: u64 =
        counts.values().flatten().filter(|(said, _)| said.contains("got")).map(|(_, count)| *count).sum();
    let reached = refused.lock().unwrap().iter().filter(|ticket| fleet.attempts(ticket) > 0).count();
    fleet.audit(&mut figures);
    figures.more.insert("by_kind".into(), json!(counts));
    figures.more.insert("other_than_must".into(), json!(wrong));
    figures.more.insert("refused_reached_a_cache".into(), json!(reached));
    let other: u64 = videos.values().filter(|count| count[0] != count[1]).map(|count| count[1]).sum();
    figures.more.insert("videos_as_they_must_of_all".into(), json!(videos));
    figures.judge(8, wrong + reached as u64 + other);
    Ok(figures)
}

/// Videos across the end of their links: of each kind of request after it, how many got what they must, of
/// how many.
async fn videos(address: SocketAddr, count: u64, off: i64) -> BTreeMap<&'static str, [u64; 2]> {
    let mut tasks = Vec::new();
    // Links end at whole seconds: all begin just after one, or what is left of it is too short for some.
    tokio::time::sleep(Duration::from_millis(1010 - unix_ms() % 1000)).await;
    for no in 0..count {
        tasks.push(tokio::spawn(async move {
            // By its clock it is over already; the stated skew lets it begin for a moment more.
            let begun = Instant::now();
            let ends = unix_ms() as i64 / 1000 + off - 1;
            let text = format!("ip=10.1.0.0/16~st={}~exp={ends}~acl=/v1/store/pages/*", ends - 600);
            let link = hmac("new", &text, &text).replace('=', "%3d");
            let mut ticket = 0x5000_0000_0000_0000 + no * TICKETS_OF_A_PLAYBACK;
            let mut part = async |path: String, client: &str, cookie: &str| {
                let headers = format!("x-envoy-external-address: {client}\r\ncookie: play={cookie}\r\n");
                ask_until_not_overloaded(address, &path, &headers, &mut ticket).await
            };
            let (object, own) = (format!("{:016x}", 0x1000 + no % 40), format!("10.1.7.{no}"));
            let path = |nth: u64| format!("/v1/store/pages/{object}/{nth}");
            let first = part(format!("{}?t={link}", path(0)), &own, "").await;
            // On a machine that had no time for it the moment has passed, and nothing is to be said of this
            // one.
            if begun.elapsed() > Duration::from_millis(700) {
                return Vec::new();
            }
            let cookie =
                first.as_ref().and_then(|first| first.set_cookie.split(';').next()?.strip_prefix("play="));
            let cookie = cookie.unwrap_or_default().to_string();
            tokio::time::sleep(std::time::Duration::from_secs(3)).await;
            let status = |answer: Option<CallAnswer>| answer.map_or(0, |answer| answer.status);
            let linked = |nth| format!("{}?t={link}", path(nth));
            let next = part(linked(1), &own, &cookie).await;
            let renewed = next.as_ref().is_some_and(|next| next.set_cookie.starts_with("play="));
            let without_link = status(part(path(9), &own, &cookie).await);
            let without_renewal = status(part(linked(2), &own, "").await);
            let copied = status(part(linked(2), "10.1.8.1", &cookie).await);
            let other_object = status(part("/v1/store/pages/00000000000000aa/1".into(), &own, &cookie).await);
            let renewal_missing = if renewed { "" } else { ", no renewal" };
            vec![
                PlaybackCheck::new("began", 200, status(first), ""),
                PlaybackCheck::new("goes on", 200, status(next), renewal_missing),
                PlaybackCheck::new("goes on without its link", 200, without_link, ""),
                PlaybackCheck::new("lapsed without a renewal", 403, without_renewal, ""),
                PlaybackCheck::new("copied renewal", 403, copied, ""),
                PlaybackCheck::new("renewal of another object", 403, other_object, ""),
            ]
        }));
    }
    let mut counts = BTreeMap::<_, [u64; 2]>::new();
    for task in tasks {
        for check in task.await.expect("a video that ends") {
            let count = counts.entry(check.kind).or_default();
            *count = [count[0] + u64::from(check.passed), count[1] + 1];
            if !check.passed {
                eprintln!("{}: {}", check.kind, check.seen);
            }
        }
    }
    counts
}

/// One request of a playback, and whether it got what it must.
struct PlaybackCheck {
    kind: &'static str,
    passed: bool,
    /// The status that came, 0 where none did, and what else was wrong.
    seen: String,
}

impl PlaybackCheck {
    fn new(kind: &'static str, wanted: u16, got: u16, also_wrong: &str) -> Self {
        Self { kind, passed: got == wanted && also_wrong.is_empty(), seen: format!("{got}{also_wrong}") }
    }
}

/// The tickets that the requests of one playback may use, retries included.
const TICKETS_OF_A_PLAYBACK: u64 = 64;
/// How often a client comes again after its request was given up.
const MAX_RETRIES: usize = 8;

/// The answer of the plain call.
struct CallAnswer {
    status: u16,
    set_cookie: String,
    /// When the client may come again; none unless the request was given up, as under overload.
    retry_after: Option<Duration>,
}

/// Asks, and comes again as told where the request was given up: then the answer says nothing of its link.
async fn ask_until_not_overloaded(
    address: SocketAddr,
    target: &str,
    headers: &str,
    ticket: &mut u64,
) -> Option<CallAnswer> {
    for _ in 0..MAX_RETRIES {
        *ticket += 1;
        let answer = ask(address, target, headers, &format!("{ticket:016x}")).await?;
        let Some(retry_after) = answer.retry_after else { return Some(answer) };
        tokio::time::sleep(retry_after).await;
    }
    *ticket += 1;
    ask(address, target, headers, &format!("{ticket:016x}")).await
}

/// What a client got; none without a whole answer.
async fn ask(address: SocketAddr, target: &str, headers: &str, ticket: &str) -> Option<CallAnswer> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = format!("GET {target} HTTP/1.1\r\nx-ticket: {ticket}\r\nx-max-ms: 3000\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut rest = Vec::new();
    let answer = tokio::time::timeout(Duration::from_secs(10), read(&mut stream, &mut rest));
    let answer = answer.await.ok()?.ok()??;
    let field = |name| answer.fields.get(name).cloned().unwrap_or_default();
    let was_given_up = answer.target == "503" && field("x-tindoor-reason") == "given-up";
    let retry_after_ms = field("x-tindoor-pause-ms").parse().ok().filter(|_| was_given_up);
    Some(CallAnswer {
        status: answer.target.parse().ok()?,
        set_cookie: field("set-cookie"),
        retry_after: retry_after_ms.map(Duration::from_millis),
    })
}
