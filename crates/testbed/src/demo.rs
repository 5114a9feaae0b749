//! A router, stand-in caches and clients of the platform's front: requests served, and what came of them.

use std::time::Instant;

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::choices::process_usage;
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::stand_in::{Client, FRESH, Reply, Router, StartOptions, call, configuration};

pub fn run(seed: u64, requests: u64, seconds: u64) -> Result<Figures> {
    let mut fleet = Fleet::start(4);
    let start = StartOptions { log_level: Some("info"), ..StartOptions::default() };
    let router =
        Router::start_with(&configuration(fleet.change_stream.address, fleet.endpoint_list()), &start);
    fleet.change_stream.wait_for_subscriptions(1);
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut client = Client::connect(&router);
    let (mut figures, begun, before) =
        (Figures::default(), Instant::now(), process_usage(router.pid())?.cpu_seconds);
    for nth in 0..requests {
        if begun.elapsed().as_secs() >= seconds {
            break;
        }
        if nth == requests / 2 {
            fleet.drain(0);
            fleet.purge("0000000000001001");
        }
        let object = format!("{:016x}", 0x1000 + (60.0 * chance.random::<f64>().powi(2)) as u64);
        let fields = [("route", "pages"), ("trace", FRESH), ("patience", "3000"), ("entity", &object)];
        let fields = [&fields[..], &[("chunk", "0"), ("tag", "17")]].concat();
        client.send(&call(nth as i32 + 1, &fields, b""));
        figures.requests += 1;
        match client.reply_or_end() {
            Some((seq, Reply::Served { .. })) if seq == nth as i32 + 1 => figures.done += 1,
            Some((seq, Reply::Rejected(_))) if seq == nth as i32 + 1 => figures.rejected += 1,
            Some((seq, _)) if seq == nth as i32 + 1 => figures.failed += 1,
            Some(_) => figures.answered_twice += 1,
            None => {
                figures.answered_none += 1;
                break;
            }
        }
    }
    figures.more.insert("seconds".into(), json!(begun.elapsed().as_secs_f64()));
    let spent = 1e6 * (process_usage(router.pid())?.cpu_seconds - before) / figures.requests.max(1) as f64;
    figures.more.insert("router_cpu_us_each".into(), json!(spent));
    fleet.audit(&mut figures);
    figures.judge(8, 0);
    Ok(figures)
}
