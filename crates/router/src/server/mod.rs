//! The router process: starts the router's parts, reloads its configuration, and shuts it down.

mod files;
mod reload;
mod shutdown;
mod signals;
mod startup;

use std::rc::Rc;

use anyhow::{Context, Result};
use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};

use crate::connections::listener_names;
use crate::downstream::ClientHandler;
use crate::operator::command_line::Files;
use crate::signed_urls::SignedUrls;
use files::{LoadedFiles, load_files};
use reload::Reloader;
use shutdown::Shutdown;

/// Loads the files and serves until SIGTERM or SIGINT.
pub fn start(files: Files) -> Result<()> {
    let loaded = load_files(&files)?;
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(Rc::clone(&executor), files, loaded)))
}

/// Validates everything that a start would read, including the keys of signed URLs.
pub fn check(files: &Files) -> Result<()> {
    let LoadedFiles { configuration, fronts } = load_files(files)?;
    if let Some(settings) = fronts.signed_urls {
        SignedUrls::start(settings, &configuration.classes, 0).context("fronts")?;
    }
    if let Some(fleet) = fronts.fleet {
        fleet.timings().context("fronts")?;
    }
    Ok(())
}

async fn run(executor: Rc<LocalExecutor<'static>>, files: Files, loaded: LoadedFiles) -> Result<()> {
    // Must come first: a signal without a subscription terminates the process.
    let reload_signals = signals::subscribe(&[Signal::Hup]).context("signals")?;
    let mut stop_signals = signals::subscribe(&[Signal::Term, Signal::Int]).context("signals")?;
    let LoadedFiles { mut configuration, mut fronts } = loaded;
    let state = startup::create_state(&executor, &mut configuration, &mut fronts)?;
    let bind = async { Some(crate::downstream::bind(configuration.listen, &state.limits).await) };
    // If a stop signal arrives while the router waits for its address, there is nothing to shut down.
    let Some(socket) = future::or(wait_for_signal(&mut stop_signals), bind).await else { return Ok(()) };
    let socket = socket.with_context(|| format!("listen: {}", configuration.listen))?;
    let bound = socket.get_ref().local_addr().context("listen")?;
    let reloader = Reloader::start(
        Rc::clone(&state),
        files.configuration().unwrap_or_default(),
        configuration.discovery,
        configuration.fixed,
    );
    executor.spawn(reloader.run(reload_signals)).detach();
    let clients = startup::start_listener(
        &state,
        listener_names::CLIENTS,
        ClientHandler::new(Rc::clone(&state)),
        socket,
        state.limits.client.connections,
    );
    let mut listeners = vec![clients];
    listeners.extend(startup::listen_for_proxies(&state, fronts)?);
    startup::spawn_timers(&state);
    tracing::info!(name = configuration.name, %bound, "ready");
    while stop_signals.next().await.is_some_and(|signal| signal.is_err()) {}
    Shutdown { state: &state }.run(listeners).await;
    Ok(())
}

/// Waits for the first signal, then returns `None`.
async fn wait_for_signal<T>(signals: &mut Signals) -> Option<T> {
    signals.next().await;
    None
}
