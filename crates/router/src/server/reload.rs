//! Reloads the configuration and the keys of signed URLs on SIGHUP.

use std::convert::Infallible;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::Task;
use async_signal::Signals;
use futures_lite::StreamExt;

use super::files::load_configuration;
use crate::configuration::FixedSettings;
use crate::discovery::watch;
use crate::signed_urls::SignedUrls;
use crate::state::RouterState;

/// Applies a changed configuration. Only the address of the change stream takes effect without a restart.
pub struct Reloader {
    state: Rc<RouterState>,
    path: OsString,
    discovery: SocketAddr,
    watch_task: Task<Infallible>,
    fixed: FixedSettings,
}

impl Reloader {
    /// Creates a reloader and starts the discovery watch of the change stream at `discovery`.
    pub fn start(
        state: Rc<RouterState>,
        path: OsString,
        discovery: SocketAddr,
        fixed: FixedSettings,
    ) -> Self {
        let watch_task = state.executor.spawn(watch(Rc::clone(&state), discovery));
        Self { state, path, discovery, watch_task, fixed }
    }

    /// Reloads on each signal, including during a shutdown.
    pub async fn run(mut self, mut signals: Signals) {
        while signals.next().await.is_some() {
            self.reload();
        }
    }

    /// Reloads the keys and the configuration. An invalid file changes nothing.
    fn reload(&mut self) {
        if let Some(Err(error)) = self.state.signed_urls.as_ref().map(SignedUrls::reload_keys) {
            tracing::error!("keys not read again, the old ones stay in effect: {error:#}");
        }
        let configuration = match load_configuration(&self.path) {
            Ok(configuration) => configuration,
            Err(error) => {
                tracing::error!("configuration not reloaded, the old one stays in effect: {error:#}");
                return;
            }
        };
        for key in self.fixed.changed_keys(&configuration.fixed) {
            tracing::warn!(key, "changed setting takes effect at the next start");
        }
        let sequence = self.state.watch_position.borrow().sequence;
        tracing::info!(discovery = %configuration.discovery, sequence, "configuration reloaded");
        if self.discovery != configuration.discovery {
            self.discovery = configuration.discovery;
            self.restart_watch();
        }
    }

    /// Replaces the watch. The old watch is dropped without waiting for its connection, which may be silent
    /// or not established yet.
    fn restart_watch(&mut self) {
        let watch = watch(Rc::clone(&self.state), self.discovery);
        self.watch_task = self.state.executor.spawn(watch);
    }
}
