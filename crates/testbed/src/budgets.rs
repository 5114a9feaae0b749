//! Several routers of one fleet as processes that divide the fleet's budgets, with faults between them. What is counted
//! is what stand-in caches saw by their own clock, over every window; no word of a router is taken for it.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

pub use crate::cluster::Plan;
use crate::cluster::{CallResult, ClientConnection, Cluster, FaultInjector, wait_until};
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::relay::RecordedMessage;
use crate::stand_in::Reply;

/// Faults of its own.
pub const FAULTS: &[&str] = &["join", "lower", "shift"];

pub const GUARDS: &[&str] = &["lapse", "epoch", "returned", "burst", "wakes", "floor"];

/// The wholes beside fills by the origin, which the plan tells: so few that clients on a slow machine want more as
/// well, and so many that a router whose clients want little wants less than its part. A lowered whole is half of it.
const FLOORS: f64 = 0.05;
const FURTHER: [f64; 2] = [30.0, 40.0];
const ACCOUNT: [f64; 2] = [400.0, 60.0];
const CONNECTIONS: [f64; 2] = [40.0, 60.0];

/// How far apart a spending and its arrival at a cache may lie, in seconds. What a machine with other things to do adds to
/// it is measured: by how much a thread that sleeps oversleeps.
const SLACK: f64 = 0.15;

/// How long it is calm at the end, after which use is counted.
const CALM: Duration = Duration::from_millis(7000);

/// Clients of each router: together they want more than the whole.
const CLIENTS: usize = 6;

/// A fill that was wanted: by which router, when, and whether it came.
type Wanted = (usize, Instant, bool);

#[derive(Default)]
struct Counts {
    figures: Figures,
    wanted: Vec<Wanted>,
    lost_with_router: u64,
}

/// When a whole was told to be what it is, and when that was known to hold.
#[derive(Clone, Copy, Debug)]
struct Told {
    to: f64,
    asked: Instant,
    held: Option<Instant>,
}

/// Runs the experiment: its figures.
pub fn run(plan: &Plan) -> Result<Figures> {
    let mut fleet = Fleet::start(4);
    fleet.record_shared_use();
    // Fills may be many at once by the routing engine's own reckoning: the budget is what is looked at.
    let change = |told: &mut Value| {
        told["settings"]["request_classes"][0]["objective"] = json!(2_000_000);
        // All caches are in one location, and all routers are to reach them.
        told["settings"]["zone"] = json!(0);
    };
    let (cluster, ready) = Cluster::start(plan, FAULTS, GUARDS, fleet, change)?;
    // A burst is two for each router that may belong, at least.
    let burst = |burst: f64| burst.max(2.0 * (plan.routers + 4) as f64);
    let [fills, fills_burst, in_hand] = plan.fills;
    let first = json!({
        "budget.routers_most": plan.routers + 4, "budget.floor_part": FLOORS,
        "budget.origin_fills.per_s": fills, "budget.origin_fills.burst": burst(fills_burst),
        "budget.origin_fills.in_hand": in_hand, "budget.further.per_s": FURTHER[0], "budget.further.burst": burst(FURTHER[1]),
        "budget.accounts.per_s": ACCOUNT[0], "budget.accounts.burst": burst(ACCOUNT[1]),
        "budget.connections.per_s": CONNECTIONS[0], "budget.connections.burst": burst(CONNECTIONS[1]),
    });
    propose(&cluster, 0, 0, &first).context("budgets are proposed")?;
    let settled = |no: usize| {
        let status = cluster.control(no, &json!("status")).unwrap_or_default();
        status["generation"] == json!(2) && status["on_probation"].is_null() && status["out"].is_null()
    };
    wait_until(Duration::from_secs(60), "budgets in force", || (0..plan.routers).all(settled))?;
    if cluster.has_fault("join") {
        cluster.kill(plan.routers - 1);
    }
    cluster.relay.record();
    let begun = Instant::now();
    let counts = Arc::new(Mutex::new(Counts::default()));
    let clients: Vec<_> = (0..plan.routers * CLIENTS)
        .map(|no| {
            let (cluster, counts) = (Arc::clone(&cluster), Arc::clone(&counts));
            thread::spawn(move || client(&cluster, &counts, no))
        })
        .collect();
    let sleeping = Arc::clone(&cluster);
    let overslept = thread::spawn(move || {
        let mut most = 0f64;
        while !sleeping.finished.load(Ordering::SeqCst) {
            let slept = Instant::now();
            thread::sleep(Duration::from_millis(5));
            most = most.max(slept.elapsed().as_secs_f64() - 0.005);
        }
        most
    });
    let injected = Arc::clone(&cluster);
    let faults = thread::spawn(move || FaultInjector::new(&injected).run());
    let told = lower(&cluster, begun);
    cluster.faults_finished.store(true, Ordering::SeqCst);
    faults.join().expect("faults end");
    let stuck = cluster.settle();
    // Without a guard use is not looked at.
    let calm_lasts = if plan.without.is_some() { Duration::ZERO } else { CALM };
    if plan.without.is_none() {
        thread::sleep(Duration::from_millis(2 * plan.lease));
    }
    let calm = Instant::now();
    // What use is held against, and who takes no requests as its clock is off: asked of the routers, as nothing is
    // forgiven by it.
    let in_force = (0..plan.routers).find_map(|no| cluster.control(no, &json!("policy"))).unwrap_or_default();
    let whole = in_force["policy"]["budget.origin_fills.per_s"].as_f64().unwrap_or(fills);
    thread::sleep(calm_lasts);
    let ended = Instant::now();
    let out = |no: &usize| !cluster.control(*no, &json!("status")).unwrap_or_default()["out"].is_null();
    let out: Vec<usize> = (0..plan.routers).filter(out).collect();
    cluster.finished.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let slack = SLACK + overslept.join().unwrap_or_default();
    let mut counts = std::mem::take(&mut *counts.lock().unwrap());
    counts.wanted.retain(|(router, ..)| !out.contains(router));
    let told = in_order(&cluster, &told);
    let mut figures = audit(&cluster, counts, &told, [whole, slack], [begun, calm, ended], stuck, ready);
    cluster.end(&mut figures);
    Ok(figures)
}

fn propose(cluster: &Cluster, no: usize, note: usize, what: &Value) -> Option<u64> {
    let ask = json!({"propose": {"changes": what, "from": null, "by": "lab", "note": note.to_string()}});
    cluster.control(no, &ask)?["token"].as_u64()
}

/// While faults are made: the whole is lowered and raised again, where that is asked for, and one more router comes.
fn lower(cluster: &Cluster, begun: Instant) -> Vec<Told> {
    // The first is how it begins; the number of each is its note.
    let fills = cluster.plan.fills[0];
    let mut told = vec![Told { to: fills, asked: begun, held: Some(begun) }];
    let mut tokens: Vec<Option<u64>> = vec![None];
    let end = begun + Duration::from_secs(cluster.plan.seconds);
    let (mut next, mut joined) = (begun, false);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
        cluster.find_leader();
        if cluster.has_fault("join")
            && !joined
            && begun.elapsed() * 3 > Duration::from_secs(cluster.plan.seconds)
        {
            joined = true;
            if !cluster.is_running(cluster.nodes.len() - 1) {
                cluster.start_node(cluster.nodes.len() - 1, None);
            }
        }
        let Some(no) = (0..cluster.nodes.len()).find(|no| cluster.is_running(*no)) else { continue };
        ended(cluster, no, &mut told, &mut tokens);
        if cluster.has_fault("lower") && Instant::now() >= next {
            let (nth, asked) = (told.len(), Instant::now());
            let to = if nth % 2 == 1 { fills / 2.0 } else { fills };
            let token = propose(cluster, no, nth, &json!({"budget.origin_fills.per_s": to}));
            if let Some(token) = token {
                told.push(Told { to, asked, held: None });
                tokens.push(Some(token));
                next = asked + Duration::from_millis(2500);
            }
        }
    }
    told
}

/// Asks which of those that were asked for hold by now.
fn ended(cluster: &Cluster, no: usize, told: &mut [Told], tokens: &mut [Option<u64>]) {
    for (told, token) in told.iter_mut().zip(tokens) {
        let Some(known) = *token else { continue };
        let Some(end) = cluster.control(no, &json!({"end": {"token": known}})).filter(|end| !end.is_null())
        else {
            continue;
        };
        *token = None;
        told.held = Some(Instant::now()).filter(|_| end["end"] == json!("TookHold"));
    }
}

/// Those that took hold, in the order in which they did, as the fleet's history has it.
fn in_order(cluster: &Cluster, told: &[Told]) -> Vec<Told> {
    let history = (0..cluster.nodes.len()).filter_map(|no| cluster.control(no, &json!("history")));
    let history = history.max_by_key(|past| past.as_array().map_or(0, Vec::len)).unwrap_or_default();
    let past = history.as_array().cloned().unwrap_or_default();
    let held = past.iter().filter(|past| past["end"] == json!("TookHold"));
    let number = |past: &Value| past["note"].as_str()?.parse::<usize>().ok();
    let mut order = vec![told[0]];
    // What undid a change has no number: the one before it holds again, from when that was asked for on.
    for past in held.filter(|past| past["generation"].as_u64() > Some(2)) {
        let before = order.len().saturating_sub(2);
        order.push(match number(past).and_then(|nth| told.get(nth)) {
            Some(told) => *told,
            None => Told { held: None, ..order[before] },
        });
    }
    order
}

/// One client of one router: most of what it asks for nobody holds.
fn client(cluster: &Cluster, counts: &Mutex<Counts>, no: usize) {
    let router = no % cluster.nodes.len();
    let mut chance =
        Pcg64Mcg::seed_from_u64(cluster.plan.seed.wrapping_mul(0x9E37_79B9).wrapping_add(no as u64));
    let mut connection = ClientConnection::new(cluster, router);
    while !cluster.finished.load(Ordering::SeqCst) {
        let kind = chance.random_range(0..20);
        let object = match kind {
            0 | 1 => format!("ee{:014x}", chance.random::<u64>() >> 8),
            2..6 => format!("00000000000010{:02x}", chance.random_range(0..16)),
            // Where few may be under way at once each lasts: what is at the origin is then what routers have in hand.
            _ if cluster.plan.fills[2] < 20.0 => format!("f2{:014x}", chance.random::<u64>() >> 8),
            _ => format!("f1{:014x}", chance.random::<u64>() >> 8),
        };
        let ticket = format!("{}{:015x}", router % 2, chance.random::<u64>() >> 4);
        let fields =
            [("route", "pages"), ("trace", ticket.as_str()), ("patience", "2500"), ("entity", &object)];
        let fields = [&fields[..], &[("chunk", "0"), ("tag", "17")]].concat();
        let asked = Instant::now();
        let Some(came) = connection.call(&fields) else { continue };
        if cluster.requests_sent.fetch_add(1, Ordering::Relaxed) >= cluster.plan.requests {
            thread::sleep(Duration::from_millis(50));
        }
        let mut counts = counts.lock().unwrap();
        counts.figures.requests += 1;
        match came {
            CallResult::LostWithRouter => counts.lost_with_router += 1,
            CallResult::NoAnswer => counts.figures.answered_none += 1,
            CallResult::Answered { is_own: own, reply, .. } => {
                counts.figures.answered_twice += u64::from(!own);
                let done = matches!(reply, Reply::Served { .. });
                match reply {
                    Reply::Served { .. } => counts.figures.done += 1,
                    Reply::Rejected(_) => counts.figures.rejected += 1,
                    _ => counts.figures.failed += 1,
                }
                if kind >= 6 {
                    counts.wanted.push((router, asked, done));
                }
            }
        }
        drop(counts);
        // Demand moves, less often than it is forgotten: then others want much, and the rest little.
        let shifts = cluster.has_fault("shift") && !cluster.faults_finished.load(Ordering::SeqCst);
        let little = shifts && !cluster.has_high_demand(router);
        let most = if little { 4000 } else { 12 };
        let due = Instant::now() + Duration::from_millis(chance.random_range(most / 4..most));
        // Not beyond the end of the spell.
        while Instant::now() < due
            && !cluster.finished.load(Ordering::SeqCst)
            && !(little && cluster.has_high_demand(router))
        {
            thread::sleep((due - Instant::now()).min(Duration::from_millis(30)));
        }
    }
}

/// A bucket that begins full says for all windows at once whether there were more than so much a second and one burst:
/// how many were over, and the most of the whole that any window took.
fn windows(times: &[Instant], burst: f64, slack: f64, rate: impl Fn(Instant) -> f64) -> (u64, f64) {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let Some(first) = sorted.first().copied() else { return (0, 0.0) };
    let (mut last, mut over, mut most) = (first, 0, 0f64);
    let room = |at: Instant| burst + slack * rate(at);
    let mut left = room(first);
    for at in sorted {
        left = (left + (at - last).as_secs_f64() * rate(at)).min(room(at)) - 1.0;
        last = at;
        most = most.max((room(at) - left) / room(at));
        if left < 0.0 {
            over += 1;
            left = 0.0;
        }
    }
    (over, most)
}

/// A line, as it stands in messages; that of fills by the origin.
type Named = (u16, u64);
const ORIGIN_FILLS: Named = (1, 0);

/// What a message says of shares, read by the lab's own account of its form.
enum Says {
    /// A start asks, by number.
    Asks(u64, u64),
    /// The answer to it: of each line flow and stock in thousandths, and microseconds from the question.
    Lends(u64, Vec<(Named, (u64, u64), u64)>),
}

fn read(message: &[u8]) -> Option<Says> {
    type Head = (String, u64, String, u32);
    let ((_, start, _, kind), rest) = postcard::take_from_bytes::<Head>(message).ok()?;
    match kind {
        3 => Some(Says::Asks(start, postcard::take_from_bytes::<u64>(rest).ok()?.0)),
        4 => {
            type Granted = (u64, u64, Vec<(Named, (u64, u64), u64)>);
            let ((nonce, _, shares), _) = postcard::take_from_bytes::<Granted>(rest).ok()?;
            Some(Says::Lends(nonce, shares))
        }
        _ => None,
    }
}

/// From what passed between routers: at how many moments more fills were lent than the whole allows beside the floors
/// of all that may belong, and the most of it that was. What the leader keeps for itself passes nobody.
fn granted(
    passed: &[RecordedMessage],
    routers: usize,
    burst: f64,
    whole: impl Fn(Instant) -> f64,
) -> (u64, f64) {
    // By router its start, question and when; by start what it holds until when.
    let mut asked: HashMap<&str, (u64, u64, Instant)> = HashMap::new();
    let mut holds: HashMap<u64, ((u64, u64), Instant)> = HashMap::new();
    let (mut over, mut most) = (0, 0f64);
    let mut sorted: Vec<&RecordedMessage> = passed.iter().collect();
    sorted.sort_by_key(|passed| passed.at);
    let floors = (routers + 4) as f64;
    let burst = (burst - floors) * 1000.0;
    for RecordedMessage { at, forwarded, from, to, message } in sorted {
        match read(message) {
            Some(Says::Asks(start, nonce)) if !forwarded => drop(asked.insert(from, (start, nonce, *at))),
            Some(Says::Lends(nonce, shares)) if *forwarded => {
                let Some((start, _, from)) = asked.get(to.as_str()).filter(|asked| asked.1 == nonce) else {
                    continue;
                };
                let lent = shares.iter().find(|(line, ..)| *line == ORIGIN_FILLS);
                let (share, left) = lent.map_or(((0, 0), 0), |(_, share, left)| (*share, *left));
                holds.insert(*start, (share, *from + Duration::from_micros(left)));
                let alive = holds.values().filter(|(_, until)| until > at);
                let sum = alive.fold((0, 0), |sum, (share, _)| (sum.0 + share.0, sum.1 + share.1));
                let part = (sum.0 as f64 / (whole(*at) * (1.0 - FLOORS) * 1000.0)).max(sum.1 as f64 / burst);
                most = most.max(part);
                // Floors are whole thousandths of a unit, so a little more is left beside them.
                over += u64::from(part > 1.0 + 1e-3);
            }
            _ => {}
        }
    }
    (over, most)
}

/// Reckons from what caches and clients saw.
fn audit(
    cluster: &Cluster,
    counts: Counts,
    told: &[Told],
    [in_calm, slack]: [f64; 2],
    [begun, calm, ended]: [Instant; 3],
    stuck: u64,
    ready: Duration,
) -> Figures {
    let shared = cluster.fleet.lock().unwrap().shared_use();
    let mut figures = counts.figures;
    cluster.fleet.lock().unwrap().audit(&mut figures);
    // A lowered whole counts from when it was known to hold, a raised one from when it was asked for.
    let whole = |at: Instant| {
        let mut whole = cluster.plan.fills[0];
        for pair in told.windows(2) {
            let [old, new] = [pair[0].to, pair[1].to];
            let from = if new < old { pair[1].held } else { Some(pair[1].asked) };
            whole = if from.is_some_and(|from| at >= from) { new } else { whole };
        }
        whole
    };
    let burst = |burst: f64| burst.max(2.0 * (cluster.nodes.len() + 4) as f64);
    let from = |times: &[Instant]| times.iter().copied().filter(|at| *at >= begun).collect::<Vec<_>>();
    let began: Vec<Instant> = shared.fills.iter().map(|fill| fill.began).collect();
    let (fills_over, most) = windows(&from(&began), burst(cluster.plan.fills[1]), slack, whole);
    let (further_over, most_further) =
        windows(&from(&shared.retries), burst(FURTHER[1]), slack, |_| FURTHER[0]);
    let (requests_over, most_requests) =
        windows(&from(&shared.requests), burst(ACCOUNT[1]), slack, |_| ACCOUNT[0]);
    let connections = shared
        .connections
        .values()
        .map(|times| windows(&from(times), burst(CONNECTIONS[1]), slack, |_| CONNECTIONS[0]));
    let (connections_over, most_connections) =
        connections.fold((0, 0f64), |(over, most), (more, of)| (over + more, most.max(of)));
    // In hand: what began and has not ended yet.
    let mut edges: Vec<(Instant, i64)> =
        shared.fills.iter().flat_map(|fill| [(fill.began, 1), (fill.ended, -1)]).collect();
    edges.sort_unstable();
    let (mut in_hand, mut most_in_hand) = (0i64, 0i64);
    for (_, edge) in edges {
        in_hand += edge;
        most_in_hand = most_in_hand.max(in_hand);
    }
    let in_hand_over = (most_in_hand - cluster.plan.fills[2] as i64).max(0) as u64;
    let used = began.iter().filter(|at| (calm..ended).contains(*at)).count() as f64;
    let allowed: f64 = in_calm * (ended - calm).as_secs_f64();
    // In two seconds of calm one that wants much gets something.
    let mut spells: HashMap<(usize, u64), (u64, u64)> = HashMap::new();
    for (router, at, done) in counts.wanted.iter().filter(|wanted| wanted.1 >= calm) {
        let spell = spells.entry((*router, (*at - calm).as_secs() / 2)).or_default();
        *spell = (spell.0 + 1, spell.1 + u64::from(*done));
    }
    let starved = spells.values().filter(|(wanted, had)| *wanted >= 10 && *had == 0).count();
    // After most were killed: until the others fill as much as the whole allows.
    let kills = cluster.injected.lock().unwrap().clone();
    let again = |at: Instant| {
        let step = Duration::from_millis(100);
        let full = |from: Instant| {
            let to = from + Duration::from_millis(500);
            let filled = began.iter().filter(|fill| (from..to).contains(*fill)).count() as f64;
            to < ended && filled >= 0.85 * 0.5 * whole(from)
        };
        (1..100).map(|nth| step * nth).find(|after| full(at + *after)).map(|after| after.as_millis() as u64)
    };
    let killed = kills.iter().filter(|(_, act)| *act == "killmost");
    let mut regrant: Vec<u64> = killed.filter_map(|(at, _)| again(*at)).collect();
    regrant.sort_unstable();
    let part = |of: f64| regrant.get((of * regrant.len() as f64) as usize).copied();
    let (messages, bytes) = cluster.relay.carried();
    let (granted_over, most_granted) =
        granted(&cluster.relay.recorded(), cluster.nodes.len(), burst(cluster.plan.fills[1]), whole);
    let over = granted_over + fills_over + further_over + requests_over + connections_over + in_hand_over;
    let more: Vec<(&str, Value)> = vec![
        ("routers", json!(cluster.plan.routers)),
        ("budgets", json!(5)),
        ("windows_over", json!(over)),
        ("fills_over", json!(fills_over)),
        ("granted_over", json!(granted_over)),
        ("most_granted", json!(most_granted)),
        ("in_hand_over", json!(in_hand_over)),
        ("further_over", json!(further_over)),
        ("requests_over", json!(requests_over)),
        ("connections_over", json!(connections_over)),
        ("slack_s", json!(slack)),
        ("most_of_whole", json!(most)),
        ("most_of_others", json!([most_further, most_requests, most_connections])),
        ("most_in_hand", json!(most_in_hand)),
        ("used_of_whole", json!(used / allowed.max(1.0))),
        ("starved", json!(starved)),
        ("regrant_ms_p50", json!(part(0.5))),
        ("regrant_ms_p99", json!(part(0.99))),
        ("lowered", json!(told.len() - 1)),
        ("filled", json!(began.len())),
        ("further", json!(shared.retries.len())),
        ("stuck", json!(stuck)),
        ("lost_with_router", json!(counts.lost_with_router)),
        ("ready_ms", json!(ready.as_millis() as u64)),
        ("relay_messages", json!(messages)),
        ("relay_bytes", json!(bytes)),
    ];
    figures.more.extend(more.into_iter().map(|(name, value)| (name.to_string(), value)));
    figures.judge(8, over + stuck);
    figures
}
