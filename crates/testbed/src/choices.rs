//! Measurement: what a choice takes, against a call that the same front refuses before any module or table is
//! asked.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio::net::TcpStream;

use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::peer::{self, PROCESS};
use crate::stand_in::{Router, StartOptions, configuration};

/// Seconds of processor that a process has used, and its resident kilobytes.
pub(crate) fn used(pid: u32) -> Result<(f64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS")).context("no VmRSS")?;
    Ok((ticks / 100.0, line.split_whitespace().nth(1).context("no number")?.parse()?))
}

fn router(fleet: &Fleet) -> Router {
    let fronts = Some(json!({"external_processing": {"listen": "127.0.0.1:0"}}));
    let start = StartOptions { fronts, log_level: Some("info"), ..StartOptions::default() };
    let router = Router::start_with(&configuration(fleet.log.address, fleet.members()), &start);
    fleet.log.wait_for_subscriptions(1);
    router
}

/// So many streams at once, each asking again once it has its end and has paused; without a pause the router
/// is full.
pub fn run(seed: u64, requests: u64, streams: u64, pause: Duration) -> Result<Figures> {
    let fleet = Fleet::start(6);
    let router = router(&fleet);
    let front = router.front("external_processing");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let mut figures = Figures::default();
    for (name, refused) in [("choice", false), ("refused", true)] {
        let (begun, before) = (Instant::now(), used(router.pid())?);
        let latency = Arc::new(Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)?));
        let (next, good) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        runtime.block_on(async {
            let mut tasks = Vec::new();
            for group in 0..streams.div_ceil(250) {
                let socket = TcpStream::connect(front).await?;
                socket.set_nodelay(true)?;
                let (sender, connection) =
                    h2::client::Builder::new().data_frame_budget(1 << 20).handshake(socket).await?;
                tokio::spawn(async move { connection.await.ok() });
                for no in group * 250..streams.min(group * 250 + 250) {
                    let (sender, latency) = (sender.clone(), Arc::clone(&latency));
                    let (next, good) = (Arc::clone(&next), Arc::clone(&good));
                    tasks.push(tokio::spawn(async move {
                        let mut chance = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(7919).wrapping_add(no));
                        while next.fetch_add(1, Ordering::Relaxed) < requests {
                            let path = format!("/v1/store/pages/{:016x}/0", chance.random_range(0..2000u64));
                            let wait = if refused { "never" } else { "3000" };
                            let more = [(":path", path.as_str()), ("x-max-ms", wait), ("x-group", "7")];
                            let asked = peer::page(chance.random(), &more);
                            let took = peer::once(sender.clone(), PROCESS, asked).await;
                            // Without a pause at all, a timer would make one.
                            if !pause.is_zero() {
                                tokio::time::sleep(pause.mul_f64(chance.random_range(0.5..1.5))).await;
                            }
                            if let Some(took) = took {
                                good.fetch_add(1, Ordering::Relaxed);
                                latency.lock().unwrap().saturating_record(took.as_micros() as u64);
                            }
                        }
                    }));
                }
            }
            for task in tasks {
                task.await?;
            }
            anyhow::Ok(())
        })?;
        let (after, seconds) = (used(router.pid())?, begun.elapsed().as_secs_f64());
        let good = good.load(Ordering::Relaxed);
        let latency = latency.lock().unwrap();
        let figure = [
            ("us_median", json!(latency.value_at_quantile(0.5))),
            ("us_99", json!(latency.value_at_quantile(0.99))),
            ("a_second", json!((good as f64 / seconds).round())),
            ("a_second_of_one_core", json!((good as f64 / (after.0 - before.0)).round())),
            ("cpu_us_each", json!(1e6 * (after.0 - before.0) / good as f64)),
        ];
        for (what, value) in figure {
            figures.more.insert(format!("{name}_{what}"), value);
        }
        figures.requests += requests;
        figures.answered_none += requests - good;
    }
    figures.done = figures.requests - figures.answered_none;
    figures.judge(8, 0);
    Ok(figures)
}

/// Memory of open streams, so many on each of so many connections.
pub fn memory(streams: usize, connections: usize) -> Result<Figures> {
    let fleet = Fleet::start(6);
    let router = router(&fleet);
    let front = router.front("external_processing");
    let before = used(router.pid())?.1;
    let (given, at_most) =
        peer::hold_many(front, streams, connections, || used(router.pid()).map_or(0, |now| now.1));
    let mut figures = Figures { requests: given as u64, done: given as u64, ..Figures::default() };
    let more =
        [("kb_before", before), ("kb_with_streams", at_most), ("streams", (streams * connections) as u64)];
    figures.more.extend(more.map(|(name, value)| (name.to_string(), json!(value))));
    let each = (at_most.saturating_sub(before)) as f64 * 1024.0 / (streams * connections) as f64;
    figures.more.insert("bytes_a_stream".into(), json!(each.round()));
    Ok(figures)
}
