//! Demonstration: one client sends requests to the platform's front of a router with stand-in caches. The
//! report counts the outcomes.

use std::time::Instant;

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::choices::process_usage;
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::stand_in::{Client, FRESH, Reply, Router, StartOptions, call, configuration};

const ENDPOINTS: usize = 4;
const ATTEMPT_LIMIT: u64 = 8;

/// The object that is purged after half of the requests.
const PURGED_OBJECT: &str = "0000000000001001";

/// Sends at most `requests` requests one after another, for at most `seconds` seconds. After half of the
/// requests, one endpoint starts draining and one object is purged.
pub fn run(seed: u64, requests: u64, seconds: u64) -> Result<Figures> {
    let mut fleet = Fleet::start(ENDPOINTS);
    let router = start_router(&fleet);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut client = Client::connect(&router);
    let mut figures = Figures::default();
    let started_at = Instant::now();
    let cpu_before = process_usage(router.pid())?.cpu_seconds;
    for index in 0..requests {
        if started_at.elapsed().as_secs() >= seconds {
            break;
        }
        if index == requests / 2 {
            fleet.drain(0);
            fleet.purge(PURGED_OBJECT);
        }
        let sequence = index as i32 + 1;
        client.send(&page_request(sequence, &random_object(&mut random)));
        figures.requests += 1;
        let reply = client.reply_or_end();
        count_reply(&mut figures, sequence, reply.as_ref());
        if reply.is_none() {
            break;
        }
    }
    figures.more.insert("seconds".into(), json!(started_at.elapsed().as_secs_f64()));
    let cpu_seconds = process_usage(router.pid())?.cpu_seconds - cpu_before;
    let cpu_us_per_request = 1e6 * cpu_seconds / figures.requests.max(1) as f64;
    figures.more.insert("router_cpu_us_each".into(), json!(cpu_us_per_request));
    fleet.audit(&mut figures);
    figures.judge(ATTEMPT_LIMIT, 0);
    Ok(figures)
}

fn start_router(fleet: &Fleet) -> Router {
    let options = StartOptions { log_level: Some("info"), ..StartOptions::default() };
    let configuration = configuration(fleet.change_stream.address, fleet.endpoint_list());
    let router = Router::start_with(&configuration, &options);
    fleet.change_stream.wait_for_subscriptions(1);
    router
}

/// Draws one of 60 objects; low ranks are drawn more often than high ones.
fn random_object(random: &mut Pcg64Mcg) -> String {
    let rank = (60.0 * random.random::<f64>().powi(2)) as u64;
    format!("{:016x}", 0x1000 + rank)
}

fn page_request(sequence: i32, object: &str) -> Vec<u8> {
    let fields = [
        ("route", "pages"),
        ("trace", FRESH),
        ("patience", "3000"),
        ("entity", object),
        ("chunk", "0"),
        ("tag", "17"),
    ];
    call(sequence, &fields, b"")
}

/// Counts the reply to the request with this sequence number; `None` if the connection ended without one.
fn count_reply(figures: &mut Figures, sequence: i32, reply: Option<&(i32, Reply)>) {
    match reply {
        Some((replied, _)) if *replied != sequence => figures.answered_twice += 1,
        Some((_, Reply::Served { .. })) => figures.done += 1,
        Some((_, Reply::Rejected(_))) => figures.rejected += 1,
        Some(_) => figures.failed += 1,
        None => figures.answered_none += 1,
    }
}
