//! tindoor on sockets: starts the router, and ends it when it is told to.

mod caches;
mod clients;
mod configuration;
mod desk;
mod feed;
mod limits;
mod view;

use std::cell::Cell;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

use anyhow::{Context, Result};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use caches::{Budget, Caches};
use configuration::{Deployment, Offering};
use desk::Decisions;
use limits::{Limits, Seldom};

/// What every task of the router shares.
pub struct Router {
    executor: Rc<LocalExecutor<'static>>,
    limits: Limits,
    offerings: Vec<Offering>,
    locations: Vec<String>,
    kinds: Vec<String>,
    decisions: Decisions,
    caches: Caches,
    budget: Rc<Budget>,
    /// Answers that wait to be written.
    unwritten: Rc<Cell<usize>>,
    /// Views that could not be taken, and calls that could not be read.
    no_room: Seldom,
    unreadable: Seldom,
    /// SIGTERM came.
    stopping: Cell<bool>,
}

fn main() -> ExitCode {
    let level = std::env::var("TINDOOR_LOG").ok().and_then(|level| level.parse().ok());
    let level = level.unwrap_or(tracing::level_filters::LevelFilter::INFO);
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_max_level(level).init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            tracing::error!("{what:#}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<()> {
    let path = std::env::args_os().nth(1).or_else(|| std::env::var_os("PROXY_CONFIG"));
    let path = path.context("no configuration: name its file as argument or in PROXY_CONFIG")?;
    let text = std::fs::read(&path).with_context(|| format!("configuration {}", path.display()))?;
    let deployment = configuration::read(&text).context("configuration")?;
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(Rc::clone(&executor), deployment)))
}

async fn run(executor: Rc<LocalExecutor<'static>>, deployment: Deployment) -> Result<()> {
    let Deployment { name, listen, seed, limits, .. } = deployment;
    // For pauses between connections only; the module draws from a seed of its own.
    fastrand::seed(seed);
    let decisions =
        Decisions::start(deployment.facts, seed).map_err(|fact| anyhow::anyhow!("settings: {fact}"))?;
    let router = Rc::new(Router {
        executor: Rc::clone(&executor),
        limits,
        offerings: deployment.offerings,
        locations: deployment.locations,
        kinds: deployment.kinds,
        decisions,
        caches: Caches::new(limits),
        budget: Budget::new(limits.buffered),
        unwritten: Rc::default(),
        no_room: Seldom::default(),
        unreadable: Seldom::default(),
        stopping: Cell::new(false),
    });
    deployment.known.into_iter().for_each(|event| feed::heed(&router, event));
    let mut signals = Signals::new([Signal::Term, Signal::Int]).context("signals")?;
    let listener = Async::<TcpListener>::bind(listen).with_context(|| format!("listen: {listen}"))?;
    let bound = listener.get_ref().local_addr().context("listen")?;
    let place = feed::Place { seq: deployment.known_seq, unread: 0, gap: None };
    executor.spawn(feed::follow(Rc::clone(&router), deployment.changelog, place)).detach();
    executor.spawn(clients::accept(Rc::clone(&router), listener)).detach();
    let timed = Rc::clone(&router);
    executor.spawn(async move { timed.decisions.keep_time().await }).detach();
    let swept = Rc::clone(&router);
    let sweep = async move {
        loop {
            Timer::after(swept.limits.sweep).await;
            swept.caches.sweep();
        }
    };
    executor.spawn(sweep).detach();
    tracing::info!(name, %bound, "ready");
    while signals.next().await.is_some_and(|signal| signal.is_err()) {}
    stop(&router).await;
    Ok(())
}

/// Answers what still comes, and ends once nothing is open and no more can come.
async fn stop(router: &Router) {
    router.stopping.set(true);
    let told = Instant::now();
    tracing::info!(views = router.decisions.open_views(), "stopping");
    while told.elapsed() < router.limits.last_calls
        || router.decisions.open_views() > 0
        || router.unwritten.get() > 0
    {
        Timer::after(router.limits.look_again).await;
    }
    tracing::info!("stopped");
}
