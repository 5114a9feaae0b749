//! Several routers of one fleet as processes, with faults between them and changes of policy under way. Each policy
//! shows at clients and caches: by the time that it tells those rejected, and by the age that its attempts
//! accept. So every answer names the policy that decided it, and no word of a router is taken for it.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

pub use crate::cluster::Plan;
use crate::cluster::{CLOCK_BOUND_MS, CallResult, ClientConnection, Cluster, FaultInjector, isolate};
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::stand_in::Reply;

/// Faults of its own.
pub const FAULTS: &[&str] = &["torn", "proposers", "drain", "purge", "badchange", "strand"];

/// The pause that tells of no lease; no policy of the experiment tells it.
const NO_LEASE: u64 = 400;

/// Marks that there are beside that of the start: a policy's fresh time and its longest Retry-After say which.
const MARKS: u64 = 45;

fn fresh_ms(mark: u64) -> u64 {
    if mark == 0 { 8000 } else { 5000 + 10 * mark }
}

/// What one request showed.
struct Seen {
    router: usize,
    ticket: String,
    sent: Instant,
    answered: Instant,
    /// The pause that it was told, where it was rejected.
    pause: Option<u64>,
    /// When the router had last told after a start that it is good.
    good_since: Option<Instant>,
}

#[derive(Default)]
struct Counts {
    figures: Figures,
    seen: Vec<Seen>,
    no_lease: u64,
    lost_with_router: u64,
    latency_us: Vec<u64>,
}

/// A change as its proposer knows of it.
#[derive(Clone, Debug)]
struct Change {
    mark: u64,
    token: u64,
    at: Instant,
    ended: Option<String>,
}

/// Runs the experiment: its figures.
pub fn run(plan: &Plan) -> Result<Figures> {
    let mut fleet = Fleet::start(4);
    fleet.record_accepted_ages();
    let guards = ["lease", "staged", "compare", "incarnation", "pinned", "synced"];
    let (cluster, ready) = Cluster::start(plan, FAULTS, &guards, fleet, |_| ())?;
    let counts = Arc::new(Mutex::new(Counts::default()));
    let clients: Vec<_> = (0..plan.routers * 2)
        .map(|no| {
            let (cluster, counts) = (Arc::clone(&cluster), Arc::clone(&counts));
            thread::spawn(move || client(&cluster, &counts, no))
        })
        .collect();
    let changes = propose_under_faults(&cluster);
    let stuck = cluster.settle();
    cluster.finished.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let counts = std::mem::take(&mut *counts.lock().unwrap());
    let mut figures = audit(&cluster, counts, &changes, stuck, ready);
    cluster.end(&mut figures);
    Ok(figures)
}

/// One client of one router.
fn client(cluster: &Cluster, counts: &Mutex<Counts>, no: usize) {
    let router = no % cluster.nodes.len();
    let mut chance =
        Pcg64Mcg::seed_from_u64(cluster.plan.seed.wrapping_mul(0x9E37_79B9).wrapping_add(no as u64));
    let mut connection = ClientConnection::new(cluster, router);
    while !cluster.finished.load(Ordering::SeqCst) {
        let kind = chance.random_range(0..20);
        let prefix = match kind {
            0 => "ee00000000000000",
            1 => "dd00000000000000",
            _ => "0000000000001000",
        };
        let object = format!("{}{:02x}", &prefix[..14], chance.random_range(0..64));
        // The first digit says the location.
        let ticket = format!("{}{:015x}", router % 2, chance.random::<u64>() >> 4);
        let fields =
            [("route", "pages"), ("trace", ticket.as_str()), ("patience", "2500"), ("entity", &object)];
        let fields = [&fields[..], &[("chunk", "0"), ("tag", "17")]].concat();
        let Some(came) = connection.call(&fields) else { continue };
        let answered = Instant::now();
        if cluster.requests_sent.fetch_add(1, Ordering::Relaxed) >= cluster.plan.requests {
            // Enough was asked; a request now and then still shows what holds.
            thread::sleep(Duration::from_millis(50));
        }
        let mut counts = counts.lock().unwrap();
        counts.figures.requests += 1;
        let (sent, own, reply) = match came {
            CallResult::Answered { sent_at: sent, is_own: own, reply } => (sent, own, reply),
            CallResult::LostWithRouter => {
                counts.lost_with_router += 1;
                continue;
            }
            CallResult::NoAnswer => {
                counts.figures.answered_none += 1;
                continue;
            }
        };
        counts.figures.answered_twice += u64::from(!own);
        let mut pause = None;
        match reply {
            Reply::Served { .. } => counts.figures.done += 1,
            Reply::Rejected(fields) => {
                counts.figures.rejected += 1;
                pause = fields.get("pause").and_then(|pause| pause.parse().ok());
                counts.no_lease += u64::from(pause == Some(NO_LEASE));
            }
            _ => counts.figures.failed += 1,
        }
        if kind > 1 {
            counts.latency_us.push((answered - sent).as_micros() as u64);
        }
        let good_since = connection.healthy_since;
        counts.seen.push(Seen { router, ticket, sent, answered, pause, good_since });
        drop(counts);
        thread::sleep(Duration::from_millis(chance.random_range(4..20)));
    }
}

/// Proposes changes and makes faults until the time is over; what was proposed.
fn propose_under_faults(cluster: &Arc<Cluster>) -> Vec<Change> {
    let injected = Arc::clone(cluster);
    let faults = thread::spawn(move || FaultInjector::new(&injected).run());
    let mut chance = Pcg64Mcg::seed_from_u64(cluster.plan.seed ^ 0x0090_11c7);
    let (mut changes, mut old) = (Vec::<Change>::new(), None);
    let end = Instant::now() + Duration::from_secs(cluster.plan.seconds);
    while Instant::now() < end {
        // Among other faults not each time, as it waits for a change to be possible.
        let strands = cluster.has_fault("strand") && (cluster.faults.len() == 1 || chance.random_bool(0.3));
        let stranded = if strands { strand(cluster, &mut chance, end) } else { None };
        let proposers = if cluster.has_fault("proposers") { 2 } else { 1 };
        // One in a while made its change from what was in force some time ago.
        let mut made_from = old.filter(|_| cluster.has_fault("proposers") && chance.random_bool(0.4));
        for _ in 0..proposers {
            let no = (chance.random_range(1..cluster.nodes.len().max(2)) + stranded.unwrap_or(0))
                % cluster.nodes.len();
            let mark = changes.len() as u64 % MARKS + 1;
            let in_force =
                cluster.control(no, &json!("policy")).and_then(|policy| policy["generation"].as_u64());
            made_from = made_from.or(in_force);
            old = old.or(in_force);
            let mut new = json!({"offering.pages.fresh_ms": fresh_ms(mark), "longest_come_back_ms": mark});
            // One that some router must refuse, as it has more in hand.
            let refused = cluster.has_fault("badchange") && chance.random_bool(0.2);
            if refused {
                new["limit.open_views"] = json!(1);
            }
            // One that makes the requests of one location fail.
            let bad = cluster.has_fault("badchange") && !refused && chance.random_bool(0.25);
            let failing = if bad { fresh_ms(mark) } else { 0 };
            let propose = json!({"propose": {"changes": new, "from": made_from, "by": format!("lab-{no}"), "note": mark.to_string()}});
            let at = Instant::now();
            let Some(token) = cluster.control(no, &propose).and_then(|answer| answer["token"].as_u64())
            else {
                continue;
            };
            if bad {
                cluster.fleet.lock().unwrap().fail_attempts(failing, "1");
            }
            changes.push(Change { mark, token, at, ended: None });
        }
        let mut next = Instant::now() + Duration::from_millis(chance.random_range(1500..4500));
        if stranded.is_some() {
            next = next.max(Instant::now() + Duration::from_millis(3 * cluster.plan.lease));
        }
        while Instant::now() < next.min(end) {
            ends(cluster, &mut changes);
            thread::sleep(Duration::from_millis(100));
        }
        if stranded.is_some() {
            cluster.relay.change_faults(|faults| faults.severed.clear());
        }
    }
    cluster.faults_finished.store(true, Ordering::SeqCst);
    faults.join().expect("faults end");
    changes
}

/// Cuts one that does not lead off from all others, while nothing stands in the way of the change that is proposed next.
fn strand(cluster: &Cluster, chance: &mut Pcg64Mcg, end: Instant) -> Option<usize> {
    while Instant::now() < end {
        let no = chance.random_range(0..cluster.nodes.len());
        let status = cluster.control(no, &json!("status")).unwrap_or_default();
        let free = status["under_way"].is_null() && status["on_probation"].is_null();
        if free && status["leader"].is_string() && status["leader"] != json!(cluster.peer_address(no)) {
            isolate(cluster, no);
            return Some(no);
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

/// Asks how changes ended that are not known to have.
fn ends(cluster: &Cluster, changes: &mut [Change]) {
    let Some(no) = (0..cluster.nodes.len()).find(|no| cluster.is_running(*no)) else { return };
    for change in changes.iter_mut().filter(|change| change.ended.is_none()) {
        if let Some(end) = cluster.control(no, &json!({"end": {"token": change.token}}))
            && !end.is_null()
        {
            change.ended = Some(end["end"].to_string());
        }
    }
}

/// One thing that shows a policy: from when the request was sent to when that was seen, it was decided.
struct Shown {
    router: usize,
    mark: u64,
    sent: Instant,
    seen: Instant,
    good_since: Option<Instant>,
}

/// Reckons from what clients and caches saw.
fn audit(cluster: &Cluster, mut counts: Counts, changes: &[Change], stuck: u64, ready: Duration) -> Figures {
    let ages = cluster.fleet.lock().unwrap().take_accepted_ages();
    let mut figures = std::mem::take(&mut counts.figures);
    cluster.fleet.lock().unwrap().audit(&mut figures);
    let mark_of_age: HashMap<u64, u64> = (0..=MARKS).map(|mark| (fresh_ms(mark), mark)).collect();
    let (mut shown, mut half_applied, mut unknown) = (Vec::new(), 0u64, 0u64);
    for Seen { router, ticket, sent, answered, pause, good_since } in &counts.seen {
        let none = Vec::new();
        let mut marks = Vec::new();
        // What was purged just now is accepted at no age that a policy says: that attempt shows none.
        for (at, age) in ages.get(ticket).unwrap_or(&none) {
            match mark_of_age.get(age) {
                Some(mark) => marks.push((*mark, *at)),
                None => unknown += 1,
            }
        }
        if let Some(pause) = pause.filter(|pause| *pause != NO_LEASE) {
            // Below 50 ms it is the longest that some policy tells; from there on, one of the first policy.
            marks.push((if pause < 50 { pause } else { 0 }, *answered));
        }
        half_applied += u64::from(marks.iter().any(|(mark, _)| *mark != marks[0].0));
        shown.extend(marks.iter().take(1).map(|(mark, seen)| Shown {
            router: *router,
            mark: *mark,
            sent: *sent,
            seen: *seen,
            good_since: *good_since,
        }));
    }
    // In which order changes took hold, as the fleet's history has it; what is shown must fit it.
    let history = (0..cluster.nodes.len()).filter_map(|no| cluster.control(no, &json!("history")));
    let history = history.max_by_key(|past| past.as_array().map_or(0, Vec::len)).unwrap_or_default();
    let (mut order, mut refused, mut undone, mut cancelled) = (vec![0u64], 0u64, 0u64, 0u64);
    let (mut overwritten, mut in_force) = (0u64, 1u64);
    for past in history.as_array().into_iter().flatten() {
        let took = past["end"] == json!("TookHold");
        refused += u64::from(past["end"].get("Refused").is_some());
        cancelled += u64::from(past["end"].get("CalledOff").is_some());
        if !took {
            continue;
        }
        // A change that was made from what was no longer in force has overwritten what it never saw.
        overwritten += u64::from(past["made_from"].as_u64() != Some(in_force));
        in_force = past["generation"].as_u64().unwrap_or(in_force);
        let undoes = !past["undoes"].is_null();
        undone += u64::from(undoes);
        match past["note"].as_str().and_then(|note| note.parse().ok()) {
            Some(mark) => order.push(mark),
            None => order.push(order.len().checked_sub(2).map_or(0, |at| order[at])),
        }
    }
    let bound = Duration::from_millis(2 * CLOCK_BOUND_MS);
    let moments = moments(&order, &shown, bound);
    let (mut mixed, mut nowhere, mut forgot) = (0u64, 0u64, 0u64);
    let first = counts.seen.iter().map(|seen| seen.sent).min();
    let ms = |at: Option<Instant>| Some((at? - first?).as_millis());
    for Shown { router, mark, sent, seen, good_since } in &shown {
        let phases = order.iter().enumerate().filter(|(_, of)| *of == mark).map(|(at, _)| at);
        let ends = |at: usize| moments[at + 1..].iter().flatten().min().copied();
        let fits = |at: usize| {
            moments[at].is_none_or(|from| *seen >= from) && ends(at).is_none_or(|end| *sent <= end + bound)
        };
        let mut phases = phases.peekable();
        if phases.peek().is_none() {
            nowhere += 1;
            continue;
        }
        let last = phases.clone().last().expect("there is one");
        if !phases.any(fits) {
            mixed += 1;
            if mixed <= 5 {
                let moments: Vec<_> = moments.iter().map(|at| ms(*at)).collect();
                let [sent, seen, good] = [Some(*sent), Some(*seen), *good_since].map(ms);
                eprintln!(
                    "mixed: n{router} by {mark}, sent {sent:?}, seen {seen:?}, good {good:?}; {order:?} at {moments:?}"
                );
            }
            let over = ends(last).is_some_and(|end| good_since.is_some_and(|good| end + bound < good));
            forgot += u64::from(over);
        }
    }
    let mut held: Vec<u64> = Vec::new();
    for change in changes {
        let first = order.iter().position(|mark| *mark == change.mark).and_then(|at| moments[at]);
        held.extend(
            first.and_then(|at| at.checked_duration_since(change.at)).map(|took| took.as_millis() as u64),
        );
    }
    held.sort_unstable();
    counts.latency_us.sort_unstable();
    // From the first request under a policy that was undone to the last.
    let undo_ms = (2..order.len()).filter(|at| order[*at] == order[*at - 2] && order[*at] != order[*at - 1]);
    let undo_ms = undo_ms.filter_map(|at| Some((moments[at]? - moments[at - 1]?).as_millis() as u64)).max();
    let at = |sorted: &[u64], part: f64| sorted.get((part * sorted.len() as f64) as usize).copied();
    let (messages, bytes) = cluster.relay.carried();
    let more: Vec<(&str, Value)> = vec![
        ("routers", json!(cluster.plan.routers)),
        ("changes", json!(changes.len())),
        ("took_hold", json!(order.len() - 1)),
        ("refused", json!(refused + cancelled)),
        ("undone", json!(undone)),
        ("mixed_views", json!(mixed + nowhere)),
        ("nowhere_views", json!(nowhere)),
        ("half_applied", json!(half_applied)),
        ("forgot_policy", json!(forgot)),
        ("overwritten", json!(overwritten)),
        ("unknown_ages", json!(unknown)),
        ("stuck", json!(stuck)),
        ("turned_back_no_lease", json!(counts.no_lease)),
        ("lost_with_router", json!(counts.lost_with_router)),
        ("hold_ms_p50", json!(at(&held, 0.5))),
        ("hold_ms_p99", json!(at(&held, 0.99))),
        ("undo_ms_max", json!(undo_ms)),
        ("view_us_p50", json!(at(&counts.latency_us, 0.5))),
        ("view_us_p99", json!(at(&counts.latency_us, 0.99))),
        ("ready_ms", json!(ready.as_millis() as u64)),
        ("relay_messages", json!(messages)),
        ("relay_bytes", json!(bytes)),
    ];
    figures.more.extend(more.into_iter().map(|(name, value)| (name.to_string(), value)));
    figures.judge(8, mixed + nowhere + half_applied + forgot + overwritten + stuck);
    figures
}

/// When each policy of the order first showed; none for one that no request showed.
fn moments(order: &[u64], shown: &[Shown], bound: Duration) -> Vec<Option<Instant>> {
    let mut moments: Vec<Option<Instant>> = vec![None; order.len()];
    for (at, mark) in order.iter().enumerate().skip(1) {
        // One that was there before shows again: only what was sent after it had gone counts.
        let earlier = order[..at].iter().rposition(|known| known == mark);
        let gone = earlier.and_then(|before| moments[before + 1..at].iter().flatten().min().copied());
        let last = moments[..at].iter().flatten().max().copied();
        let fits = |shown: &&Shown| {
            shown.mark == *mark
                && gone.is_none_or(|gone| shown.sent > gone + bound)
                && last.is_none_or(|last| earlier.is_none() || shown.seen > last)
        };
        moments[at] = shown.iter().filter(fits).map(|shown| shown.seen).min();
    }
    moments
}
