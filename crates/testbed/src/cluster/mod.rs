//! Runs the routers of one fleet as processes. Their messages pass through a [`Relay`], and faults are
//! injected into the processes and the network between them.

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

/// Names of the faults that every experiment can inject. Each experiment adds faults that only it can inject.
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

/// The parameters of an experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Maximum number of requests that are sent.
    pub requests: u64,
    /// For how many seconds faults are injected.
    pub seconds: u64,
    /// Number of routers.
    pub routers: usize,
    /// Comma-separated names of the injected faults; `all` for all faults.
    pub faults: String,
    /// Name of the check that is disabled, if any.
    pub without: Option<String>,
    /// Whether a fleet of any size has three voters, so that the other routers can be a majority of it.
    pub few_voters: bool,
    /// Duration of the fleet's leases, in milliseconds.
    pub lease: u64,
    /// Whether the routers' log lines about the fleet are printed even if no rule was broken.
    pub logs: bool,
    /// The budget of origin fills in experiments that divide it among routers: fills per second, burst, and
    /// concurrent fills.
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

/// How long the fleet continues without a quorum of its voters, in milliseconds.
pub const QUORUM_LOSS_GRACE_MS: u64 = 6000;
/// Maximum difference between two routers' readings of the fleet's time, in milliseconds.
pub const CLOCK_BOUND_MS: u64 = 50;
/// How often a router sends status requests to other routers, in milliseconds.
pub const HEARTBEAT_MS: u64 = 150;
/// How long a policy change is on probation, in milliseconds.
pub const PROBATION_MS: u64 = 2500;

/// A router of the cluster, with the state that outlives restarts of its process.
pub struct Node {
    /// The router's name.
    pub name: String,
    /// The address on which the router listens for clients.
    pub address: SocketAddr,
    /// Path of the router's control socket.
    pub control_socket: PathBuf,
    /// Directory of the replica's storage.
    pub storage: PathBuf,
    /// Contents of the router's fronts file.
    pub fronts: Value,
    /// The router's process. `None` while the router is down.
    pub process: Mutex<Option<Router>>,
    /// Incremented whenever the process is killed, stopped, resumed or started. Calls in flight at that time
    /// are lost.
    pub disruptions: AtomicU64,
    /// Log lines of ended processes that concern the fleet.
    pub log: Mutex<Vec<String>>,
    /// Whether the process is stopped (SIGSTOP).
    pub paused: AtomicBool,
}

/// A fleet of router processes with its relay and its stand-in endpoints.
pub struct Cluster {
    /// The parameters of the experiment.
    pub plan: Plan,
    /// Names of the faults that are injected.
    pub faults: Vec<String>,
    /// The routers.
    pub nodes: Vec<Node>,
    /// The stand-in endpoints.
    pub fleet: Mutex<Fleet>,
    /// The relay between the routers.
    pub relay: Relay,
    /// Number of requests sent so far.
    pub requests_sent: AtomicU64,
    /// Number of processes that exited without being killed.
    pub crashed: AtomicU64,
    /// The injected faults, each with its time.
    pub injected: Mutex<Vec<(Instant, &'static str)>>,
    /// Set when clients must stop.
    pub finished: AtomicBool,
    /// Set when the injection of faults must end.
    pub faults_finished: AtomicBool,
    /// Directory of the routers' control sockets and storage.
    pub directory: PathBuf,
    started_at: Instant,
    /// Index of the leader found by [`Cluster::find_leader`]; `usize::MAX` if none was found.
    leader: AtomicUsize,
    /// The experiment's changes to a router's configuration.
    pub configure: fn(&mut Value),
}

/// How long the clients of a router have high demand, and then low demand, in turn.
const DEMAND_PERIOD: Duration = Duration::from_secs(3);

impl Cluster {
    /// Starts the routers and bootstraps their fleet. Returns the cluster and the time from the start of the
    /// bootstrap until all routers were healthy.
    pub fn start(
        plan: &Plan,
        experiment_faults: &[&str],
        checks: &[&str],
        fleet: Fleet,
        configure: fn(&mut Value),
    ) -> Result<(Arc<Self>, Duration)> {
        ensure!((1..=40).contains(&plan.routers), "expected from 1 to 40 routers, got {}", plan.routers);
        if let Some(check) = &plan.without {
            ensure_check_is_known(check, checks)?;
        }
        let faults = parse_faults(&plan.faults, &[FAULTS, experiment_faults].concat())?;
        let directory = new_directory()?;
        let names: Vec<String> = (0..plan.routers).map(|index| format!("n{index}")).collect();
        let listen_addresses: BTreeMap<String, SocketAddr> =
            names.iter().map(|name| (name.clone(), free_address())).collect();
        let relay = Relay::start(plan.seed, &listen_addresses);
        let nodes = names
            .iter()
            .map(|name| new_node(plan, &directory, &relay, listen_addresses[name], name))
            .collect();
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
        let bootstrap_started_at = Instant::now();
        control_request(&cluster.nodes[0].control_socket, &json!({"found": {}}))
            .context("failed to bootstrap the fleet")?;
        wait_until(Duration::from_secs(60), "all routers to be healthy", || {
            cluster.nodes.iter().all(|node| is_healthy(node).unwrap_or(false))
        })?;
        Ok((cluster, bootstrap_started_at.elapsed()))
    }

    /// Whether the fault with this name is injected.
    pub fn has_fault(&self, fault: &str) -> bool {
        self.faults.iter().any(|known| known == fault)
    }

    /// Starts a router's process and waits until the router listens. `clock` is the fault of the router's
    /// clock, if any.
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
        // An hour, in microseconds: the purge at the start does not expire during a run, so that each attempt
        // states the age that it accepts.
        configuration["settings"]["family_info"]["gone_everywhere"] = json!(3_600_000_000u64);
        drop(fleet);
        (self.configure)(&mut configuration);
        configuration
    }

    /// Kills a router's process. Returns false if the router is already down.
    pub fn kill(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let Some(mut process) = node.process.lock().unwrap().take() else { return false };
        if process.has_ended() {
            self.crashed.fetch_add(1, Ordering::SeqCst);
            let last = process.log.change(|log| log.iter().rev().take(4).cloned().collect::<Vec<_>>());
            eprintln!(
                "{} exited unexpectedly; its last log lines, latest first: {}",
                node.name,
                last.join(" < ")
            );
        }
        node.disruptions.fetch_add(1, Ordering::SeqCst);
        process.kill();
        let lines = process.log.change(|log| log.clone());
        let about_fleet =
            |line: &String| line.contains("fleet") || line.contains("policy") || line.contains("clock");
        node.log.lock().unwrap().extend(lines.into_iter().filter(about_fleet));
        true
    }

    /// Stops a router's process, or resumes it if `pause` is false (SIGSTOP, SIGCONT).
    pub fn pause(&self, index: usize, pause: bool) {
        let node = &self.nodes[index];
        if let Some(process) = node.process.lock().unwrap().as_ref() {
            node.disruptions.fetch_add(1, Ordering::SeqCst);
            node.paused.store(pause, Ordering::SeqCst);
            process.pause(pause);
        }
    }

    /// Whether a router's process was started and is not stopped.
    pub fn is_running(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.process.lock().unwrap().is_some() && !node.paused.load(Ordering::SeqCst)
    }

    /// Whether the processes of all routers are running.
    pub fn all_running(&self) -> bool {
        (0..self.nodes.len()).all(|index| self.is_running(index))
    }

    /// The time until the end of the current demand period.
    pub fn remaining_demand_period(&self) -> Duration {
        let elapsed = self.started_at.elapsed().as_micros() % DEMAND_PERIOD.as_micros();
        DEMAND_PERIOD - Duration::from_micros(elapsed as u64)
    }

    /// Whether the clients of a router have high demand in the current period. Clients of the leader never
    /// have high demand: the share that the leader keeps for itself is not granted to any router, and most of
    /// the budget should be granted to other routers.
    pub fn has_high_demand(&self, index: usize) -> bool {
        let period = self.started_at.elapsed().as_micros() / DEMAND_PERIOD.as_micros();
        (index as u128 + period).is_multiple_of(2) && self.leader.load(Ordering::Relaxed) != index
    }

    /// Finds the current leader and stores its index for [`Cluster::has_high_demand`].
    pub fn find_leader(&self) {
        let status = self.any_status();
        let leads = |index: &usize| status["leader"] == json!(self.peer_address(*index));
        self.leader.store((0..self.nodes.len()).find(leads).unwrap_or(usize::MAX), Ordering::Relaxed);
    }

    /// Returns the names of the voters as reported by one router.
    pub fn voters(&self) -> Vec<String> {
        let status = self.any_status();
        let voters = status["voters"].as_array().cloned().unwrap_or_default();
        voters.iter().filter_map(|voter| Some(voter.as_str()?.to_string())).collect()
    }

    /// Returns the status of the first router that answers.
    fn any_status(&self) -> Value {
        (0..self.nodes.len()).find_map(|index| self.control(index, &json!("status"))).unwrap_or_default()
    }

    /// Returns the address at which other routers reach a router, which is an address of the relay.
    pub fn peer_address(&self, index: usize) -> String {
        self.relay.addresses[&self.nodes[index].name].to_string()
    }

    /// Whether a router reports that it is the leader.
    pub fn is_leader(&self, index: usize) -> bool {
        let status = self.control(index, &json!("status"));
        status.is_some_and(|status| status["leader"] == json!(self.peer_address(index)))
    }

    /// Sends a request to a router's control socket and returns the answer. `None` if there is no answer or
    /// the answer is an error.
    pub fn control(&self, index: usize, request: &Value) -> Option<Value> {
        if !self.is_running(index) {
            return None;
        }
        control_request(&self.nodes[index].control_socket, request).ok()
    }

    /// Waits until no policy change is pending and all routers accept requests again. Returns 1 if this takes
    /// longer than the time that the fleet guarantees, otherwise 0.
    pub fn settle(&self) -> u64 {
        // Two leases and grace periods for the change, and ten leases until a router is listed again.
        let lease = self.plan.lease;
        let limit = Duration::from_millis(2 * (lease + QUORUM_LOSS_GRACE_MS) + 10 * lease);
        let settled = wait_until(limit, "the cluster to settle", || {
            let statuses = (0..self.nodes.len()).map(|index| self.control(index, &json!("status")));
            let statuses: Vec<Value> = statuses.flatten().collect();
            let is_done = |status: &Value| status["under_way"].is_null() && status["out"].is_null();
            // A router with a clock fault may stay out of service and reports this.
            let out = statuses.iter().filter(|status| !is_done(status)).count();
            statuses.len() == self.nodes.len() && out <= usize::from(self.has_fault("clock"))
        });
        if settled.is_err() {
            for (index, node) in self.nodes.iter().enumerate() {
                eprintln!("{}: {:?}", node.name, self.control(index, &json!("status")));
            }
        }
        // Gives clients time to observe the last change.
        thread::sleep(Duration::from_millis(700));
        u64::from(settled.is_err())
    }

    /// Kills all routers, and adds the number of crashes to the figures. Prints the routers' log lines about
    /// the fleet if a rule was broken and no check was disabled, or if the plan requests it.
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

/// Returns a node that is not started yet.
fn new_node(plan: &Plan, directory: &Path, relay: &Relay, listen: SocketAddr, name: &str) -> Node {
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
