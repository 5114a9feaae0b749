//! tindoor on sockets: starts the router, and heeds signals: to read its configuration again, and to end.

mod accept;
mod caches;
mod callers;
mod client;
mod clients;
mod configuration;
mod external;
mod feed;
mod fleet;
mod folder;
mod fronts;
mod limits;
mod links;
mod locate;
mod operator;
mod peers;
mod places;
mod processor;
mod request;
mod router;
mod signals;
mod subrequests;
mod wanted;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::ffi::OsString;
use std::mem;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

use accept::Connections;
use anyhow::{Context, Result};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};

use caches::{Budget, Caches};
use clap::Parser;
use configuration::{Deployment, Fixed};
use external::ExternalProcessing;
use fleet::Fleet;
use fronts::Fronts;
use limits::{PeerLimits, Seldom};
use links::Links;
use operator::command_line::{self, Command, CommandLine, Files, LogFormat};
use operator::control_socket;
use router::Router;
use tindoor::time::Span;
use tindoor_discovery::Place;
use tindoor_extproc::ask::RequestClass;
use tindoor_request_runtime::{AdmissionGate, EngineHandle, InFlightIds};

fn main() -> ExitCode {
    let line = CommandLine::parse();
    let level = std::env::var("TINDOOR_LOG").ok().and_then(|level| level.parse().ok());
    let level = level.unwrap_or(tracing::level_filters::LevelFilter::INFO);
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_max_level(level);
    match line.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
    let done = match line.command {
        Some(Command::Check(files)) => check(&files).map(|()| println!("ok")),
        Some(Command::DisableableChecks) => {
            let checks = command_line::DISABLEABLE_CHECKS.iter().filter(|_| cfg!(debug_assertions));
            checks.for_each(|check| println!("{check}"));
            Ok(())
        }
        Some(Command::Keys(command)) => operator::run_key_command(command),
        Some(Command::SignedUrl(command)) => operator::run_signed_url_command(command),
        Some(Command::Policy(command)) => match operator::run_policy_command(command) {
            Ok(code) => return code,
            Err(what) => {
                eprintln!("{what:#}");
                return ExitCode::from(2);
            }
        },
        Some(Command::Serve(files)) => start(files),
        None => start(line.files),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            tracing::error!("{what:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(files: Files) -> Result<()> {
    let (deployment, fronts) = read(&files)?;
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(Rc::clone(&executor), files, deployment, fronts)))
}

/// Reads all that a start would read, the keys of links as well.
fn check(files: &Files) -> Result<()> {
    let (deployment, fronts) = read(files)?;
    let asked = asked(&deployment);
    fronts.links.map(|told| Links::start(told, &asked, 0).context("fronts")).transpose()?;
    fronts.fleet.map(|told| told.terms().context("fronts")).transpose()?;
    Ok(())
}

/// Request classes as proxies' headers are read.
fn asked(deployment: &Deployment) -> Vec<RequestClass> {
    let class = |class: &configuration::RequestClass| RequestClass {
        name: class.name.clone(),
        tagged: class.tagged,
        cut_off: class.cut_off,
    };
    deployment.classes.iter().map(class).collect()
}

fn read(files: &Files) -> Result<(Deployment, Fronts)> {
    let path =
        files.configuration().context("no configuration: name its file as argument or in PROXY_CONFIG")?;
    let deployment = read_configuration(&path)?;
    let fronts = match &files.fronts {
        Some(path) => {
            let text = std::fs::read(path).with_context(|| format!("fronts {}", path.display()))?;
            fronts::read(&text).with_context(|| format!("fronts {}", path.display()))?
        }
        None => Fronts::default(),
    };
    Ok((deployment, fronts))
}

/// An error names the file, the key, and its line.
fn read_configuration(path: &OsString) -> Result<Deployment> {
    let text = std::fs::read(path).with_context(|| format!("configuration {}", path.display()))?;
    configuration::read(&text, descriptors_allowed()).map_err(|error| {
        // Messages begin with the path of the key that they are about.
        let words = format!("{error:#}");
        let key = words.split(": ").find(|part| !part.contains(' ')).unwrap_or_default();
        let line = locate::line(&text, key).map_or(String::new(), |line| format!("line {line}: "));
        error.context(
            format!("configuration {}: {line}", path.display()).trim_end_matches([' ', ':']).to_string(),
        )
    })
}

/// How many descriptors the system allows this process, where it says so.
fn descriptors_allowed() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.and_then(|most| usize::try_from(most).ok()).unwrap_or(usize::MAX)
}

async fn run(
    executor: Rc<LocalExecutor<'static>>,
    files: Files,
    deployment: Deployment,
    fronts: Fronts,
) -> Result<()> {
    // Heeded from the first moment on: unheeded, each of them ends the process.
    let hangups = signals::heed(&[Signal::Hup]).context("signals")?;
    let mut ends = signals::heed(&[Signal::Term, Signal::Int]).context("signals")?;
    let path = files.configuration().unwrap_or_default();
    let asked = asked(&deployment);
    let Deployment { name, listen, seed, mut limits, .. } = deployment;
    if fronts.external_processing.is_some() || fronts.call.is_some() {
        // Proxies' connections come out of the clients' share.
        limits.client_connections = limits.client_connections.saturating_sub(limits.proxies).max(1);
    }
    // For pauses between connections only; the routing engine draws from a seed of its own.
    fastrand::seed(seed);
    let settings = deployment.engine_settings;
    let engine = EngineHandle::start(settings.clone(), seed);
    let (engine, ids) = (Rc::new(engine), InFlightIds::default());
    let external = ExternalProcessing::new(
        Rc::clone(&executor),
        Rc::clone(&engine),
        ids.clone(),
        limits.open_requests,
        limits.calls(deployment.grace, deployment.window),
    );
    let links = match fronts.links {
        Some(told) => Some(Links::start(told, &asked, seed).context("fronts")?),
        None => None,
    };
    let place = fleet::Place {
        name: name.clone(),
        location: settings.topology.location,
        settings,
        classes: deployment.classes.iter().map(|class| class.name.clone()).collect(),
        limits: PeerLimits::default(),
        open_requests: limits.open_requests,
        in_hand: {
            let engine = Rc::clone(&engine);
            Box::new(move || engine.open_requests())
        },
        pause: Span::micros(limits.no_lease.as_micros() as u64),
    };
    let fleet = match &fronts.fleet {
        Some(told) => {
            let fleet = Fleet::start(&executor, told, place).context("fronts")?;
            engine.set_gate(Rc::clone(&fleet) as Rc<dyn AdmissionGate>);
            if let Some(path) = told.operator.clone() {
                let heard = control_socket::serve(
                    Rc::clone(&executor),
                    Rc::clone(&fleet),
                    path,
                    PeerLimits::default(),
                );
                let heard = async move {
                    if let Err(what) = heard.await {
                        tracing::error!("the operator is not heard: {what:#}");
                    }
                };
                executor.spawn(heard).detach();
            }
            Some(fleet)
        }
        None => None,
    };
    let router = Rc::new(Router {
        fleet,
        executor: Rc::clone(&executor),
        limits,
        asked,
        links,
        external,
        classes: deployment.classes,
        locations: deployment.locations,
        kinds: deployment.kinds,
        engine,
        ids,
        caches: Caches::new(limits),
        budget: Budget::new(limits.buffered),
        clients: Connections::default(),
        unwritten: Rc::default(),
        no_room: Seldom::default(),
        unreadable: Seldom::default(),
        told: RefCell::new(Place { seq: deployment.known_seq, ..Place::default() }),
        stopping: Cell::new(None),
    });
    if let Some(fleet) = router.fleet.clone() {
        router.caches.ask_before_connects(move |id| fleet.may_connect(id));
    }
    deployment.known.into_iter().for_each(|event| feed::heed(&router, event));
    // Told to end while it waits for its address, it has nothing to end in order.
    let told_to_end = async {
        ends.next().await;
        None
    };
    let listening = async { Some(accept::listen(listen, &limits).await) };
    let Some(listener) = future::or(told_to_end, listening).await.transpose()? else { return Ok(()) };
    let bound = listener.get_ref().local_addr().context("listen")?;
    let feed = executor.spawn(feed::follow(Rc::clone(&router), deployment.discovery));
    let followed = (deployment.discovery, feed);
    executor.spawn(reload(Rc::clone(&router), hangups, path, deployment.fixed, followed)).detach();
    let accepting = executor.spawn(accept::accept(Rc::clone(&router), Rc::clone(&listener)));
    let bind = |key: &str, listen: SocketAddr| -> Result<Async<TcpListener>> {
        let bound = Async::<TcpListener>::bind(listen).with_context(|| format!("{key}.listen: {listen}"))?;
        let bound_to = bound.get_ref().local_addr().context("listen")?;
        tracing::info!(front = key, at = %bound_to, "listening");
        Ok(bound)
    };
    if let Some(front) = fronts.external_processing {
        let listener = bind("external_processing", front.listen)?;
        let names = Rc::new(front.headers);
        let talk = move |router, stream| processor::converse(router, stream, Rc::clone(&names));
        executor.spawn(callers::accept(Rc::clone(&router), listener, talk)).detach();
    }
    if let Some(front) = fronts.call {
        let listener = bind("call", front.listen)?;
        let names = Rc::new(front.headers);
        let talk = move |router, stream| subrequests::converse(router, stream, Rc::clone(&names));
        executor.spawn(callers::accept(Rc::clone(&router), listener, talk)).detach();
    }
    let timed = Rc::clone(&router);
    executor.spawn(async move { timed.engine.run_timers().await }).detach();
    let timed = Rc::clone(&router);
    executor.spawn(async move { timed.external.keep_time().await }).detach();
    let swept = Rc::clone(&router);
    let sweep = async move {
        loop {
            Timer::after(swept.limits.sweep).await;
            swept.caches.sweep();
        }
    };
    executor.spawn(sweep).detach();
    tracing::info!(name, %bound, "ready");
    while ends.next().await.is_some_and(|signal| signal.is_err()) {}
    stop(&router, (accepting, listener)).await;
    Ok(())
}

/// Reads the configuration again at each SIGHUP, also while the router stops. Only the change stream moves; what
/// can't be used changes nothing.
async fn reload(
    router: Rc<Router>,
    mut hangups: Signals,
    path: OsString,
    fixed: Fixed,
    (mut address, mut feed): (SocketAddr, Task<Infallible>),
) {
    while hangups.next().await.is_some() {
        if let Some(Err(what)) = router.links.as_ref().map(Links::reload) {
            tracing::error!("keys not read again, the old ones stay: {what:#}");
        }
        let deployment = match read_configuration(&path) {
            Ok(deployment) => deployment,
            Err(what) => {
                tracing::error!("not reloaded, the old configuration stays: {what:#}");
                continue;
            }
        };
        for key in fixed.differ(&deployment.fixed) {
            tracing::warn!(key, "changed in the configuration, and heeded only at the next start");
        }
        tracing::info!(discovery = %deployment.discovery, seq = router.told.borrow().seq, "reloaded");
        if mem::replace(&mut address, deployment.discovery) != deployment.discovery {
            // The old connection may live on and tell nothing more, or be a connect that hangs: it is dropped
            // as it is. What is known stands in the router.
            drop(mem::replace(&mut feed, router.executor.spawn(feed::follow(Rc::clone(&router), address))));
        }
    }
}

/// Answers what still comes, and ends once nothing is open and no more can come; but in time before it is
/// killed.
async fn stop(router: &Rc<Router>, (accepting, listener): (Task<Infallible>, Rc<Async<TcpListener>>)) {
    let told = Instant::now();
    let end = told + router.limits.stop;
    router.stopping.set(Some(end));
    if let Some(fleet) = &router.fleet {
        // Its name leaves the list only once it takes no more requests: until then it is waited for.
        tracing::info!(generation = fleet.status().0.generation, "leaving the fleet");
    }
    tracing::info!(requests = router.engine.open_requests(), "stopping");
    let look_again = || Timer::after(router.limits.look_again);
    let busy = || router.engine.open_requests() > 0 || router.unwritten.get() > 0;
    while told.elapsed() < router.limits.last_calls || busy() && Instant::now() < end {
        look_again().await;
    }
    // Nobody comes any more. What did come is still taken, and each connection is closed once nothing is owed on it.
    accepting.cancel().await;
    while !(accept::accept_rest(router, &listener) & router.clients.close_idle()) && Instant::now() < end {
        look_again().await;
    }
    drop(listener);
    // Whoever waits longer than that is told so: a connection that just ends would lose the request.
    router.engine.abandon_all();
    router.clients.close_all();
    let farewell = Instant::now();
    while (busy() || !router.clients.is_empty()) && farewell.elapsed() < router.limits.farewell {
        look_again().await;
    }
    if let Some(fleet) = &router.fleet {
        fleet.tell(|node, now| node.leave(now));
        look_again().await;
    }
    tracing::info!(calls = ?router.external.figures(), "stopped");
}
