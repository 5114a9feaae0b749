//! All decisions of the router: where a request goes, where its fill comes from, when it is given up.
//!
//! A caller builds one [`RoutingEngine`] with a [`Host`], the facts of its deployment, a seed and the time. When
//! something happens it sets the [`clock`](RoutingEngine::clock) and calls the method named for it, like
//! [`request`](RoutingEngine::request). The control acts by calling the host: trait and types are in [`crate::host`].

mod attempts;
mod endpoints;
mod hashing;
mod load;
mod outliers;
mod purges;
mod requests;
mod retries;
mod routing;
mod samples;
mod slow_start;
mod timers;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::host::{
    AttemptStatus, Authorization, EndpointId, EndpointState, EndpointUpdate, FillDirectives, Host,
    ListUpdateKind, Outcome, OutcomeDetail, QuotaCharge, RequestMeta, RequestSlot,
};
use crate::settings::{ClassSettings, Idempotency, Ramp, RetryScope, Settings};
use crate::time::{Moment, Span};

use endpoints::{Member, Tier};
use hashing::{mix, unit};
use load::Load;
use requests::{Attempt, Filling, Held};
use retries::ERROR;
use samples::Samples;
use slow_start::FillCharge;

/// The decisions of one router.
pub struct RoutingEngine<H: Host> {
    host: H,
    settings: Arc<Settings>,
    now: Moment,
    /// How long samples of lateness count, ever less: the longest that a client waits, and again.
    memory: Span,
    chance: Pcg64Mcg,
    /// By request class, hits of caches that had little else in hand: what sending takes by itself.
    easy: Vec<Samples<Span, 64>>,
    members: Vec<Member>,
    /// Which of them are of each tier.
    tiers: [Vec<EndpointId>; 4],
    requests: Vec<Option<Held>>,
    serial: u64,
    purges: HashMap<(bool, u64), Moment>,
    /// When purges were last forgotten.
    swept: Moment,
    /// When, for which request's serial and number; serial 0 asks for the list again.
    alarms: BinaryHeap<Reverse<(Moment, u64, RequestSlot)>>,
    next_wake: Option<Moment>,
    /// When warm caches of the location served which request class, and when warm parents gave a fill.
    served: Samples<(Moment, u16), 256>,
    fills: Samples<(Moment, u16), 128>,
    /// First tries that came in.
    asked: Samples<(Moment, u16), 128>,
    sends: Samples<bool, 64>,
    /// The last hits of any cache of the location.
    hits: Samples<Load, 40>,
    /// The last fills from what a source held, and by way of the origin.
    fill_loads: [Samples<Load, 40>; 2],
    /// Answers of what fills as it comes: by hit (0), source (1) or origin (2), and their time.
    filled: Samples<(usize, Span), 64>,
    /// How many attempts are out, by their filling.
    filling: [f64; 4],
}

impl<H: Host> RoutingEngine<H> {
    /// An engine that knows nothing but its settings.
    pub fn start(host: H, settings: Settings, seed: u64, now: Moment) -> Self {
        let mut control = Self {
            host,
            settings: Arc::new(Settings::default()),
            now,
            memory: Span::ZERO,
            chance: Pcg64Mcg::seed_from_u64(seed),
            easy: Vec::new(),
            members: Vec::new(),
            tiers: Default::default(),
            requests: Vec::new(),
            serial: 0,
            purges: HashMap::new(),
            swept: now,
            alarms: BinaryHeap::new(),
            next_wake: None,
            served: Default::default(),
            fills: Default::default(),
            asked: Default::default(),
            sends: Default::default(),
            hits: Default::default(),
            fill_loads: Default::default(),
            filled: Default::default(),
            filling: [0.0; 4],
        };
        control.apply_settings(settings);
        if control.settings.topology.discovery_on_request {
            control.host.watch_endpoints();
        }
        control
    }

    /// Decides new requests by these settings from now on.
    pub fn apply_settings(&mut self, settings: Settings) {
        self.memory = settings.longest_deadline() * 2.0;
        self.easy.resize_with(settings.classes.len(), Default::default);
        self.settings = Arc::new(settings);
    }

    fn class(&self, class: u16) -> &ClassSettings {
        &self.settings.classes[usize::from(class)]
    }

    /// What the control acts through.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// The time of all that is called next.
    pub fn set_time(&mut self, now: Moment) {
        self.now = now;
    }
}
