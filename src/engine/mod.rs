//! The routing engine: all decisions about where a request is sent, where a miss is filled from, and when a
//! request is given up.
//!
//! A caller builds one [`RoutingEngine`] with a [`Host`], the settings of its deployment, a seed and the
//! time. When something happens it sets the time with [`set_time`](RoutingEngine::set_time) and calls the
//! method named for the event, like [`request_received`](RoutingEngine::request_received). The engine acts by
//! calling its host; trait and types are in [`crate::host`]. It does no I/O and reads no clock: the same
//! calls give the same decisions.

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

/// How many attempts of all requests tell the share of retries.
const RECENT_ATTEMPTS: usize = 64;

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
    /// Of the last attempts of all requests, whether they were retries.
    recent_attempts: Samples<bool, RECENT_ATTEMPTS>,
    purges: Purges,
    timers: Timers,
}

impl<H: Host> RoutingEngine<H> {
    /// An engine that knows its settings and no endpoint yet.
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

    /// Applies these settings to requests that are received from now on.
    pub fn apply_settings(&mut self, settings: Settings) {
        self.load.configure(settings.classes.len(), settings.longest_deadline());
        self.settings = Arc::new(settings);
    }

    /// The host that the engine acts through.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// Sets the time of all events that follow.
    pub fn set_time(&mut self, now: Moment) {
        self.now = now;
    }

    fn class(&self, class: u16) -> &ClassSettings {
        &self.settings.classes[usize::from(class)]
    }
}
