//! The routing engine: decides where a request is sent, where a miss is filled from, and when a request is
//! given up.
//!
//! A caller builds one [`RoutingEngine`] from a [`Host`], the settings of its deployment, a seed and the
//! current time. For each event, the caller sets the time with [`set_time`](RoutingEngine::set_time) and
//! calls the method named after the event, such as [`request_received`](RoutingEngine::request_received).
//! The engine acts by calling its host; the trait and its types are in [`crate::host`]. The engine does no
//! I/O and reads no clock, so the same sequence of calls gives the same decisions.

mod attempts;
mod congestion;
mod endpoints;
mod hashing;
mod load;
mod outcomes;
mod outliers;
mod purges;
mod requests;
mod retries;
mod routing;
mod samples;
mod slow_start;
mod timeouts;
mod timers;

use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::host::Host;
use crate::settings::{ClassSettings, Settings};
use crate::time::Moment;

use endpoints::EndpointTable;
use load::LoadStatistics;
use purges::Purges;
use requests::RequestTable;
use samples::Samples;
use slow_start::Throughput;
use timers::Timers;

/// The number of most recent attempts, of all requests, among which retries are counted.
const RECENT_ATTEMPT_WINDOW: usize = 64;

/// Makes the decisions of one router.
pub struct RoutingEngine<H: Host> {
    host: H,
    settings: Arc<Settings>,
    now: Moment,
    rng: Pcg64Mcg,
    endpoints: EndpointTable,
    requests: RequestTable,
    load: LoadStatistics,
    throughput: Throughput,
    /// For each of the most recent attempts of all requests, whether it was a retry.
    recent_attempts: Samples<bool, RECENT_ATTEMPT_WINDOW>,
    purges: Purges,
    timers: Timers,
}

impl<H: Host> RoutingEngine<H> {
    /// Returns an engine with these settings and an empty endpoint list.
    pub fn start(host: H, settings: Settings, seed: u64, now: Moment) -> Self {
        let mut engine = Self {
            host,
            settings: Arc::default(),
            now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            endpoints: EndpointTable::default(),
            requests: RequestTable::default(),
            load: LoadStatistics::default(),
            throughput: Throughput::default(),
            recent_attempts: Samples::default(),
            purges: Purges::new(now),
            timers: Timers::default(),
        };
        engine.apply_settings(settings);
        if engine.settings.topology.discovery_on_request {
            engine.host.watch_endpoints();
        }
        engine
    }

    /// Applies new settings. Requests in flight keep their settings unless
    /// [`follows_new_settings`](crate::settings::AttemptSettings::follows_new_settings) is set.
    pub fn apply_settings(&mut self, settings: Settings) {
        self.load.configure(settings.classes.len(), settings.longest_deadline());
        self.settings = Arc::new(settings);
    }

    /// Returns the host that the engine calls.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// Sets the current time, which applies to all following events.
    pub fn set_time(&mut self, now: Moment) {
        self.now = now;
    }

    fn class(&self, class: u16) -> &ClassSettings {
        &self.settings.classes[usize::from(class)]
    }
}
