//! Experiment: proxies that stay call the router for each request, with faults. Counted at caches and
//! clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::proxy::{Fields, Proxy, read};
use crate::stand_in::{Router, StartOptions, configuration};

/// What proxies and clients do by request, and what happens to fleet and router.
pub const BY_REQUEST: [&str; 10] =
    ["before", "after", "silent", "late", "twice", "wrong", "reset", "leave", "ask-twice", "window"];
pub const BY_TIME: [&str; 6] = ["drain", "die", "purge", "connection", "restart", "fail"];

/// What is asked of the experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub requests: u64,
    pub seconds: u64,
    pub faults: Vec<String>,
    pub without: Option<String>,
    /// Clients that ask at once.
    pub clients: u64,
}

impl Plan {
    /// Faults by name, `all` for every one.
    pub fn faults(list: &str) -> Result<Vec<String>> {
        let all = BY_REQUEST.iter().chain(&BY_TIME);
        let mut faults = Vec::new();
        for name in list.split(',').filter(|name| !name.is_empty()) {
            match name {
                "all" => faults.extend(all.clone().map(|name| name.to_string())),
                name if all.clone().any(|known| *known == name) => faults.push(name.to_string()),
                name => bail!(
                    "no such fault: {name}; known: all, {}",
                    [&BY_REQUEST[..], &BY_TIME].concat().join(", ")
                ),
            }
        }
        Ok(faults)
    }

    fn has(&self, fault: &str) -> bool {
        self.faults.iter().any(|known| known == fault)
    }
}

#[derive(Default)]
struct Counts {
    figures: Figures,
    whys: BTreeMap<String, u64>,
    left: u64,
    latency: Option<Histogram<u64>>,
}

struct World {
    plan: Plan,
    proxies: Vec<Arc<Proxy>>,
    counts: Mutex<Counts>,
    next: AtomicU64,
    end: Instant,
}

/// Runs the experiment: its figures.
pub fn run(plan: &Plan) -> Result<Figures> {
    if let Some(guard) = &plan.without {
        crate::cluster::ensure_check_is_known(guard, &["marks", "tickets", "withdraw", "leases"])?;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let mut fleet = Fleet::start(6);
    let free = |_| std::net::TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    let [front, call] = [free(0)?, free(1)?];
    let start = StartOptions {
        fronts: Some(json!({"external_processing": {"listen": front}, "call": {"listen": call}})),
        disabled_check: plan.without.clone(),
        log_level: Some("info"),
        ..StartOptions::default()
    };
    let configured = |fleet: &Fleet| {
        let mut configuration = configuration(fleet.log.address, fleet.members());
        configuration["known"] = fleet.known();
        configuration
    };
    let mut router = Some(Router::start_with(&configured(&fleet), &start));
    fleet.log.wait_for_subscriptions(1);
    let proxies =
        runtime.block_on(async { [Proxy::start(front, call).await, Proxy::start(front, call).await] });
    let world = Arc::new(World {
        plan: plan.clone(),
        proxies: proxies.to_vec(),
        counts: Mutex::default(),
        next: AtomicU64::new(0),
        end: Instant::now() + Duration::from_secs(plan.seconds),
    });
    world.counts.lock().unwrap().latency = Some(Histogram::new_with_bounds(1, 60_000_000, 3)?);
    let clients: Vec<_> = (0..plan.clients).map(|no| runtime.spawn(client(Arc::clone(&world), no))).collect();
    let finished = || clients.iter().all(|client| client.is_finished());

    // What happens to fleet and router meanwhile, one thing after another.
    let mut chance = Pcg64Mcg::seed_from_u64(plan.seed ^ 0xfaa1);
    let mut live: Vec<usize> = (0..6).collect();
    let mut restarts = 0;
    let pause = |millis| std::thread::sleep(Duration::from_millis(millis));
    for round in 0u64.. {
        if finished() {
            break;
        }
        pause(150);
        let at = chance.random_range(0..live.len());
        if plan.has("purge") {
            fleet.purge(&object(chance.random_range(0..40)));
        }
        if plan.has("drain") && round % 4 == 1 {
            fleet.drain(live[at]);
            pause(700);
            live[at] = fleet.replace(live[at]);
        }
        if plan.has("die") && round % 4 == 2 {
            fleet.die(live[at], true);
            pause(300);
            fleet.die(live[at], false);
        }
        if plan.has("connection") && round % 3 == 1 {
            let _inside = runtime.enter();
            proxies[round as usize % 2].reconnect(front);
        }
        if plan.has("restart") && round % 12 == 7 {
            if let Some(mut old) = router.take() {
                old.terminate();
                old.wait();
            }
            let asked = fleet.log.subscriptions.change(|asked| asked.len());
            router = Some(Router::start_with(&configured(&fleet), &start));
            fleet.log.wait_for_subscriptions(asked + 1);
            restarts += 1;
        }
    }
    // Whatever lies about has its end by then.
    pause(if plan.has("silent") || plan.has("late") { 500 } else { 100 });
    let mut counts = std::mem::take(&mut *world.counts.lock().unwrap());
    let mut figures = std::mem::take(&mut counts.figures);
    fleet.audit(&mut figures);
    let mut streams_left = 0;
    let mut choices = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)?;
    let mut statuses = BTreeMap::<String, u64>::new();
    for proxy in &proxies {
        streams_left += *proxy.streams_left.lock().unwrap();
        proxy.choices.lock().unwrap().iter().for_each(|micros| choices.saturating_record(*micros));
        for (code, count) in proxy.statuses.lock().unwrap().iter() {
            *statuses.entry(code.clone()).or_default() += count;
        }
    }
    let at = |histogram: &Histogram<u64>, part| json!(histogram.value_at_quantile(part));
    let latency = counts.latency.take().expect("made at the start");
    let more: [(&str, Value); 9] = [
        ("choices", json!(choices.len())),
        ("choice_us_median", at(&choices, 0.5)),
        ("choice_us_99", at(&choices, 0.99)),
        ("view_us_median", at(&latency, 0.5)),
        ("view_us_99", at(&latency, 0.99)),
        ("clients_left", json!(counts.left)),
        ("streams_left", json!(streams_left)),
        ("ends_by_reason", json!(counts.whys)),
        ("statuses", json!(statuses)),
    ];
    figures.more.extend(more.map(|(name, value)| (name.to_string(), value)));
    figures.more.insert("restarts".into(), json!(restarts));
    figures.judge(8, streams_left);
    if let Some(mut router) = router {
        router.terminate();
        router.wait();
        let said = router.log.change(|log| log.iter().rev().find(|line| line.contains("stopped")).cloned());
        figures.more.insert("router".into(), json!(said.unwrap_or_default()));
    }
    Ok(figures)
}

fn object(no: u64) -> String {
    format!("{:016x}", 0x1000 + no)
}

/// One client: asks one request after another, each on the proxy that comes next.
async fn client(world: Arc<World>, no: u64) {
    let mut chance = Pcg64Mcg::seed_from_u64(world.plan.seed.wrapping_mul(0x9E37_79B9).wrapping_add(no));
    let mut line: [Option<TcpStream>; 2] = [None, None];
    loop {
        let nth = world.next.fetch_add(1, Ordering::Relaxed);
        if nth >= world.plan.requests || Instant::now() > world.end {
            return;
        }
        let by_request: Vec<&str> =
            world.plan.faults.iter().map(String::as_str).filter(|f| BY_REQUEST.contains(f)).collect();
        let fault = match chance.random_bool(0.2) && !by_request.is_empty() {
            true => by_request[chance.random_range(0..by_request.len())],
            false => "",
        };
        // Those that wait for seconds are few, or the day is all waiting.
        let fault =
            if (fault == "silent" || fault == "late") && chance.random_bool(0.8) { "" } else { fault };
        let side = chance.random_range(0..2);
        let save = fault == "ask-twice" || chance.random_bool(0.2);
        let mark = format!("{:032x}", chance.random::<u128>());
        if !save {
            let no = (40.0 * chance.random::<f64>().powi(2)) as u64;
            let bad = world.plan.has("fail") && chance.random_bool(0.02);
            let object =
                if bad { format!("ee{:014x}", chance.random_range(0..1u64 << 40)) } else { object(no) };
            let path = format!("/v1/store/pages/{object}/0");
            ask(&world, &mut line, side, &path, &[], fault, chance.random()).await;
            continue;
        }
        let path = format!("/v1/store/saves/{}/0", object(chance.random_range(0..40)));
        let marked = [("x-nonce", mark.as_str())];
        if fault == "ask-twice" {
            let mut others = [None, None];
            let (first, second) = (chance.random(), chance.random());
            tokio::join!(
                ask(&world, &mut line, side, &path, &marked, "", first),
                ask(&world, &mut others, 1 - side, &path, &marked, "", second)
            );
            continue;
        }
        // A client tries a save again, with its mark, after it was refused.
        let mut again = marked.to_vec();
        for _ in 0..3 {
            let answer = ask(&world, &mut line, side, &path, &again, fault, chance.random()).await;
            let Some((502 | 503, fields)) = answer else { break };
            let rest = fields.get("x-tindoor-pause-ms").and_then(|ms| ms.parse().ok()).unwrap_or(30);
            tokio::time::sleep(Duration::from_millis(rest)).await;
            again = [&marked[..], &[("x-redo", "1")]].concat();
        }
    }
}

/// One request: it is to get one answer, in time.
async fn ask(
    world: &World,
    line: &mut [Option<TcpStream>; 2],
    side: usize,
    path: &str,
    more: &[(&str, &str)],
    fault: &str,
    ticket: u64,
) -> Option<(u16, Fields)> {
    let ticket = format!("{ticket:016x}");
    let mut head = format!("GET {path} HTTP/1.1\r\nx-ticket: {ticket}\r\nx-max-ms: 3000\r\nx-group: 17\r\n");
    for (name, value) in more {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !["", "leave", "ask-twice"].contains(&fault) {
        head.push_str(&format!("x-fault: {fault}\r\n"));
    }
    head.push_str("\r\n");
    let address: SocketAddr = world.proxies[side].address;
    let mut stream = match line[side].take() {
        Some(stream) => stream,
        None => TcpStream::connect(address).await.ok()?,
    };
    let _ = stream.set_nodelay(true);
    world.counts.lock().unwrap().figures.requests += 1;
    let begun = Instant::now();
    // An answer that nobody asked for lies there already.
    let mut rest = Vec::new();
    if stream.try_read_buf(&mut rest).is_ok_and(|size| size > 0) {
        world.counts.lock().unwrap().figures.answered_twice += 1;
        rest.clear();
    }
    stream.write_all(head.as_bytes()).await.ok()?;
    if fault == "leave" {
        let wait = Duration::from_micros(u64::from_str_radix(&ticket[..4], 16).unwrap_or(0) % 3000);
        tokio::time::sleep(wait).await;
        world.counts.lock().unwrap().left += 1;
        return None;
    }
    let answer = tokio::time::timeout(Duration::from_secs(10), read(&mut stream, &mut rest)).await;
    let mut counts = world.counts.lock().unwrap();
    let Ok(Ok(Some(answer))) = answer else {
        counts.figures.answered_none += 1;
        return None;
    };
    let own = answer.fields.get("x-lab-ticket") == Some(&ticket);
    counts.figures.answered_twice += u64::from(!own || !rest.is_empty());
    if let Some(latency) = &mut counts.latency {
        latency.saturating_record(begun.elapsed().as_micros() as u64);
    }
    let status = answer.what.parse().unwrap_or(0);
    match status {
        200 | 304 => counts.figures.done += 1,
        503 => counts.figures.rejected += 1,
        _ => counts.figures.failed += 1,
    }
    if status != 200 {
        let why = answer.fields.get("x-tindoor-reason").or(answer.fields.get("x-lab-why")).cloned();
        *counts.whys.entry(format!("{status} {}", why.unwrap_or_default())).or_default() += 1;
    }
    drop(counts);
    line[side] = Some(stream);
    Some((status, answer.fields))
}
