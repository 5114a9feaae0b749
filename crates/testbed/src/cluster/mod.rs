//! Several routers of one fleet as processes, each behind a [`Relay`], with faults injected between and into
//! them.

mod client;
mod faults;
mod process;

pub use client::{CallResult, ClientConnection};
pub use faults::{FaultInjector, isolate};
pub use process::{control_request, ensure_check_is_known, free_address, is_healthy, wait_until};

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use serde_json::{Value, json};

use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::relay::Relay;
use crate::simulation::many_days::parse_faults;
use crate::stand_in::{Router, StartOptions, configuration};

/// Faults that every experiment can inject; each experiment has others of its own beside them.
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

/// What an experiment runs.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seeds all random choices.
    pub seed: u64,
    /// Requests that are sent, at most.
    pub requests: u64,
    /// For how many seconds faults are injected.
    pub seconds: u64,
    /// Number of routers.
    pub routers: usize,
    /// Names of the faults, with commas between; `all` for every one.
    pub faults: String,
    /// The check that is switched off, if any.
    pub without: Option<String>,
    /// Three voters in any fleet, so that the other routers are a majority of it.
    pub few_voters: bool,
    /// The fleet's lease, in milliseconds.
    pub lease: u64,
    /// Whether the routers' log lines about their fleet are shown in any case.
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

/// How long the fleet goes on without its voters, in milliseconds.
pub const QUORUM_LOSS_GRACE_MS: u64 = 6000;
/// How far routers may be apart in the fleet's time, in milliseconds.
pub const CLOCK_BOUND_MS: u64 = 50;
/// How often a router asks others, in milliseconds.
pub const HEARTBEAT_MS: u64 = 150;
/// How long a policy change is on probation, in milliseconds.
pub const PROBATION_MS: u64 = 2500;

/// One router: what stays over restarts of its process.
pub struct Node {
    /// The router's name.
    pub name: String,
    /// Where clients connect.
    pub address: SocketAddr,
    /// The control socket.
    pub control_socket: PathBuf,
    /// Where its replica is stored.
    pub storage: PathBuf,
    /// Its fronts file.
    pub fronts: Value,
    /// The process; none while the router is down.
    pub process: Mutex<Option<Router>>,
    /// Goes up whenever the process is killed, stopped or started: what was in flight then is lost with it.
    pub disruptions: AtomicU64,
    /// Log lines of ended processes about their fleet.
    pub log: Mutex<Vec<String>>,
    /// Whether the process is stopped (SIGSTOP).
    pub paused: AtomicBool,
}

/// A fleet of router processes with their relay and their stand-in endpoints.
pub struct Cluster {
    /// What is run.
    pub plan: Plan,
    /// The faults that are injected.
    pub faults: Vec<String>,
    /// The routers.
    pub nodes: Vec<Node>,
    /// The stand-in endpoints.
    pub fleet: Mutex<Fleet>,
    /// What carries the routers' messages.
    pub relay: Relay,
    /// Requests sent so far.
    pub requests_sent: AtomicU64,
    /// Processes that ended by themselves.
    pub crashed: AtomicU64,
    /// When which fault was injected.
    pub injected: Mutex<Vec<(Instant, &'static str)>>,
    /// Set once clients are to stop.
    pub finished: AtomicBool,
    /// Set once no more faults are to be injected.
    pub faults_finished: AtomicBool,
    /// The cluster's directory.
    pub directory: PathBuf,
    started_at: Instant,
    leader: AtomicUsize,
    /// An experiment's change of the routers' configuration.
    pub configure: fn(&mut Value),
}

/// How long clients of a router want much, and then little.
const DEMAND_PERIOD: Duration = Duration::from_secs(3);

impl Cluster {
    /// Starts the routers and bootstraps their fleet; also returns how long it took until all were healthy.
    pub fn start(
        plan: &Plan,
        own_faults: &[&str],
        checks: &[&str],
        fleet: Fleet,
        configure: fn(&mut Value),
    ) -> Result<(Arc<Self>, Duration)> {
        ensure!((1..=40).contains(&plan.routers), "from 1 to 40 routers");
        if let Some(check) = &plan.without {
            ensure_check_is_known(check, checks)?;
        }
        let faults = parse_faults(&plan.faults, &[FAULTS, own_faults].concat())?;
        let directory = new_directory()?;
        let names: Vec<String> = (0..plan.routers).map(|index| format!("n{index}")).collect();
        let listens: BTreeMap<String, SocketAddr> =
            names.iter().map(|name| (name.clone(), free_address())).collect();
        let relay = Relay::start(plan.seed, &listens);
        let nodes = names.iter().map(|name| node(plan, &directory, &relay, listens[name], name)).collect();
        let cluster = Arc::new(Self {
            plan: plan.clone(),
            faults,
            nodes,
            fleet: Mutex::new(fleet),
            relay,
            requests_sent: AtomicU64::new(0),
            crashed: AtomicU64::new(0),
            injected: Mutex::default(),
            finished: AtomicBool::new(false),
            faults_finished: AtomicBool::new(false),
            directory,
            started_at: Instant::now(),
            leader: AtomicUsize::new(usize::MAX),
            configure,
        });
        (0..plan.routers).for_each(|index| cluster.start_node(index, None));
        let bootstrapped = Instant::now();
        control_request(&cluster.nodes[0].control_socket, &json!({"found": {}}))
            .context("the fleet's bootstrap")?;
        wait_until(Duration::from_secs(60), "all routers to be healthy", || {
            cluster.nodes.iter().all(|node| is_healthy(node).unwrap_or(false))
        })?;
        Ok((cluster, bootstrapped.elapsed()))
    }

    /// Whether that fault is injected.
    pub fn has_fault(&self, fault: &str) -> bool {
        self.faults.iter().any(|known| known == fault)
    }

    /// Starts a router's process, with a faulty clock where one is given, and waits until it listens.
    pub fn start_node(&self, index: usize, clock: Option<String>) {
        let node = &self.nodes[index];
        let configuration = self.node_configuration(index);
        let start = StartOptions {
            fronts: Some(node.fronts.clone()),
            disabled_check: self.plan.without.clone(),
            log_level: Some("info"),
            clock_fault: clock,
            ..StartOptions::default()
        };
        *node.process.lock().unwrap() = Some(Router::start_with(&configuration, &start));
        node.disruptions.fetch_add(1, Ordering::SeqCst);
    }

    fn node_configuration(&self, index: usize) -> Value {
        let node = &self.nodes[index];
        let fleet = self.fleet.lock().unwrap();
        let mut configuration = configuration(fleet.change_stream.address, fleet.endpoint_list());
        configuration["name"] = json!(node.name);
        configuration["listen"] = json!(node.address.to_string());
        configuration["known"] = fleet.known_events();
        configuration["settings"]["zones"] = json!(["central", "north"]);
        configuration["settings"]["zone"] = json!(index % 2);
        // The purge of the start is never forgotten, so that each attempt states the age that it accepts.
        configuration["settings"]["family_info"]["gone_everywhere"] = json!(3_600_000_000u64);
        drop(fleet);
        (self.configure)(&mut configuration);
        configuration
    }

    /// Kills a router's process; false where it is down already.
    pub fn kill(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let Some(mut process) = node.process.lock().unwrap().take() else { return false };
        if process.has_ended() {
            self.crashed.fetch_add(1, Ordering::SeqCst);
            let last = process.log.change(|log| log.iter().rev().take(4).cloned().collect::<Vec<_>>());
            eprintln!("{} ended by itself: {}", node.name, last.join(" < "));
        }
        node.disruptions.fetch_add(1, Ordering::SeqCst);
        process.kill();
        let lines = process.log.change(|log| log.clone());
        let about_fleet =
            |line: &String| line.contains("fleet") || line.contains("policy") || line.contains("clock");
        node.log.lock().unwrap().extend(lines.into_iter().filter(about_fleet));
        true
    }

    /// Stops a router's process, or has it go on (SIGSTOP, SIGCONT).
    pub fn pause(&self, index: usize, pause: bool) {
        let node = &self.nodes[index];
        if let Some(process) = node.process.lock().unwrap().as_ref() {
            node.disruptions.fetch_add(1, Ordering::SeqCst);
            node.paused.store(pause, Ordering::SeqCst);
            process.pause(pause);
        }
    }

    /// Whether a router's process is up and not stopped.
    pub fn is_running(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.process.lock().unwrap().is_some() && !node.paused.load(Ordering::SeqCst)
    }

    /// Whether all routers are up.
    pub fn all_running(&self) -> bool {
        (0..self.nodes.len()).all(|index| self.is_running(index))
    }

    /// How long the present period of demand still lasts.
    pub fn rest_of_demand_period(&self) -> Duration {
        let elapsed = self.started_at.elapsed().as_micros() % DEMAND_PERIOD.as_micros();
        DEMAND_PERIOD - Duration::from_micros(elapsed as u64)
    }

    /// Whether a router's clients want much in this period. Those of the leader never do: what it keeps for
    /// itself is granted to nobody, so most of what there is should go to others.
    pub fn has_high_demand(&self, index: usize) -> bool {
        let period = self.started_at.elapsed().as_micros() / DEMAND_PERIOD.as_micros();
        (index as u128 + period).is_multiple_of(2) && self.leader.load(Ordering::Relaxed) != index
    }

    /// Asks for the leader and remembers it.
    pub fn find_leader(&self) {
        let status = self.any_status();
        let leads = |index: &usize| status["leader"] == json!(self.peer_address(*index));
        self.leader.store((0..self.nodes.len()).find(leads).unwrap_or(usize::MAX), Ordering::Relaxed);
    }

    /// The names of the voters, as one router states them.
    pub fn voters(&self) -> Vec<String> {
        let status = self.any_status();
        let voters = status["voters"].as_array().cloned().unwrap_or_default();
        voters.iter().filter_map(|voter| Some(voter.as_str()?.to_string())).collect()
    }

    fn any_status(&self) -> Value {
        (0..self.nodes.len()).find_map(|index| self.control(index, &json!("status"))).unwrap_or_default()
    }

    /// Where its peers reach a router.
    pub fn peer_address(&self, index: usize) -> String {
        self.relay.addresses[&self.nodes[index].name].to_string()
    }

    /// Whether a router states that it leads.
    pub fn is_leader(&self, index: usize) -> bool {
        let status = self.control(index, &json!("status"));
        status.is_some_and(|status| status["leader"] == json!(self.peer_address(index)))
    }

    /// Sends a request to a router's control socket; none where there is no answer, or an error.
    pub fn control(&self, index: usize, request: &Value) -> Option<Value> {
        if !self.is_running(index) {
            return None;
        }
        control_request(&self.nodes[index].control_socket, request).ok()
    }

    /// Waits until no policy change is pending and all routers take requests again, within the time that is
    /// stated for it; returns how many waits failed.
    pub fn settle(&self) -> u64 {
        // Two leases and graces for the change, and as much as it takes for a router to be listed again.
        let lease = self.plan.lease;
        let limit = Duration::from_millis(2 * (lease + QUORUM_LOSS_GRACE_MS) + 10 * lease);
        let settled = wait_until(limit, "an end", || {
            let statuses = (0..self.nodes.len()).map(|index| self.control(index, &json!("status")));
            let statuses: Vec<Value> = statuses.flatten().collect();
            let is_done = |status: &Value| status["under_way"].is_null() && status["out"].is_null();
            // One whose clock is off may stay out for ever, and says so.
            let out = statuses.iter().filter(|status| !is_done(status)).count();
            statuses.len() == self.nodes.len() && out <= usize::from(self.has_fault("clock"))
        });
        if settled.is_err() {
            for (index, node) in self.nodes.iter().enumerate() {
                eprintln!("{}: {:?}", node.name, self.control(index, &json!("status")));
            }
        }
        // Clients are to see the last change as well.
        thread::sleep(Duration::from_millis(700));
        u64::from(settled.is_err())
    }

    /// Ends all routers; shows their log lines about the fleet where a rule was broken.
    pub fn end(&self, figures: &mut Figures) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
        if figures.rules_broken > 0 && self.plan.without.is_none() || self.plan.logs {
            for node in &self.nodes {
                node.log.lock().unwrap().iter().for_each(|line| eprintln!("{}: {line}", node.name));
            }
        }
        let crashed = self.crashed.load(Ordering::SeqCst);
        figures.more.insert("crashed".into(), json!(crashed));
        figures.rules_broken += crashed;
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn new_directory() -> Result<PathBuf> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let name = format!("tindoor-cluster-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let directory = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

fn node(plan: &Plan, directory: &Path, relay: &Relay, listen: SocketAddr, name: &str) -> Node {
    let control_socket = directory.join(format!("{name}.sock"));
    let storage = directory.join(name);
    let seeds: Vec<String> =
        (0..plan.routers.min(4)).map(|index| relay.addresses[&format!("n{index}")].to_string()).collect();
    let fleet = json!({
        "name": "lab", "listen": listen, "address": relay.addresses[name], "seeds": seeds,
        "votes": true, "folder": storage, "operator": control_socket,
        "voters": if plan.routers < 5 || plan.few_voters { 3 } else { 5 },
        "lease_ms": plan.lease, "hold_out_ms": QUORUM_LOSS_GRACE_MS, "clock_bound_ms": CLOCK_BOUND_MS,
        "beat_ms": HEARTBEAT_MS, "probation_ms": PROBATION_MS,
    });
    Node {
        name: name.to_string(),
        address: free_address(),
        control_socket,
        storage,
        fronts: json!({ "fleet": fleet }),
        process: Mutex::default(),
        disruptions: AtomicU64::new(0),
        log: Mutex::default(),
        paused: AtomicBool::new(false),
    }
}
