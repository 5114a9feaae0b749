//! Creates the parts of the router from the configuration, and the background tasks.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;

use anyhow::{Context, Result};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use tindoor::time::Span;
use tindoor_discovery::{WatchEvent, WatchPosition};
use tindoor_request_runtime::{AdmissionGate, EngineHandle, InFlightIds};

use super::shutdown::RunningListener;
use crate::configuration::limits::{ConnectionLimits, ExtraListeners, Limits, PeerLimits};
use crate::configuration::{Configuration, Fronts};
use crate::connections::{Acceptor, ConnectionHandler, ListenerRegistry, listener_names};
use crate::discovery::{WatchMetrics, apply_event};
use crate::downstream::RecentRuns;
use crate::external::{ExternalProcessing, GrpcHandler, PlainHandler};
use crate::fleet::{Fleet, LocalRouter};
use crate::log_throttle::LogThrottle;
use crate::memory::MemoryAccount;
use crate::operator::control_socket::{self, ControlHandler};
use crate::signed_urls::SignedUrls;
use crate::state::RouterState;
use crate::upstream::EndpointPool;

/// Creates the state that all tasks share, and applies the initial events of the configuration.
pub fn create_state(
    executor: &Rc<LocalExecutor<'static>>,
    configuration: &mut Configuration,
    fronts: &mut Fronts,
) -> Result<Rc<RouterState>> {
    let limits = configuration.limits.with_listeners(extra_listeners(fronts));
    // Seeds the generator of the reconnect jitter. The routing engine has its own generator.
    fastrand::seed(configuration.seed);
    let engine = Rc::new(EngineHandle::start(configuration.engine_settings.clone(), configuration.seed));
    let in_flight_ids = InFlightIds::default();
    let memory = MemoryAccount::new(&limits.memory);
    let external = ExternalProcessing::new(
        Rc::clone(executor),
        Rc::clone(&engine),
        in_flight_ids.clone(),
        &memory,
        &limits,
        limits.external_request_limits(configuration.grace, configuration.idempotency_window),
    )?;
    let signed_urls = match fronts.signed_urls.take() {
        Some(settings) => {
            Some(SignedUrls::start(settings, &configuration.classes, configuration.seed).context("fronts")?)
        }
        None => None,
    };
    let listeners = Rc::<ListenerRegistry>::default();
    let shared = SharedParts { executor, engine: &engine, listeners: &listeners, memory: &memory };
    let fleet = start_fleet(&shared, configuration, &limits, fronts)?;
    let state = Rc::new(RouterState {
        executor: Rc::clone(executor),
        limits,
        classes: std::mem::take(&mut configuration.classes),
        locations: std::mem::take(&mut configuration.locations),
        endpoint_kinds: std::mem::take(&mut configuration.endpoint_kinds),
        engine,
        external,
        fleet,
        signed_urls,
        in_flight_ids,
        recent_runs: RecentRuns::new(&limits.client, &memory),
        endpoints: EndpointPool::new(limits.upstream),
        listeners,
        unwritten_replies: Rc::default(),
        memory,
        overload_log: LogThrottle::default(),
        malformed_log: LogThrottle::default(),
        watch_position: RefCell::new(WatchPosition::after(configuration.initial_sequence)),
        watch_metrics: WatchMetrics::default(),
        shutdown_deadline: Cell::new(None),
    });
    limit_connections_by_quota(&state);
    apply_initial_events(&state, std::mem::take(&mut configuration.initial_events));
    Ok(state)
}

/// The parts that the fleet's listeners share with the others.
struct SharedParts<'a> {
    executor: &'a Rc<LocalExecutor<'static>>,
    engine: &'a Rc<EngineHandle>,
    listeners: &'a Rc<ListenerRegistry>,
    memory: &'a Rc<MemoryAccount>,
}

/// Returns which listeners the fronts file switches on.
fn extra_listeners(fronts: &Fronts) -> ExtraListeners {
    let for_proxies = [&fronts.external_processing, &fronts.call];
    ExtraListeners {
        for_proxies: for_proxies.into_iter().flatten().count(),
        for_peers: fronts.fleet.is_some(),
    }
}

/// Joins the fleet that the fronts file configures, if any, and makes it the gate that admits requests.
fn start_fleet(
    shared: &SharedParts,
    configuration: &Configuration,
    limits: &Limits,
    fronts: &Fronts,
) -> Result<Option<Rc<Fleet>>> {
    let Some(fleet_settings) = &fronts.fleet else { return Ok(None) };
    let SharedParts { executor, engine, listeners, memory } = *shared;
    let in_flight = {
        let engine = Rc::clone(engine);
        Box::new(move || engine.open_requests())
    };
    let local_router = LocalRouter {
        name: configuration.name.clone(),
        location: configuration.engine_settings.topology.location,
        settings: configuration.engine_settings.clone(),
        classes: configuration.classes.iter().map(|class| class.name.clone()).collect(),
        limits: limits.peer,
        listeners: Rc::clone(listeners),
        memory: Rc::clone(memory),
        open_requests_limit: limits.max_open_requests,
        requests_in_flight: in_flight,
        retry_after: Span::micros(limits.no_lease_retry_after.as_micros() as u64),
    };
    let fleet = Fleet::start(executor, fleet_settings, local_router).context("fronts")?;
    engine.set_gate(Rc::clone(&fleet) as Rc<dyn AdmissionGate>);
    if let Some(path) = fleet_settings.operator_socket.clone() {
        spawn_control_socket(shared, &fleet, path, limits.peer);
    }
    Ok(Some(fleet))
}

fn spawn_control_socket(shared: &SharedParts, fleet: &Rc<Fleet>, path: PathBuf, limits: PeerLimits) {
    let (listeners, memory) = (Rc::clone(shared.listeners), Rc::clone(shared.memory));
    let handler = ControlHandler::new(Rc::clone(shared.executor), Rc::clone(fleet), limits, memory);
    let socket = control_socket::serve(handler, listeners, path, limits);
    let task = async move {
        let Err(error) = socket.await;
        tracing::error!("operator socket failed: {error:#}");
    };
    shared.executor.spawn(task).detach();
}

/// In a fleet, charges each new endpoint connection against the router's quota.
fn limit_connections_by_quota(state: &RouterState) {
    if let Some(fleet) = state.fleet.clone() {
        state.endpoints.set_connection_quota(move |endpoint| fleet.charge_connection(endpoint));
    }
}

fn apply_initial_events(state: &RouterState, events: Vec<WatchEvent>) {
    events.into_iter().for_each(|event| apply_event(state, event));
}

/// Starts to accept connections on a bound socket.
pub fn start_listener<H: ConnectionHandler + 'static>(
    state: &Rc<RouterState>,
    name: &'static str,
    handler: H,
    socket: Async<H::Listener>,
    limits: ConnectionLimits,
) -> RunningListener {
    let table = state.listeners.add(name, limits);
    let registry = Rc::clone(&state.listeners);
    let acceptor = Rc::new(Acceptor::new(handler, socket, table, registry, state.limits.poll_interval));
    let running = Rc::clone(&acceptor);
    let task = state.executor.spawn(async move { running.run().await });
    RunningListener { acceptor, task }
}

/// Starts the listeners for external proxies that the fronts file configures.
pub fn listen_for_proxies(state: &Rc<RouterState>, fronts: Fronts) -> Result<Vec<RunningListener>> {
    let limits = state.limits.proxy.connections;
    let mut listeners = Vec::new();
    if let Some(front) = fronts.external_processing {
        let socket = bind_front(listener_names::EXTERNAL_PROCESSING, front.listen)?;
        let handler = GrpcHandler::new(Rc::clone(state), front.headers);
        listeners.push(start_listener(state, listener_names::EXTERNAL_PROCESSING, handler, socket, limits));
    }
    if let Some(front) = fronts.call {
        let socket = bind_front(listener_names::CALL, front.listen)?;
        let handler = PlainHandler::new(Rc::clone(state), front.headers);
        listeners.push(start_listener(state, listener_names::CALL, handler, socket, limits));
    }
    Ok(listeners)
}

fn bind_front(key: &str, listen: SocketAddr) -> Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(listen).with_context(|| format!("{key}.listen: {listen}"))?;
    let bound = listener.get_ref().local_addr().context("listen")?;
    tracing::info!(front = key, at = %bound, "listening");
    Ok(listener)
}

/// Spawns the tasks that are driven by timers.
pub fn spawn_timers(state: &Rc<RouterState>) {
    let engine = Rc::clone(&state.engine);
    state.executor.spawn(async move { engine.run_timers().await }).detach();
    let external = Rc::clone(&state.external);
    state.executor.spawn(async move { external.run_timers().await }).detach();
    state.executor.spawn(sweep_idle_connections(Rc::clone(state))).detach();
    state.executor.spawn(report_regularly(Rc::clone(state))).detach();
}

/// Logs what happened at the listeners and to the discovery watch since the last report.
async fn report_regularly(state: Rc<RouterState>) {
    loop {
        Timer::after(state.limits.report_interval).await;
        state.listeners.report();
        state.memory.report();
        state.watch_metrics.report();
    }
}

async fn sweep_idle_connections(state: Rc<RouterState>) {
    loop {
        Timer::after(state.limits.upstream.sweep_interval).await;
        state.endpoints.sweep_idle();
    }
}
