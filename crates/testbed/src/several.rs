//! Several routers of one fleet as processes, each behind the relay, and the faults that befall them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
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

/// Faults that any experiment may ask for; each has others of its own beside them.
pub const FAULTS: &[&str] = &[
    "drop",
    "delay",
    "reorder",
    "duplicate",
    "oneway",
    "split",
    "island",
    "voters",
    "kill",
    "killmost",
    "pause",
    "restart",
    "leader",
    "deaf",
    "heir",
    "doze",
    "clock",
];

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub requests: u64,
    /// How long faults go on.
    pub seconds: u64,
    pub routers: usize,
    pub faults: String,
    pub without: Option<String>,
    /// Three voters in any fleet, so that the others are more than half of it.
    pub few_voters: bool,
    /// The fleet's lease, in milliseconds.
    pub lease: u64,
    /// What routers said of their fleet is shown, whatever came of it.
    pub logs: bool,
    /// Fills by the origin where they are divided: how many a second, their burst, and how many at once.
    pub fills: [f64; 3],
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            requests: 1_000_000,
            seconds: 20,
            routers: 5,
            faults: String::new(),
            without: None,
            few_voters: false,
            lease: 1500,
            logs: false,
            fills: [60.0, 30.0, 40.0],
        }
    }
}

/// The other terms of the fleet in the experiment, in milliseconds.
pub const HOLD_OUT: u64 = 6000;
pub const BOUND: u64 = 50;
pub const BEAT: u64 = 150;
pub const PROBATION: u64 = 2500;

/// One router's place: what stays over its restarts.
pub struct Seat {
    pub name: String,
    pub address: SocketAddr,
    pub operator: PathBuf,
    pub folder: PathBuf,
    pub fronts: Value,
    pub process: Mutex<Option<Router>>,
    /// Goes up whenever the process is killed, stopped or started: what was open then is lost with it.
    pub troubled: AtomicU64,
    /// What its processes that are gone said of their fleet, for whoever looks into a broken rule.
    pub said: Mutex<Vec<String>>,
    pub paused: AtomicBool,
}

pub struct World {
    pub plan: Plan,
    pub faults: Vec<String>,
    pub replica_ids: Vec<Seat>,
    pub fleet: Mutex<Fleet>,
    pub relay: Relay,
    pub asked: AtomicU64,
    /// Processes that ended by themselves.
    pub crashed: AtomicU64,
    /// When which fault was made.
    pub made: Mutex<Vec<(Instant, &'static str)>>,
    pub over: AtomicBool,
    pub quiet: AtomicBool,
    pub root: PathBuf,
    begun: Instant,
    leader: AtomicUsize,
    /// What an experiment's configuration says otherwise.
    pub change: fn(&mut Value),
}

impl World {
    pub fn has(&self, fault: &str) -> bool {
        self.faults.iter().any(|known| known == fault)
    }

    /// Starts a router, and waits until it listens.
    pub fn start(&self, no: usize, clock: Option<String>) {
        let seat = &self.replica_ids[no];
        let fleet = self.fleet.lock().unwrap();
        let mut told = configuration(fleet.log.address, fleet.members());
        told["name"] = json!(seat.name);
        told["listen"] = json!(seat.address.to_string());
        told["known"] = fleet.known();
        told["settings"]["zones"] = json!(["central", "north"]);
        told["settings"]["zone"] = json!(no % 2);
        // So that the purge of the start is not forgotten, and each attempt says the age that it accepts.
        told["settings"]["family_info"]["gone_everywhere"] = json!(3_600_000_000u64);
        drop(fleet);
        (self.change)(&mut told);
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

    pub fn kill(&self, no: usize) -> bool {
        let Some(mut process) = self.replica_ids[no].process.lock().unwrap().take() else { return false };
        if process.has_ended() {
            self.crashed.fetch_add(1, Ordering::SeqCst);
            let last = process.log.change(|log| log.iter().rev().take(4).cloned().collect::<Vec<_>>());
            eprintln!("{} ended by itself: {}", self.replica_ids[no].name, last.join(" < "));
        }
        self.replica_ids[no].troubled.fetch_add(1, Ordering::SeqCst);
        process.kill();
        let lines = process.log.change(|log| log.clone());
        let of_fleet =
            |line: &String| line.contains("fleet") || line.contains("policy") || line.contains("clock");
        self.replica_ids[no].said.lock().unwrap().extend(lines.into_iter().filter(of_fleet));
        true
    }

    pub fn pause(&self, no: usize, pause: bool) {
        if let Some(process) = self.replica_ids[no].process.lock().unwrap().as_ref() {
            self.replica_ids[no].troubled.fetch_add(1, Ordering::SeqCst);
            self.replica_ids[no].paused.store(pause, Ordering::SeqCst);
            process.pause(pause);
        }
    }

    pub fn runs(&self, no: usize) -> bool {
        self.replica_ids[no].process.lock().unwrap().is_some()
            && !self.replica_ids[no].paused.load(Ordering::SeqCst)
    }

    pub fn all_run(&self) -> bool {
        (0..self.replica_ids.len()).all(|no| self.runs(no))
    }

    /// How long a spell goes on in which some routers' clients want much and those of others little.
    const SPELL: Duration = Duration::from_secs(3);

    /// How long the present one still lasts.
    pub fn left_of_spell(&self) -> Duration {
        let gone = self.begun.elapsed().as_micros() % Self::SPELL.as_micros();
        Self::SPELL - Duration::from_micros(gone as u64)
    }

    /// Whether a router's clients want much in this spell. Those of the leader never do: what it keeps for itself passes
    /// nobody, so most of what there is should go to others.
    pub fn wants_much(&self, no: usize) -> bool {
        let spell = self.begun.elapsed().as_micros() / Self::SPELL.as_micros();
        (no as u128 + spell).is_multiple_of(2) && self.leader.load(Ordering::Relaxed) != no
    }

    /// Finds out which router leads, as one says.
    pub fn find_leader(&self) {
        let status =
            (0..self.replica_ids.len()).find_map(|no| self.ask(no, &json!("status"))).unwrap_or_default();
        let leads = |no: &usize| status["leader"] == json!(self.address(*no));
        self.leader.store((0..self.replica_ids.len()).find(leads).unwrap_or(usize::MAX), Ordering::Relaxed);
    }

    /// The names of those that vote, as one says.
    pub fn voters(&self) -> Vec<String> {
        let status =
            (0..self.replica_ids.len()).find_map(|no| self.ask(no, &json!("status"))).unwrap_or_default();
        let voters = status["voters"].as_array().cloned().unwrap_or_default();
        voters.iter().filter_map(|voter| Some(voter.as_str()?.to_string())).collect()
    }

    /// Where its peers reach a router.
    pub fn address(&self, no: usize) -> String {
        self.relay.addresses[&self.replica_ids[no].name].to_string()
    }

    /// Asks a router as its operator does.
    pub fn ask(&self, no: usize, what: &Value) -> Option<Value> {
        if !self.runs(no) {
            return None;
        }
        ask(&self.replica_ids[no].operator, what).ok()
    }
}

impl World {
    /// Starts so many routers and has them be one fleet; how long it took until all were good.
    pub fn begin(
        plan: &Plan,
        own_faults: &[&str],
        guards: &[&str],
        fleet: Fleet,
        change: fn(&mut Value),
    ) -> Result<(Arc<Self>, Duration)> {
        ensure!((1..=40).contains(&plan.routers), "from 1 to 40 routers");
        if let Some(guard) = &plan.without {
            known_guard(guard, guards)?;
        }
        let faults = named(&plan.faults, &[FAULTS, own_faults].concat())?;
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let own =
            format!("tindoor-membership-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
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
                "votes": true, "folder": folder, "operator": operator, "voters": if plan.routers < 5 || plan.few_voters { 3 } else { 5 },
                "lease_ms": plan.lease, "hold_out_ms": HOLD_OUT, "clock_bound_ms": BOUND, "beat_ms": BEAT, "probation_ms": PROBATION,
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
        let world = Arc::new(Self {
            plan: plan.clone(),
            faults,
            replica_ids: names.iter().map(seat).collect(),
            fleet: Mutex::new(fleet),
            relay,
            asked: AtomicU64::new(0),
            crashed: AtomicU64::new(0),
            made: Mutex::default(),
            over: AtomicBool::new(false),
            quiet: AtomicBool::new(false),
            root,
            begun: Instant::now(),
            leader: AtomicUsize::new(usize::MAX),
            change,
        });
        (0..plan.routers).for_each(|no| world.start(no, None));
        let founded = Instant::now();
        ask(&world.replica_ids[0].operator, &json!({"found": {}})).context("the fleet is founded")?;
        wait_for(Duration::from_secs(60), "all routers to be good", || {
            (0..plan.routers).all(|no| healthy(&world.replica_ids[no]).unwrap_or(false))
        })?;
        Ok((world, founded.elapsed()))
    }

    /// Ends all routers; what they said of their fleet is shown where a rule was broken.
    pub fn end(&self, figures: &mut Figures) {
        for no in 0..self.replica_ids.len() {
            self.kill(no);
        }
        if figures.rules_broken > 0 && self.plan.without.is_none() || self.plan.logs {
            for seat in &self.replica_ids {
                seat.said.lock().unwrap().iter().for_each(|line| eprintln!("{}: {line}", seat.name));
            }
        }
        let crashed = self.crashed.load(Ordering::SeqCst);
        figures.more.insert("crashed".into(), json!(crashed));
        figures.rules_broken += crashed;
        let _ = std::fs::remove_dir_all(&self.root);
    }
}

pub fn ask(path: &Path, what: &Value) -> Result<Value> {
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

pub fn wait_for(most: Duration, what: &str, mut ready: impl FnMut() -> bool) -> Result<()> {
    let begun = Instant::now();
    while !ready() {
        ensure!(begun.elapsed() < most, "in {} s, no sign of {what}", most.as_secs());
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

pub fn connect(seat: &Seat) -> Option<Client> {
    let stream = TcpStream::connect_timeout(&seat.address, Duration::from_millis(300)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Client(stream))
}

pub fn healthy(seat: &Seat) -> Option<bool> {
    let mut client = connect(seat)?;
    client.0.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    client.0.write_all(&frame(1, "health", 1, &[2, 0, 1, 1, 0])).ok()?;
    match client.reply_or_end()? {
        (1, Reply::Served { good, .. }) => Some(good),
        _ => None,
    }
}

/// A client's connection to one router: it is asked whether it is good once after each connect, as the platform's
/// front does.
pub struct Line<'a> {
    world: &'a World,
    pub router: usize,
    /// With what it was opened under: one to a process that was killed since may take a call and bring no answer.
    open: Option<(Client, u64)>,
    /// When the router had last told after a start that it is good.
    pub good_since: Option<Instant>,
    seq: i32,
}

/// What came of a call.
pub enum Came {
    /// It was not sent, or its router was killed or stopped under it.
    Lost,
    /// Nothing came, and nothing had happened to the router.
    Nothing,
    Answer {
        sent: Instant,
        /// Whether it is the one to this call.
        own: bool,
        reply: Reply,
    },
}

impl<'a> Line<'a> {
    pub fn new(world: &'a World, router: usize) -> Self {
        Self { world, router, open: None, good_since: None, seq: 0 }
    }

    /// Connects where that is needed and asks; none where the router is not good.
    pub fn ask(&mut self, fields: &[(&str, &str)]) -> Option<Came> {
        let seat = &self.world.replica_ids[self.router];
        let before = seat.troubled.load(Ordering::SeqCst);
        let Some((client, _)) = self.open.as_mut().filter(|(_, opened)| *opened == before) else {
            self.open = None;
            if healthy(seat) == Some(true) {
                self.good_since = Some(Instant::now());
                self.open = connect(seat).map(|client| (client, before));
                self.seq = 0;
            } else {
                thread::sleep(Duration::from_millis(30));
            }
            return None;
        };
        self.seq += 1;
        let sent = Instant::now();
        if client.0.write_all(&call(self.seq, fields, b"")).is_err() {
            self.open = None;
            return None;
        }
        let Some((number, reply)) = client.reply_or_end() else {
            self.open = None;
            let same = seat.troubled.load(Ordering::SeqCst) == before && self.world.runs(self.router);
            return Some(if same { Came::Nothing } else { Came::Lost });
        };
        Some(Came::Answer { sent, own: number == self.seq, reply })
    }
}

/// Makes faults, until it is told that it is enough; then all are healed.
pub fn ail(world: &World) {
    let mut chance = Pcg64Mcg::seed_from_u64(world.plan.seed ^ 0xfa17);
    let count = world.replica_ids.len();
    world.relay.ail(|ails| {
        ails.drop = if world.has("drop") { 0.1 } else { 0.0 };
        ails.late = if world.has("delay") { 0.1 } else { 0.0 };
        ails.late += if world.has("reorder") { 0.2 } else { 0.0 };
        ails.double = if world.has("duplicate") { 0.1 } else { 0.0 };
        ails.most = Duration::from_millis(if world.has("delay") { 400 } else { 30 });
    });
    const ACTS: [&str; 16] = [
        "voters", "oneway", "split", "island", "kill", "killmost", "pause", "restart", "torn", "leader",
        "deaf", "heir", "doze", "drain", "purge", "clock",
    ];
    let acts: Vec<&str> = ACTS.into_iter().filter(|act| world.has(act)).collect();
    let mut drained = 0;
    let mut clocked = false;
    // Who is down or stopped, and until when.
    let mut back: Vec<(Instant, usize, bool)> = Vec::new();
    let (mut healed, mut cut) = (Instant::now(), false);
    let lease = world.plan.lease;
    let mut next = Instant::now() + Duration::from_millis(500);
    while !world.quiet.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
        let now = Instant::now();
        for at in (0..back.len()).rev().filter(|at| back[*at].0 <= now).collect::<Vec<_>>() {
            let (_, no, paused) = back.swap_remove(at);
            if paused { world.pause(no, false) } else { world.start(no, None) }
        }
        // What an experiment has cut itself it heals itself.
        if cut && healed <= now {
            world.relay.ail(|ails| ails.cut.clear());
        }
        cut = healed > now;
        if now < next || acts.is_empty() {
            continue;
        }
        next = now + Duration::from_millis(chance.random_range(500..3000));
        let no = chance.random_range(0..count);
        let until = now + Duration::from_millis(chance.random_range(200..4000));
        let act = acts[chance.random_range(0..acts.len())];
        world.made.lock().unwrap().push((now, act));
        match act {
            "oneway" => {
                let other = chance.random_range(0..count);
                let pair = (world.replica_ids[no].name.clone(), world.replica_ids[other].name.clone());
                world.relay.ail(|ails| ails.cut.extend([pair]));
                healed = healed.max(until);
            }
            "split" => {
                let parts = chance.random_range(2..4u32);
                let sides: Vec<u32> = (0..count).map(|_| chance.random_range(0..parts)).collect();
                world.relay.ail(|ails| {
                    for (a, b) in (0..count * count).map(|pair| (pair / count, pair % count)) {
                        if sides[a] != sides[b] {
                            ails.cut.insert((
                                world.replica_ids[a].name.clone(),
                                world.replica_ids[b].name.clone(),
                            ));
                        }
                    }
                });
                healed = healed.max(until);
            }
            // Those that vote are cut off from all others: more than half go on without them.
            "voters" => {
                let voters = world.voters();
                let votes = |seat: &Seat| voters.contains(&seat.name);
                world.relay.ail(|ails| {
                    for (a, b) in (0..count * count).map(|pair| (pair / count, pair % count)) {
                        let [a, b] = [&world.replica_ids[a], &world.replica_ids[b]];
                        if votes(a) != votes(b) {
                            ails.cut.insert((a.name.clone(), b.name.clone()));
                        }
                    }
                });
                healed = healed.max(now + Duration::from_millis(3 * lease));
                next = healed + Duration::from_millis(500);
            }
            // One is cut off from all for longer than a change takes.
            "island" => {
                cut_off(world, no);
                healed = healed.max(now + Duration::from_millis(3 * lease));
                next = healed + Duration::from_millis(500);
            }
            // What the leader says does not reach those that want much now and will soon want little: they go on with
            // what they were lent, and it hears that they want less.
            "deaf" if !world.has("shift") || world.left_of_spell() < Duration::from_millis(500) => {
                let Some(leader) = (0..count).find(|no| leads(world, *no)) else { continue };
                // No more voters than it can lead without.
                let mut spare = (world.voters().len().max(1) - 1) / 2;
                let mut deaf: Vec<usize> =
                    (0..count).filter(|no| *no != leader && world.wants_much(*no)).collect();
                deaf.retain(|no| {
                    let votes = world.voters().contains(&world.replica_ids[*no].name);
                    let may = !votes || spare > 0;
                    spare -= usize::from(votes && may);
                    may
                });
                world.relay.ail(|ails| {
                    let pair = |no: usize| {
                        (world.replica_ids[leader].name.clone(), world.replica_ids[no].name.clone())
                    };
                    ails.cut.extend(deaf.into_iter().map(pair));
                });
                // Over before others are: if all were deaf, another would lead.
                healed = healed.max(now + Duration::from_millis(lease * 4 / 5));
                next = healed + Duration::from_millis(100);
            }
            "deaf" => next = now,
            // The leader ends, and one that wants much does not hear who comes after it.
            "heir" => {
                let Some(leader) = (0..count).find(|no| leads(world, *no)) else { continue };
                // One without whom there are voters enough.
                let voters = world.voters();
                let cut = |no: &usize| {
                    *no != leader && world.wants_much(*no) && !voters.contains(&world.replica_ids[*no].name)
                };
                let Some(other) = (0..count).find(cut) else {
                    next = now + Duration::from_millis(50);
                    continue;
                };
                if world.kill(leader) {
                    back.push((until, leader, false));
                    cut_off(world, other);
                    healed = healed.max(now + Duration::from_millis(lease));
                    next = healed + Duration::from_millis(500);
                }
            }
            // All that don't vote are stopped until what they were lent has lapsed, and what they had in hand as well.
            "doze" if world.all_run() => {
                let voters = world.voters();
                let until = now + Duration::from_millis(lease + 4500);
                for no in (0..count).filter(|no| !voters.contains(&world.replica_ids[*no].name)) {
                    world.pause(no, true);
                    back.push((until, no, true));
                }
                next = until + Duration::from_millis(1500);
            }
            "kill" | "restart" if world.runs(no) && world.kill(no) => back.push((until, no, false)),
            // A folder is cut off at a byte by lot: one at a time, while all others are there.
            "torn" if world.all_run() && all_well(world) && world.kill(no) => {
                let file = world.replica_ids[no].folder.join("seat.redb");
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
                back.push((until + Duration::from_millis(lease), no, true));
            }
            "leader" => {
                if let Some(leader) = (0..count).find(|no| leads(world, *no)).filter(|no| world.kill(*no)) {
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

/// Cuts one off from all others, both ways.
pub fn cut_off(world: &World, no: usize) {
    let own = &world.replica_ids[no].name;
    world.relay.ail(|ails| {
        for other in world.replica_ids.iter().map(|seat| &seat.name).filter(|name| *name != own) {
            ails.cut.insert((other.clone(), own.clone()));
            ails.cut.insert((own.clone(), other.clone()));
        }
    });
}

/// Whether a router says that it leads.
fn leads(world: &World, no: usize) -> bool {
    let status = world.ask(no, &json!("status"));
    status.is_some_and(|status| status["leader"] == json!(world.address(no)))
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
    (0..world.replica_ids.len()).all(|no| world.ask(no, &json!("status")).is_some_and(well))
}

/// Once faults are over, what waits must end within the time that is stated; whether something still waits.
pub fn settle(world: &World) -> u64 {
    // Two leases and hold-outs for the change, and as much as it takes for a router to be listed again.
    let lease = world.plan.lease;
    let most = Duration::from_millis(2 * (lease + HOLD_OUT) + 10 * lease);
    let settled = wait_for(most, "an end", || {
        let all = (0..world.replica_ids.len()).map(|no| world.ask(no, &json!("status")));
        let all: Vec<Value> = all.flatten().collect();
        let done = |status: &Value| status["under_way"].is_null() && status["out"].is_null();
        // One whose clock is off may stay out for ever, and says so.
        let out = all.iter().filter(|status| !done(status)).count();
        all.len() == world.replica_ids.len() && out <= usize::from(world.has("clock"))
    });
    if settled.is_err() {
        for no in 0..world.replica_ids.len() {
            eprintln!("{}: {:?}", world.replica_ids[no].name, world.ask(no, &json!("status")));
        }
    }
    // The last change is to be seen at clients as well.
    thread::sleep(Duration::from_millis(700));
    u64::from(settled.is_err())
}
