//! Runs the consensus node of this router: passes events to the node and carries out the actions it returns.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use tindoor::host::stable_id;
use tindoor::settings::Settings;
use tindoor::time::{Moment, Span};
use tindoor_consensus::{Action, Limits, LocalIdentity, Node, NodeConfig, Status, StorageWrite, StoredState};
use tindoor_membership::Incarnation;
use tindoor_policy::{Policy, budgets, keys};
use tindoor_quota::RetryBudget;

use super::admission::LatencyObjectives;
use super::checks::FleetChecks;
use super::clock::BootClock;
use super::peers::{PeerHandler, Peers, SentTraffic};
use super::replica_storage::ReplicaStorage;
use super::transitions::{log_leadership, log_transition};
use crate::configuration::FleetConfiguration;
use crate::configuration::limits::PeerLimits;
use crate::connections::{Acceptor, ListenerRegistry, listener_names};
use crate::memory::MemoryAccount;

/// The exit status of a process whose consensus node panicked.
const NODE_FAILURE_EXIT_STATUS: i32 = 101;

/// This router as a member of its fleet.
pub struct Fleet {
    pub(super) node: RefCell<Node>,
    pub(super) clock: BootClock,
    pub(super) checks: FleetChecks,
    peers: Rc<Peers>,
    writes: Sender<StorageWrite>,
    /// The settings with which this router was started.
    pub(super) settings: Settings,
    /// The names of this router's request classes.
    pub(super) classes: Vec<String>,
    /// The policy generation that the routing engine applies.
    pub(super) adopted_generation: Cell<u64>,
    pub(super) latency_objectives: RefCell<Vec<LatencyObjectives>>,
    /// The Retry-After value of rejected requests.
    pub(super) retry_after: Span,
    pub(super) requests_in_flight: Box<dyn Fn() -> usize>,
    /// The maximum number of open requests under the adopted policy.
    pub(super) open_requests_limit: Cell<usize>,
    /// The maximum number of open requests with which this router was started.
    pub(super) started_open_requests_limit: usize,
    pub(super) budget_scope: budgets::BudgetScope,
    /// The retries that are still allowed, in proportion to the requests served. `None` if the policy does
    /// not limit them.
    pub(super) retry_budget: Cell<Option<RetryBudget>>,
}

/// The router that joins a fleet, as configured at its start.
pub struct LocalRouter {
    /// The router's name.
    pub name: String,
    /// The router's location, as an index into the deployment's list of locations.
    pub location: u16,
    /// The settings with which the router was started.
    pub settings: Settings,
    /// The names of the router's request classes.
    pub classes: Vec<String>,
    /// The limits of connections to peers.
    pub limits: PeerLimits,
    /// All listeners of the router.
    pub listeners: Rc<ListenerRegistry>,
    /// The account of the memory that untrusted peers occupy.
    pub memory: Rc<MemoryAccount>,
    /// The maximum number of open requests if the policy does not set one.
    pub open_requests_limit: usize,
    /// Returns the number of requests in flight.
    pub requests_in_flight: Box<dyn Fn() -> usize>,
    /// The Retry-After value of rejected requests.
    pub retry_after: Span,
}

/// The status of this router, for its operator.
pub struct FleetStatus {
    /// The status of the consensus node.
    pub node: Status,
    /// The messages sent to peers since the start.
    pub sent: SentTraffic,
}

/// The identity of this process and its stable storage.
struct Process {
    incarnation: Incarnation,
    replica_id: u64,
    predecessor: Option<Incarnation>,
    storage: Option<Arc<ReplicaStorage>>,
    stored: Option<StoredState>,
}

impl Fleet {
    /// Starts the node, and spawns its tasks on `executor`.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        configuration: &FleetConfiguration,
        router: LocalRouter,
    ) -> Result<Rc<Self>> {
        let timings = configuration.timings()?;
        let checks = FleetChecks::enabled();
        let process = Process::start(configuration, &router.name, checks)?;
        let listener = Async::<TcpListener>::bind(configuration.listen)
            .with_context(|| format!("fleet.listen: {}", configuration.listen))?;
        let bound = listener.get_ref().local_addr().context("fleet.listen")?;
        let identity = process.identity(configuration, &router, bound);
        let (incarnation, replica_id) = (identity.incarnation, identity.replica_id);
        tracing::info!(front = listener_names::FLEET, at = %bound, %incarnation, replica_id, "listening");
        let clock = BootClock::start();
        let random_seed = getrandom::u64().context("can't read a random seed from the system")?;
        let config = NodeConfig {
            fleet: configuration.name.clone(),
            identity,
            timings,
            limits: node_limits(configuration),
            checks: checks.node,
            seeds: configuration.seeds.iter().map(SocketAddr::to_string).collect(),
            stored: process.stored,
            random_seed,
        };
        let node = Node::start(config, clock.now().0).map_err(|error| anyhow!("fleet: {error}"))?;
        let (limits, listeners) = (router.limits, Rc::clone(&router.listeners));
        let memory = Rc::clone(&router.memory);
        let peers = Peers::new(Rc::clone(executor), limits, memory, &configuration.name, &router.name);
        let (writes, pending_writes) = async_channel::unbounded();
        let fleet = Rc::new(Self::new(node, clock, checks, peers, writes, router));
        fleet.with_node(|_, _| ());
        fleet.accept_peers(executor, listener, listeners, limits);
        fleet.spawn_tasks(executor, pending_writes, process.storage);
        Ok(fleet)
    }

    fn new(
        node: Node,
        clock: BootClock,
        checks: FleetChecks,
        peers: Rc<Peers>,
        writes: Sender<StorageWrite>,
        router: LocalRouter,
    ) -> Self {
        let budget_scope = budgets::BudgetScope::new(
            u64::from(router.location),
            &router.classes,
            router.settings.topology.fill_details_reported,
        );
        Self {
            node: RefCell::new(node),
            clock,
            checks,
            peers,
            writes,
            settings: router.settings,
            classes: router.classes,
            adopted_generation: Cell::new(0),
            latency_objectives: RefCell::default(),
            retry_after: router.retry_after,
            requests_in_flight: router.requests_in_flight,
            open_requests_limit: Cell::new(router.open_requests_limit),
            started_open_requests_limit: router.open_requests_limit,
            budget_scope,
            retry_budget: Cell::new(None),
        }
    }

    /// Accepts connections from peers for as long as the router runs, and passes their messages to the node.
    fn accept_peers(
        self: &Rc<Self>,
        executor: &LocalExecutor<'static>,
        listener: Async<TcpListener>,
        listeners: Rc<ListenerRegistry>,
        limits: PeerLimits,
    ) {
        let fleet = Rc::clone(self);
        let receive = move |envelope| fleet.with_node(|node, now| node.receive(now, envelope));
        let handler = PeerHandler { peers: Rc::clone(&self.peers), receive };
        let table = listeners.add(listener_names::FLEET, limits.connections);
        let acceptor = Acceptor::new(handler, listener, table, listeners, limits.backoff);
        executor.spawn(async move { acceptor.run().await }).detach();
    }

    fn spawn_tasks(
        self: &Rc<Self>,
        executor: &LocalExecutor<'static>,
        pending_writes: Receiver<StorageWrite>,
        storage: Option<Arc<ReplicaStorage>>,
    ) {
        let fleet = Rc::clone(self);
        executor.spawn(async move { fleet.tick_forever().await }).detach();
        let fleet = Rc::clone(self);
        executor.spawn(async move { fleet.write_all(pending_writes, storage).await }).detach();
    }

    async fn tick_forever(&self) {
        let interval = Duration::from_micros(self.node.borrow().tick_interval().as_micros());
        loop {
            Timer::after(interval).await;
            self.with_node(Node::tick);
        }
    }

    /// Executes the node's storage writes in order, on a thread pool where waiting for the disk blocks no
    /// task.
    async fn write_all(&self, pending: Receiver<StorageWrite>, storage: Option<Arc<ReplicaStorage>>) {
        while let Ok(write) = pending.recv().await {
            let number = write.number;
            let is_needed = self.checks.synced_writes || number == 0;
            if let Some(storage) = storage.as_ref().filter(|_| is_needed) {
                let storage = Arc::clone(storage);
                if let Err(error) = blocking::unblock(move || storage.write(&write)).await {
                    // A failed write is never reported as completed and later writes are not executed, so
                    // this replica does not vote any more.
                    tracing::error!(%error, "write to replica storage failed; this voter stops voting");
                    return;
                }
            }
            self.with_node(|node, now| node.write_completed(now, number));
        }
    }

    /// Passes an event to the node at the current time, and carries out the resulting actions. Does not await
    /// anything, so no other task sees the node in an intermediate state.
    pub fn with_node<T>(&self, event: impl FnOnce(&mut Node, Moment) -> T) -> T {
        let _exit = ExitOnPanic;
        let (result, mut actions) = {
            let mut node = self.node.borrow_mut();
            let (now, has_jumped) = self.clock.now();
            if has_jumped {
                tracing::warn!("local clock jumped; the policy lease and all clock readings are discarded");
                node.clock_jumped(now);
            }
            let result = event(&mut node, now);
            (result, node.take_actions())
        };
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                actions.extend(self.carry_out(action));
            }
        }
        result
    }

    /// Carries out an action, and returns the actions that result from it.
    fn carry_out(&self, action: Action) -> Vec<Action> {
        match action {
            Action::Send { address, envelope } => self.peers.send(&address, &envelope),
            // After a failed write the channel is closed, and further writes are dropped.
            Action::Write(write) => drop(self.writes.try_send(write)),
            Action::CheckPolicy(version) => {
                let objection = self.check_policy(&version);
                let mut node = self.node.borrow_mut();
                node.policy_checked(self.clock.now().0, version.generation, objection);
                return node.take_actions();
            }
            Action::Transition(transition) => log_transition(&transition),
            Action::LeadershipChanged(term) => log_leadership(term),
        }
        Vec::new()
    }

    /// Returns the initial policy of a fleet that this router bootstraps, derived from the settings with
    /// which the router was started.
    pub fn initial_policy(&self) -> Policy {
        keys::from_settings(&self.settings, &self.classes)
    }

    /// Returns the names of this router's request classes.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Returns the status of this router.
    pub fn status(&self) -> FleetStatus {
        FleetStatus { node: self.with_node(Node::status), sent: self.peers.sent() }
    }

    /// Returns whether this router accepts requests now, that is, whether it has an active policy.
    pub fn is_available(&self) -> bool {
        self.with_node(|node, now| node.active_policy(now).is_ok())
    }
}

impl Process {
    /// Starts a new incarnation of the replica in the storage directory, or of a new replica if this router
    /// has no storage or may not vote.
    fn start(configuration: &FleetConfiguration, name: &str, checks: FleetChecks) -> Result<Self> {
        // Read from the system and not from the node's random generator, whose seed may repeat.
        let random = getrandom::u64().context("can't read a random incarnation from the system")?;
        let incarnation = if checks.unique_incarnations { random } else { stable_id(name) };
        let directory = configuration.storage_directory.as_ref().filter(|_| configuration.may_vote);
        let Some(directory) = directory else {
            return Ok(Self {
                incarnation: Incarnation(incarnation),
                replica_id: incarnation,
                predecessor: None,
                storage: None,
                stored: None,
            });
        };
        let (storage, replica) =
            ReplicaStorage::open(directory, incarnation, incarnation).context("fleet.folder")?;
        let predecessor = replica.predecessor.filter(|_| checks.unique_incarnations);
        Ok(Self {
            incarnation: Incarnation(incarnation),
            replica_id: replica.replica_id,
            predecessor: predecessor.map(Incarnation),
            storage: Some(Arc::new(storage)),
            stored: replica.state,
        })
    }

    /// Returns the identity that peers see. The address is the one the router listens on, unless another one
    /// is configured.
    fn identity(
        &self,
        configuration: &FleetConfiguration,
        router: &LocalRouter,
        bound: SocketAddr,
    ) -> LocalIdentity {
        LocalIdentity {
            incarnation: self.incarnation,
            name: router.name.clone(),
            address: configuration.address.unwrap_or(bound).to_string(),
            location: router.location,
            replica_id: configuration.may_vote.then_some(self.replica_id),
            predecessor: self.predecessor,
        }
    }
}

fn node_limits(configuration: &FleetConfiguration) -> Limits {
    let mut limits =
        Limits { voters: configuration.voters, quota_weight: configuration.weight, ..Limits::default() };
    limits.probation.max_duration = Span::millis(configuration.probation_ms);
    limits
}

/// Exits the process if the node panics while this guard is held. The executor drops only the task that
/// panicked and continues with the others, but a half-changed state must not be used to admit requests or to
/// vote. The process therefore exits, and its restart is another incarnation.
pub(super) struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            tracing::error!("consensus node panicked; the process exits, as its state may be inconsistent");
            std::process::exit(NODE_FAILURE_EXIT_STATUS);
        }
    }
}
