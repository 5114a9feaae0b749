//! Several routers of one fleet as processes, with faults between them and changes of policy under way. Each policy
//! shows at clients and caches: by the time that it tells those turned back, and by the age that its dispatches
//! accept. So every answer names the policy that decided it, and no word of a router is taken for it.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::relay::Relay;
use crate::simulated::named;
use crate::stand_in::{Client, Reply, Router, Start, call, configuration, frame};

/// What may be asked for by name.
pub const FAULTS: &[&str] = &[
    "drop",
    "delay",
    "reorder",
    "duplicate",
    "oneway",
    "split",
    "island",
    "kill",
    "killmost",
    "pause",
    "restart",
    "torn",
    "leader",
    "proposers",
    "drain",
    "purge",
    "badchange",
    "clock",
];

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub views: u64,
    /// How long faults go on.
    pub seconds: u64,
    pub routers: usize,
    pub faults: String,
    pub without: Option<String>,
}

/// The fleet's terms in the experiment, in milliseconds.
const LEASE: u64 = 1500;
const HOLD_OUT: u64 = 6000;
const BOUND: u64 = 50;
const BEAT: u64 = 150;
const PROBATION: u64 = 2500;

/// The pause that tells of no lease; no policy of the experiment tells it.
const NO_LEASE: u64 = 400;

/// Marks that there are beside that of the start: a policy's fresh time and its longest come-back time say which.
const MARKS: u64 = 45;

fn fresh_ms(mark: u64) -> u64 {
    if mark == 0 { 8000 } else { 5000 + 10 * mark }
}

/// What one view showed.
struct Seen {
    router: usize,
    ticket: String,
    sent: Instant,
    answered: Instant,
    /// The pause that it was told, where it was turned back.
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

/// One router's place: what stays over its restarts.
struct Seat {
    name: String,
    address: SocketAddr,
    operator: PathBuf,
    folder: PathBuf,
    fronts: Value,
    process: Mutex<Option<Router>>,
    /// Goes up whenever the process is killed, stopped or started: what was open then is lost with it.
    troubled: AtomicU64,
    /// What its processes that are gone said of their fleet, for whoever looks into a broken rule.
    said: Mutex<Vec<String>>,
    paused: AtomicBool,
}

struct World {
    plan: Plan,
    faults: Vec<String>,
    seats: Vec<Seat>,
    fleet: Mutex<Fleet>,
    relay: Relay,
    counts: Mutex<Counts>,
    asked: AtomicU64,
    /// Processes that ended by themselves.
    crashed: AtomicU64,
    over: AtomicBool,
    quiet: AtomicBool,
    root: PathBuf,
}

/// A change as its proposer knows of it.
#[derive(Clone, Debug)]
struct Change {
    mark: u64,
    token: u64,
    at: Instant,
    ended: Option<String>,
}

impl World {
    fn has(&self, fault: &str) -> bool {
        self.faults.iter().any(|known| known == fault)
    }

    /// Starts a router, and waits until it listens.
    fn start(&self, no: usize, clock: Option<String>) {
        let seat = &self.seats[no];
        let fleet = self.fleet.lock().unwrap();
        let mut told = configuration(fleet.log.address, fleet.members());
        told["name"] = json!(seat.name);
        told["listen"] = json!(seat.address.to_string());
        told["known"] = fleet.known();
        told["settings"]["zones"] = json!(["central", "north"]);
        told["settings"]["zone"] = json!(no % 2);
        // So that the purge of the start is not forgotten, and each dispatch says the age that it accepts.
        told["settings"]["family_info"]["gone_everywhere"] = json!(3_600_000_000u64);
        drop(fleet);
        let start = Start {
            fronts: Some(seat.fronts.clone()),
            without: self.plan.without.clone(),
            log: Some("info"),
            clock,
            ..Start::default()
        };
        *seat.process.lock().unwrap() = Some(Router::start_with(&told, &start));
        seat.troubled.fetch_add(1, Ordering::SeqCst);
    }

    fn kill(&self, no: usize) -> bool {
        let Some(mut process) = self.seats[no].process.lock().unwrap().take() else { return false };
        if process.has_ended() {
            self.crashed.fetch_add(1, Ordering::SeqCst);
            let last = process.log.change(|log| log.iter().rev().take(4).cloned().collect::<Vec<_>>());
            eprintln!("{} ended by itself: {}", self.seats[no].name, last.join(" < "));
        }
        self.seats[no].troubled.fetch_add(1, Ordering::SeqCst);
        process.kill();
        let lines = process.log.change(|log| log.clone());
        let of_fleet =
            |line: &String| line.contains("fleet") || line.contains("policy") || line.contains("clock");
        self.seats[no].said.lock().unwrap().extend(lines.into_iter().filter(of_fleet));
        true
    }

    fn pause(&self, no: usize, pause: bool) {
        if let Some(process) = self.seats[no].process.lock().unwrap().as_ref() {
            self.seats[no].troubled.fetch_add(1, Ordering::SeqCst);
            self.seats[no].paused.store(pause, Ordering::SeqCst);
            process.pause(pause);
        }
    }

    fn runs(&self, no: usize) -> bool {
        self.seats[no].process.lock().unwrap().is_some() && !self.seats[no].paused.load(Ordering::SeqCst)
    }

    fn all_run(&self) -> bool {
        (0..self.seats.len()).all(|no| self.runs(no))
    }

    /// Asks a router as its operator does.
    fn ask(&self, no: usize, what: &Value) -> Option<Value> {
        if !self.runs(no) {
            return None;
        }
        ask(&self.seats[no].operator, what).ok()
    }
}

fn ask(path: &Path, what: &Value) -> Result<Value> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("{what}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let answer: Value = serde_json::from_str(&line)?;
    if let Some(error) = answer.get("error") {
        bail!("{error}");
    }
    Ok(answer)
}

/// An address that nobody else takes, not even between a router's end and its next start: each run has a loopback
/// address of its own. Two runs side by side were seen to take each other's ports, and a router ended at its start.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (run, nth) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    // Above what is taken for connections by default nothing is, and below that little.
    let port = 1024 + (nth % 30_000) as u16;
    let address = std::net::Ipv4Addr::new(127, 64 + (run >> 16) as u8 % 64, (run >> 8) as u8, run as u8);
    SocketAddr::from((address, port))
}

/// Runs the experiment: its figures.
pub fn run(plan: &Plan) -> Result<Figures> {
    ensure!((1..=40).contains(&plan.routers), "from 1 to 40 routers");
    if let Some(guard) = &plan.without {
        known_guard(guard, &["lease", "staged", "compare", "incarnation", "pinned", "synced"])?;
    }
    let faults = named(&plan.faults, FAULTS)?;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let own = format!("tindoor-fleet-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let root = std::env::temp_dir().join(own);
    let _ = std::fs::remove_dir_all(&root);
    std::fs::create_dir_all(&root)?;
    let names: Vec<String> = (0..plan.routers).map(|no| format!("n{no}")).collect();
    let listens: BTreeMap<String, SocketAddr> = names.iter().map(|name| (name.clone(), free())).collect();
    let relay = Relay::start(plan.seed, &listens);
    let seeds: Vec<String> = names.iter().take(4).map(|name| relay.addresses[name].to_string()).collect();
    let seat = |name: &String| {
        let (operator, folder) = (root.join(format!("{name}.sock")), root.join(name));
        let fleet = json!({
            "name": "lab", "listen": listens[name], "address": relay.addresses[name], "seeds": seeds,
            "votes": true, "folder": folder, "operator": operator, "voters": if plan.routers < 5 { 3 } else { 5 },
            "lease_ms": LEASE, "hold_out_ms": HOLD_OUT, "clock_bound_ms": BOUND, "beat_ms": BEAT, "probation_ms": PROBATION,
        });
        Seat {
            name: name.clone(),
            address: free(),
            operator,
            folder,
            fronts: json!({ "fleet": fleet }),
            process: Mutex::default(),
            troubled: AtomicU64::new(0),
            said: Mutex::default(),
            paused: AtomicBool::new(false),
        }
    };
    let mut fleet = Fleet::start(4);
    fleet.keep_ages();
    let world = Arc::new(World {
        plan: plan.clone(),
        faults,
        seats: names.iter().map(seat).collect(),
        fleet: Mutex::new(fleet),
        relay,
        counts: Mutex::default(),
        asked: AtomicU64::new(0),
        crashed: AtomicU64::new(0),
        over: AtomicBool::new(false),
        quiet: AtomicBool::new(false),
        root,
    });
    (0..plan.routers).for_each(|no| world.start(no, None));
    let founded = Instant::now();
    ask(&world.seats[0].operator, &json!("found")).context("the fleet is founded")?;
    wait_for(Duration::from_secs(60), "all routers to be good", || {
        (0..plan.routers).all(|no| healthy(&world.seats[no]).unwrap_or(false))
    })?;
    let ready = founded.elapsed();
    let clients: Vec<_> = (0..plan.routers * 2)
        .map(|no| {
            let world = Arc::clone(&world);
            thread::spawn(move || client(&world, no))
        })
        .collect();
    let changes = propose_and_ail(&world);
    let stuck = settle(&world);
    world.over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut figures = audit(&world, &changes, stuck, ready);
    for no in 0..plan.routers {
        world.kill(no);
    }
    if figures.rules_broken > 0 && plan.without.is_none() {
        for seat in &world.seats {
            seat.said.lock().unwrap().iter().for_each(|line| eprintln!("{}: {line}", seat.name));
        }
    }
    let crashed = world.crashed.load(Ordering::SeqCst);
    figures.more.insert("crashed".into(), json!(crashed));
    figures.rules_broken += crashed;
    let _ = std::fs::remove_dir_all(&world.root);
    Ok(figures)
}

/// A guard is taken out by a build for tests only: with any other, the audit would pass for no reason.
pub fn known_guard(guard: &str, all: &[&str]) -> Result<()> {
    ensure!(all.contains(&guard), "no such guard: {guard}; there are {}", all.join(", "));
    let program = crate::stand_in::program();
    let output = std::process::Command::new(&program).arg("guards").output()?;
    let known = String::from_utf8_lossy(&output.stdout);
    ensure!(
        known.lines().any(|known| known == guard),
        "{} can't take the guard {guard} out: it is no build for tests",
        program.display()
    );
    Ok(())
}

fn wait_for(most: Duration, what: &str, mut ready: impl FnMut() -> bool) -> Result<()> {
    let begun = Instant::now();
    while !ready() {
        ensure!(begun.elapsed() < most, "in {} s, no sign of {what}", most.as_secs());
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn connect(seat: &Seat) -> Option<Client> {
    let stream = TcpStream::connect_timeout(&seat.address, Duration::from_millis(300)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Client(stream))
}

fn healthy(seat: &Seat) -> Option<bool> {
    let mut client = connect(seat)?;
    client.0.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    client.0.write_all(&frame(1, "health", 1, &[2, 0, 1, 1, 0])).ok()?;
    match client.reply_or_end()? {
        (1, Reply::Served { good, .. }) => Some(good),
        _ => None,
    }
}

/// One client of one router: it is asked whether it is good once after each connect, as the platform's front does.
fn client(world: &World, no: usize) {
    let router = no % world.seats.len();
    let seat = &world.seats[router];
    let mut chance =
        Pcg64Mcg::seed_from_u64(world.plan.seed.wrapping_mul(0x9E37_79B9).wrapping_add(no as u64));
    // With what it was opened under: one to a process that was killed since may take a call and bring no answer.
    let mut line: Option<(Client, u64)> = None;
    let (mut good_since, mut seq) = (None, 0);
    while !world.over.load(Ordering::SeqCst) {
        let before = seat.troubled.load(Ordering::SeqCst);
        let Some((client, _)) = line.as_mut().filter(|(_, opened)| *opened == before) else {
            line = None;
            if healthy(seat) == Some(true) {
                good_since = Some(Instant::now());
                line = connect(seat).map(|client| (client, before));
                seq = 0;
            } else {
                thread::sleep(Duration::from_millis(30));
            }
            continue;
        };
        if world.asked.fetch_add(1, Ordering::Relaxed) >= world.plan.views {
            // Enough was asked; a view now and then still shows what holds.
            thread::sleep(Duration::from_millis(50));
        }
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
        seq += 1;
        let sent = Instant::now();
        if client.0.write_all(&call(seq, &fields, b"")).is_err() {
            line = None;
            continue;
        }
        let answer = client.reply_or_end();
        let answered = Instant::now();
        let mut counts = world.counts.lock().unwrap();
        counts.figures.views += 1;
        let Some((number, reply)) = answer else {
            line = None;
            match seat.troubled.load(Ordering::SeqCst) == before && world.runs(router) {
                true => counts.figures.answered_none += 1,
                false => counts.lost_with_router += 1,
            }
            continue;
        };
        counts.figures.answered_twice += u64::from(number != seq);
        let mut pause = None;
        match reply {
            Reply::Served { .. } => counts.figures.done += 1,
            Reply::TurnedBack(fields) => {
                counts.figures.turned_back += 1;
                pause = fields.get("pause").and_then(|pause| pause.parse().ok());
                counts.no_lease += u64::from(pause == Some(NO_LEASE));
            }
            _ => counts.figures.written_off += 1,
        }
        if kind > 1 {
            counts.latency_us.push((answered - sent).as_micros() as u64);
        }
        counts.seen.push(Seen { router, ticket, sent, answered, pause, good_since });
        drop(counts);
        thread::sleep(Duration::from_millis(chance.random_range(4..20)));
    }
}

/// Proposes changes and makes faults until the time is over; what was proposed.
fn propose_and_ail(world: &Arc<World>) -> Vec<Change> {
    let ailing = Arc::clone(world);
    let faults = thread::spawn(move || ail(&ailing));
    let mut chance = Pcg64Mcg::seed_from_u64(world.plan.seed ^ 0x0090_11c7);
    let (mut changes, mut old) = (Vec::<Change>::new(), None);
    let end = Instant::now() + Duration::from_secs(world.plan.seconds);
    while Instant::now() < end {
        let proposers = if world.has("proposers") { 2 } else { 1 };
        // One in a while made its change from what was in force some time ago.
        let mut made_from = old.filter(|_| world.has("proposers") && chance.random_bool(0.4));
        for _ in 0..proposers {
            let no = chance.random_range(0..world.seats.len());
            let mark = changes.len() as u64 % MARKS + 1;
            let in_force = world.ask(no, &json!("policy")).and_then(|policy| policy["generation"].as_u64());
            made_from = made_from.or(in_force);
            old = old.or(in_force);
            let mut new = json!({"offering.pages.fresh_ms": fresh_ms(mark), "longest_come_back_ms": mark});
            // One that some router must refuse, as it has more in hand.
            let refused = world.has("badchange") && chance.random_bool(0.2);
            if refused {
                new["limit.open_views"] = json!(1);
            }
            // One that makes the views of one location fail.
            let bad = world.has("badchange") && !refused && chance.random_bool(0.25);
            let failing = if bad { fresh_ms(mark) } else { 0 };
            let propose = json!({"propose": {"changes": new, "from": made_from, "by": format!("lab-{no}"), "note": mark.to_string()}});
            let at = Instant::now();
            let Some(token) = world.ask(no, &propose).and_then(|answer| answer["token"].as_u64()) else {
                continue;
            };
            if bad {
                world.fleet.lock().unwrap().fail(failing, "1");
            }
            changes.push(Change { mark, token, at, ended: None });
        }
        let next = Instant::now() + Duration::from_millis(chance.random_range(1500..4500));
        while Instant::now() < next.min(end) {
            ends(world, &mut changes);
            thread::sleep(Duration::from_millis(100));
        }
    }
    world.quiet.store(true, Ordering::SeqCst);
    faults.join().expect("faults end");
    changes
}

/// Asks how changes ended that are not known to have.
fn ends(world: &World, changes: &mut [Change]) {
    let Some(no) = (0..world.seats.len()).find(|no| world.runs(*no)) else { return };
    for change in changes.iter_mut().filter(|change| change.ended.is_none()) {
        if let Some(end) = world.ask(no, &json!({"end": {"token": change.token}}))
            && !end.is_null()
        {
            change.ended = Some(end["end"].to_string());
        }
    }
}

/// Makes faults, until it is told that it is enough; then all are healed.
fn ail(world: &World) {
    let mut chance = Pcg64Mcg::seed_from_u64(world.plan.seed ^ 0xfa17);
    let count = world.seats.len();
    world.relay.ail(|ails| {
        ails.drop = if world.has("drop") { 0.1 } else { 0.0 };
        ails.late = if world.has("delay") { 0.1 } else { 0.0 };
        ails.late += if world.has("reorder") { 0.2 } else { 0.0 };
        ails.double = if world.has("duplicate") { 0.1 } else { 0.0 };
        ails.most = Duration::from_millis(if world.has("delay") { 400 } else { 30 });
    });
    const ACTS: [&str; 12] = [
        "oneway", "split", "island", "kill", "killmost", "pause", "restart", "torn", "leader", "drain",
        "purge", "clock",
    ];
    let acts: Vec<&str> = ACTS.into_iter().filter(|act| world.has(act)).collect();
    let mut drained = 0;
    let mut clocked = false;
    // Who is down or stopped, and until when.
    let mut back: Vec<(Instant, usize, bool)> = Vec::new();
    let mut healed = Instant::now();
    let mut next = Instant::now() + Duration::from_millis(500);
    while !world.quiet.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
        let now = Instant::now();
        for at in (0..back.len()).rev().filter(|at| back[*at].0 <= now).collect::<Vec<_>>() {
            let (_, no, paused) = back.swap_remove(at);
            if paused { world.pause(no, false) } else { world.start(no, None) }
        }
        if healed <= now {
            world.relay.ail(|ails| ails.cut.clear());
        }
        if now < next || acts.is_empty() {
            continue;
        }
        next = now + Duration::from_millis(chance.random_range(500..3000));
        let no = chance.random_range(0..count);
        let until = now + Duration::from_millis(chance.random_range(200..4000));
        match acts[chance.random_range(0..acts.len())] {
            "oneway" => {
                let other = chance.random_range(0..count);
                let pair = (world.seats[no].name.clone(), world.seats[other].name.clone());
                world.relay.ail(|ails| ails.cut.extend([pair]));
                healed = healed.max(until);
            }
            "split" => {
                let parts = chance.random_range(2..4u32);
                let sides: Vec<u32> = (0..count).map(|_| chance.random_range(0..parts)).collect();
                world.relay.ail(|ails| {
                    for (a, b) in (0..count * count).map(|pair| (pair / count, pair % count)) {
                        if sides[a] != sides[b] {
                            ails.cut.insert((world.seats[a].name.clone(), world.seats[b].name.clone()));
                        }
                    }
                });
                healed = healed.max(until);
            }
            // One is cut off from all for longer than a change takes.
            "island" => {
                world.relay.ail(|ails| {
                    for other in world.seats.iter().filter(|seat| seat.name != world.seats[no].name) {
                        ails.cut.insert((other.name.clone(), world.seats[no].name.clone()));
                        ails.cut.insert((world.seats[no].name.clone(), other.name.clone()));
                    }
                });
                healed = healed.max(now + Duration::from_millis(3 * LEASE));
                next = healed + Duration::from_millis(500);
            }
            "kill" | "restart" if world.runs(no) && world.kill(no) => back.push((until, no, false)),
            // A folder is cut off at a byte by lot: one at a time, while all others are there.
            "torn" if world.all_run() && all_well(world) && world.kill(no) => {
                let file = world.seats[no].folder.join("seat.redb");
                if let Ok(bytes) = std::fs::read(&file) {
                    let cut = chance.random_range(0..bytes.len().max(1));
                    let _ = std::fs::write(&file, &bytes[..cut]);
                }
                back.push((until, no, false));
            }
            "killmost" if chance.random_bool(0.3) => {
                for no in 0..count {
                    if chance.random_bool(0.7) && world.runs(no) && world.kill(no) {
                        let later = Duration::from_millis(chance.random_range(0..1500));
                        back.push((until + later, no, false));
                    }
                }
            }
            "pause" if world.runs(no) => {
                world.pause(no, true);
                back.push((until + Duration::from_millis(LEASE), no, true));
            }
            "leader" => {
                let leads = |no: &usize| {
                    let status = world.ask(*no, &json!("status"));
                    let own = world.relay.addresses[&world.seats[*no].name].to_string();
                    status.is_some_and(|status| status["leader"] == json!(own))
                };
                if let Some(leader) = (0..count).find(leads).filter(|no| world.kill(*no)) {
                    back.push((until, leader, false));
                }
            }
            "drain" if drained < 2 => {
                let mut fleet = world.fleet.lock().unwrap();
                fleet.drain(drained);
                drained += 1;
            }
            "purge" => {
                let object = format!("00000000000010{:02x}", chance.random_range(0..64));
                world.fleet.lock().unwrap().purge(&object);
            }
            // One router in all whose clock is not as stated.
            "clock" if !clocked && world.all_run() && world.kill(no) => {
                clocked = true;
                let by = chance.random_range(-1500..1500);
                let rate = if chance.random_bool(0.5) { 1.0 } else { chance.random_range(0.9..1.1) };
                world.start(no, Some(format!("{rate}:{}:{by}", chance.random_range(500..5000))));
            }
            _ => {}
        }
    }
    for (_, no, paused) in back {
        if paused { world.pause(no, false) } else { world.start(no, None) }
    }
    world.relay.ail(|ails| *ails = Default::default());
}

/// Whether all routers are well and so many vote that one can lose its folder: what is promised of folders holds as
/// long as no more than that are lost at once.
fn all_well(world: &World) -> bool {
    let well = |status: Value| {
        let voters = status["voters"].as_array().cloned().unwrap_or_default();
        // A seat that nobody has any more shows as a number, and is being replaced.
        let held = |voter: &Value| voter.as_str().is_some_and(|name| name.starts_with('n'));
        status["out"].is_null() && voters.len() >= 3 && voters.iter().all(held)
    };
    (0..world.seats.len()).all(|no| world.ask(no, &json!("status")).is_some_and(well))
}

/// Once faults are over, what waits must end within the time that is stated; whether something still waits.
fn settle(world: &World) -> u64 {
    // Two leases and hold-outs for the change, and as much as it takes for a router to be listed again.
    let most = Duration::from_millis(2 * (LEASE + HOLD_OUT) + 10 * LEASE);
    let settled = wait_for(most, "an end", || {
        let all = (0..world.seats.len()).map(|no| world.ask(no, &json!("status")));
        let all: Vec<Value> = all.flatten().collect();
        let done = |status: &Value| status["under_way"].is_null() && status["out"].is_null();
        // One whose clock is off may stay out for ever, and says so.
        let out = all.iter().filter(|status| !done(status)).count();
        all.len() == world.seats.len() && out <= usize::from(world.has("clock"))
    });
    if settled.is_err() {
        for no in 0..world.seats.len() {
            eprintln!("{}: {:?}", world.seats[no].name, world.ask(no, &json!("status")));
        }
    }
    // The last change is to be seen at clients as well.
    thread::sleep(Duration::from_millis(700));
    u64::from(settled.is_err())
}

/// One thing that shows a policy: from when the view was sent to when that was seen, it was decided.
struct Shown {
    router: usize,
    mark: u64,
    sent: Instant,
    seen: Instant,
    good_since: Option<Instant>,
}

/// Reckons from what clients and caches saw.
fn audit(world: &World, changes: &[Change], stuck: u64, ready: Duration) -> Figures {
    let ages = world.fleet.lock().unwrap().take_ages();
    let mut counts = std::mem::take(&mut *world.counts.lock().unwrap());
    let mut figures = std::mem::take(&mut counts.figures);
    world.fleet.lock().unwrap().audit(&mut figures);
    let mark_of_age: HashMap<u64, u64> = (0..=MARKS).map(|mark| (fresh_ms(mark), mark)).collect();
    let (mut shown, mut half_applied, mut unknown) = (Vec::new(), 0u64, 0u64);
    for Seen { router, ticket, sent, answered, pause, good_since } in &counts.seen {
        let none = Vec::new();
        let mut marks = Vec::new();
        // What was purged just now is accepted at no age that a policy says: that dispatch shows none.
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
    let history = (0..world.seats.len()).filter_map(|no| world.ask(no, &json!("history")));
    let history = history.max_by_key(|past| past.as_array().map_or(0, Vec::len)).unwrap_or_default();
    let (mut order, mut refused, mut undone, mut called_off) = (vec![0u64], 0u64, 0u64, 0u64);
    let (mut overwritten, mut in_force) = (0u64, 1u64);
    for past in history.as_array().into_iter().flatten() {
        let took = past["end"] == json!("TookHold");
        refused += u64::from(past["end"].get("Refused").is_some());
        called_off += u64::from(past["end"].get("CalledOff").is_some());
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
    let bound = Duration::from_millis(2 * BOUND);
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
    // From the first view under a policy that was undone to the last.
    let undo_ms = (2..order.len()).filter(|at| order[*at] == order[*at - 2] && order[*at] != order[*at - 1]);
    let undo_ms = undo_ms.filter_map(|at| Some((moments[at]? - moments[at - 1]?).as_millis() as u64)).max();
    let at = |sorted: &[u64], part: f64| sorted.get((part * sorted.len() as f64) as usize).copied();
    let (messages, bytes) = world.relay.carried();
    let more: Vec<(&str, Value)> = vec![
        ("routers", json!(world.plan.routers)),
        ("changes", json!(changes.len())),
        ("took_hold", json!(order.len() - 1)),
        ("refused", json!(refused + called_off)),
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

/// When each policy of the order first showed; none for one that no view showed.
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
