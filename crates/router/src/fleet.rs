//! This router's part in its fleet: its node with the clock, the folder, the peers and the decisions that it acts
//! on. What is decided here is decided by the node.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow, ensure};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use rustix::time::{ClockId, clock_gettime};
use serde::Deserialize;
use tindoor::host::{Outcome, QuotaCharge};
use tindoor::settings::Settings;
use tindoor::time::{Moment, Span};
use tindoor_consensus::{
    Action, Guards, Limits as Much, LocalIdentity, Node, Objection, Status, StorageWrite,
};
use tindoor_membership::{Incarnation, Timings};
use tindoor_policy::budgets::{self, Budget};
use tindoor_policy::{Count, Policy, Transition, Version, keys};
use tindoor_quota::{BudgetKey, Quota, RetryBudget};
use tindoor_request_runtime::{AdmissionGate, FillCharge};

use crate::configuration::limits::PeerLimits;
use crate::folder::Folder;
use crate::peers::Peers;

/// What our own file says of a fleet. Its terms must be told alike to all its routers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Told {
    /// The fleet's name.
    pub name: String,
    pub listen: SocketAddr,
    /// Where peers reach it, if not where it listens.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Routers to ask first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether it may be a voter.
    #[serde(default)]
    pub votes: bool,
    /// Where a voter's log lasts; without one, a restart is a new voter.
    #[serde(default)]
    pub folder: Option<PathBuf>,
    /// Where its operator asks and proposes.
    #[serde(default)]
    pub operator: Option<PathBuf>,
    #[serde(default = "three")]
    pub voters: usize,
    #[serde(default = "of::<2_000>")]
    pub lease_ms: u64,
    #[serde(default = "of::<600_000>")]
    pub hold_out_ms: u64,
    #[serde(default = "of::<50>")]
    pub clock_bound_ms: u64,
    #[serde(default = "of::<250>")]
    pub beat_ms: u64,
    #[serde(default = "of::<200>")]
    pub drift_ppm: u64,
    /// How long a change is on probation.
    #[serde(default = "of::<30_000>")]
    pub probation_ms: u64,
    /// By how much this router counts where budgets are divided.
    #[serde(default = "of::<1>")]
    pub weight: u64,
}

fn three() -> usize {
    3
}

fn of<const NUMBER: u64>() -> u64 {
    NUMBER
}

impl Told {
    pub fn terms(&self) -> Result<Timings> {
        let terms = Timings {
            lease: Span::millis(self.lease_ms),
            hold_out: Span::millis(self.hold_out_ms),
            bound: Span::millis(self.clock_bound_ms),
            beat: Span::millis(self.beat_ms),
            drift_ppm: self.drift_ppm,
        };
        ensure!(
            self.lease_ms <= 3_600_000 && self.hold_out_ms <= 86_400_000,
            "fleet.hold_out_ms: over a day"
        );
        ensure!(self.probation_ms <= 3_600_000, "fleet.probation_ms: over an hour");
        ensure!((1..=1000).contains(&self.weight), "fleet.weight: {} is not from 1 to 1000", self.weight);
        ensure!((1..=7).contains(&self.voters), "fleet.voters: {} is not from 1 to 7", self.voters);
        ensure!(
            !self.name.is_empty() && !self.name.contains(char::is_whitespace),
            "fleet.name: not one word"
        );
        ensure!(self.votes || self.folder.is_none(), "fleet.folder: of no use without `votes`");
        terms.check().map_err(|what| anyhow!("fleet.{what}"))?;
        Ok(terms)
    }
}

/// The clock that counts on while the machine sleeps, held against the one that does not: where the two part, what
/// was reckoned by them is of no use.
struct Clock {
    last: Cell<(Instant, u64)>,
    begun: (Instant, u64),
    fault: Option<ClockFault>,
}

/// For experiments, in a build for tests only: this clock runs so much faster, and jumps so far after so long.
#[derive(Clone, Copy)]
struct ClockFault {
    rate: f64,
    jump: (u64, i64),
}

impl Clock {
    fn new() -> Self {
        let begun = (Instant::now(), boot_micros());
        Self { last: Cell::new(begun), begun, fault: ClockFault::named() }
    }

    fn read(&self) -> (Instant, u64) {
        let (mono, boot) = (Instant::now(), boot_micros());
        let Some(fault) = self.fault else { return (mono, boot) };
        let gone = boot - self.begun.1;
        let jump = if gone > fault.jump.0 { fault.jump.1 } else { 0 };
        let reads = self.begun.1 as i64 + (gone as f64 * fault.rate) as i64 + jump;
        (mono, reads.max(0) as u64)
    }

    /// The time, and whether the clock has jumped since it was last read.
    fn now(&self) -> (Moment, bool) {
        let (mono, boot) = self.read();
        let (last_mono, last_boot) = self.last.replace((mono, boot));
        let by_mono = (mono - last_mono).as_micros() as i64;
        let by_boot = boot as i64 - last_boot as i64;
        let apart = (by_boot - by_mono).unsigned_abs();
        (Moment::at_micros(boot), apart > 10_000 + by_mono.unsigned_abs() / 100)
    }
}

impl ClockFault {
    fn named() -> Option<Self> {
        let named = std::env::var("TINDOOR_CLOCK").ok().filter(|_| cfg!(debug_assertions))?;
        let mut parts = named.split(':');
        let rate = parts.next()?.parse().ok()?;
        let (after, by): (u64, i64) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
        tracing::warn!(rate, after, by, "the clock is made to be off for an experiment");
        Some(Self { rate, jump: (after * 1000, by * 1000) })
    }
}

fn boot_micros() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}

/// One router of a fleet.
pub struct Fleet {
    node: RefCell<Node>,
    clock: Clock,
    peers: Rc<Peers>,
    writes: async_channel::Sender<StorageWrite>,
    /// What this router was started with, and its request classes by name.
    settings: Settings,
    classes: Vec<String>,
    /// The generation that the routing engine goes by.
    adopted: Cell<u64>,
    /// In-time goals of that generation and the one before it, by request class.
    goals: RefCell<Vec<(u64, Vec<Duration>)>>,
    pause: Span,
    /// Requests in hand, how many there may be as the policy says, and as this router was started with.
    in_hand: Box<dyn Fn() -> usize>,
    most_in_hand: Cell<usize>,
    open_requests: usize,
    pinned: bool,
    place: budgets::BudgetScope,
    /// How many further attempts the requests allow that were done.
    further: Cell<Option<RetryBudget>>,
}

/// What a fleet is started with beside what it is told.
pub struct Place {
    pub name: String,
    pub location: u16,
    pub settings: Settings,
    pub classes: Vec<String>,
    pub limits: PeerLimits,
    pub open_requests: usize,
    pub in_hand: Box<dyn Fn() -> usize>,
    pub pause: Span,
}

impl Fleet {
    pub fn start(executor: &Rc<LocalExecutor<'static>>, told: &Told, place: Place) -> Result<Rc<Self>> {
        let terms = told.terms()?;
        let (guards, by_name, unsynced, pinned) = guards()?;
        // Every start is a router of its own: drawn from the system, as a seed may come again.
        let mut start = getrandom::u64().context("a number for this start")?;
        let mut replica_id = start;
        if by_name {
            // Without its guard, a start is taken for the one before it.
            (start, replica_id) = (named(&place.name), named(&place.name));
        }
        let mut after = None;
        let mut kept = None;
        let mut folder = None;
        if let Some(path) = told.folder.as_ref().filter(|_| told.votes) {
            let (open, found) = Folder::open(path, replica_id, start).context("fleet.folder")?;
            (replica_id, after, kept) = (found.replica_id, found.before.map(Incarnation), found.kept);
            folder = Some(Arc::new(open));
        }
        let listener = Async::<TcpListener>::bind(told.listen)
            .with_context(|| format!("fleet.listen: {}", told.listen))?;
        let bound = listener.get_ref().local_addr().context("fleet.listen")?;
        let own = LocalIdentity {
            start: Incarnation(start),
            name: place.name.clone(),
            address: told.address.unwrap_or(bound).to_string(),
            location: place.location,
            replica_id: told.votes.then_some(replica_id),
            after: after.filter(|_| !by_name),
        };
        tracing::info!(front = "fleet", at = %bound, start = %own.start, replica_id = own.replica_id, "listening");
        let clock = Clock::new();
        let mut limits = Much { voters: told.voters, weight: told.weight, ..Much::default() };
        limits.probation.lasts = Span::millis(told.probation_ms);
        let seeds = told.seeds.iter().map(SocketAddr::to_string).collect();
        let seed = getrandom::u64().context("a seed")?;
        let now = clock.now().0;
        let node = Node::start(&told.name, own, terms, limits, guards, seeds, kept, seed, now);
        let node = node.map_err(|what| anyhow!("fleet: {what}"))?;
        let every = Duration::from_micros(node.tick_every().as_micros());
        let peers = Peers::new(Rc::clone(executor), place.limits, &told.name, &place.name);
        let (writes, waiting) = async_channel::unbounded();
        let fleet = Rc::new(Self {
            node: RefCell::new(node),
            clock,
            peers: Rc::clone(&peers),
            writes,
            place: budgets::BudgetScope::new(
                u64::from(place.location),
                &place.classes,
                place.settings.topology.fill_details_reported,
            ),
            further: Cell::new(None),
            settings: place.settings,
            classes: place.classes,
            adopted: Cell::new(0),
            goals: RefCell::default(),
            pause: place.pause,
            in_hand: place.in_hand,
            most_in_hand: Cell::new(place.open_requests),
            open_requests: place.open_requests,
            pinned,
        });
        fleet.tell(|_, _| ());
        let heard = Rc::clone(&fleet);
        let accept = peers.accept(listener, move |frame| heard.tell(|node, now| node.heard(now, frame)));
        executor.spawn(accept).detach();
        let ticked = Rc::clone(&fleet);
        let tick = async move {
            loop {
                Timer::after(every).await;
                ticked.tell(|node, now| node.tick(now));
            }
        };
        executor.spawn(tick).detach();
        let written = Rc::clone(&fleet);
        executor.spawn(async move { written.write_all(waiting, folder, unsynced).await }).detach();
        Ok(fleet)
    }

    /// Tells the node what happened, at the time that it is now, and carries out what it wants. Nothing is
    /// awaited inside.
    pub fn tell<T>(&self, what: impl FnOnce(&mut Node, Moment) -> T) -> T {
        let _whole = Whole;
        let (told, mut wants) = {
            let mut node = self.node.borrow_mut();
            let (now, jumped) = self.clock.now();
            if jumped {
                tracing::warn!("the clock has jumped: all that was reckoned by it is found out anew");
                node.jumped(now);
            }
            let told = what(&mut node, now);
            (told, node.take_out())
        };
        while !wants.is_empty() {
            for out in std::mem::take(&mut wants) {
                match out {
                    Action::Send { to, frame } => self.peers.send(&to, &frame),
                    Action::StorageWrite(write) => drop(self.writes.try_send(write)),
                    Action::Check(version) => {
                        let objection = self.objection(&version);
                        match &objection {
                            Some(Objection { why, lasts: true }) => {
                                tracing::error!(
                                    generation = version.generation,
                                    why,
                                    "can't go by that policy"
                                );
                            }
                            Some(Objection { why, .. }) => {
                                tracing::warn!(
                                    generation = version.generation,
                                    why,
                                    "speaks against that policy"
                                );
                            }
                            None => {}
                        }
                        let mut node = self.node.borrow_mut();
                        node.answer(self.clock.now().0, version.generation, objection);
                        wants.extend(node.take_out());
                    }
                    Action::Transition(step) => log(&step),
                    Action::Leads(Some(term)) => tracing::info!(term, "fleet: leads the voters"),
                    Action::Leads(None) => tracing::info!("fleet: no longer leads the voters"),
                }
            }
        }
        told
    }

    /// Why this router could not go by that policy.
    fn objection(&self, version: &Version) -> Option<Objection> {
        let own = keys::from_settings(&self.settings, &self.classes);
        if let Err(why) = keys::check_change(&own, &version.policy, &self.classes) {
            return Some(Objection { why, lasts: true });
        }
        let too_few = {
            let node = self.node.borrow();
            let old = node.in_force().map(|old| &*old.policy);
            budgets::too_few(old, &version.policy, node.possible() as u64)
        };
        let in_hand = (self.in_hand)();
        let most = version.policy.0.get("limit.open_views").copied();
        let below = most.filter(|most| (in_hand as f64) > *most);
        let below = below.map(|most| format!("limit.open_views: {most} is below the {in_hand} in hand"));
        too_few.or(below).map(|why| Objection { why, lasts: false })
    }

    /// The policy that a fleet founded here begins with: what this router was started with.
    pub fn first_policy(&self) -> Policy {
        keys::from_settings(&self.settings, &self.classes)
    }

    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    pub fn status(&self) -> (Status, [u64; 2]) {
        (self.tell(|node, now| node.status(now)), self.peers.sent.get())
    }

    /// Whether requests are taken now.
    pub fn is_good(&self) -> bool {
        self.tell(|node, now| node.version(now).is_ok())
    }

    /// Writes what the voter wants written, one after the other, on a thread that may wait for the disk.
    async fn write_all(
        &self,
        waiting: async_channel::Receiver<StorageWrite>,
        folder: Option<Arc<Folder>>,
        unsynced: bool,
    ) {
        while let Ok(write) = waiting.recv().await {
            let number = write.number;
            if let Some(folder) = folder.as_ref().filter(|_| !unsynced || number == 0) {
                let folder = Arc::clone(folder);
                if let Err(what) = blocking::unblock(move || folder.write(&write)).await {
                    // What was not written must not be told to have been: it votes no more.
                    tracing::error!(%what, "the folder can't be written: this voter stands still from now on");
                    return;
                }
            }
            self.tell(|node, now| node.wrote(now, number));
        }
    }

    /// The settings of the routing engine under that version.
    fn adopt(&self, version: &Version) -> Option<Settings> {
        let mut settings = keys::apply_to_settings(&version.policy, &self.settings, &self.classes).ok()?;
        if !self.pinned {
            settings.attempts.settings_unpinned = true;
        }
        let goal = |name: &String| {
            let ms = version.policy.0.get(&format!("offering.{name}.latency_goal_ms"));
            Duration::from_micros((ms.copied().unwrap_or_default() * 1000.0) as u64)
        };
        let mut goals = self.goals.borrow_mut();
        goals.push((version.generation, self.classes.iter().map(goal).collect()));
        // Requests in hand may be of a few generations back; what is older is not counted.
        if goals.len() > 8 {
            goals.remove(0);
        }
        // Where it says nothing of it any more, as after an undo, the own bound is all there is.
        let most = version.policy.0.get("limit.open_views").map_or(self.open_requests, |most| *most as usize);
        self.most_in_hand.set(most);
        let known = self.further.get();
        let further = budgets::per_success(&version.policy);
        self.further.set(further.map(|each| known.map_or(RetryBudget::new(each), |known| known.by(each))));
        self.adopted.set(version.generation);
        Some(settings)
    }

    /// Looks at what this router may spend, at the time that it is now.
    fn shares<T>(&self, what: impl FnOnce(&mut tindoor_quota::Participant, Moment) -> T) -> T {
        let _whole = Whole;
        let mut node = self.node.borrow_mut();
        let (now, jumped) = self.clock.now();
        if jumped {
            node.jumped(now);
        }
        what(node.shares(), now)
    }

    /// Whether a new connection to that cache may be made.
    pub fn may_connect(&self, id: &str) -> bool {
        self.shares(|participant, now| participant.spend(now, &[Budget::Connections.of(budgets::number(id))]))
    }

    /// Each line that is known here: what this router may spend of it, and the fleet.
    pub fn lines(&self) -> Vec<(BudgetKey, Quota, Quota)> {
        self.shares(|participant, now| participant.shares(now))
    }
}

impl AdmissionGate for Fleet {
    fn renews(&self) -> std::result::Result<Option<Settings>, Span> {
        let _whole = Whole;
        let mut node = self.node.borrow_mut();
        let (now, jumped) = self.clock.now();
        if jumped {
            node.jumped(now);
        }
        match node.version(now) {
            Ok(version) if version.generation == self.adopted.get() => Ok(None),
            Ok(version) => Ok(self.adopt(version)),
            Err(_) => Err(self.pause),
        }
    }

    fn most_in_hand(&self) -> usize {
        self.most_in_hand.get()
    }

    fn admits(&self, account: u64) -> std::result::Result<u64, Span> {
        // One account's flood is rejected before it costs others anything.
        match self.shares(|participant, now| participant.spend(now, &[Budget::Accounts.of(account)])) {
            true => Ok(self.adopted.get()),
            false => Err(self.pause),
        }
    }

    fn ended(&self, generation: u64, class: u16, done: bool, took: Duration) {
        if done {
            self.further.set(self.further.get().map(RetryBudget::filled));
        }
        let goals = self.goals.borrow();
        let goal = goals.iter().find(|(of, _)| *of == generation);
        let Some(goal) = goal.and_then(|(_, goals)| goals.get(class as usize)) else { return };
        let count = Count { requests: 1, good: u64::from(done && took <= *goal) };
        self.node.borrow_mut().count(generation, class, count);
    }

    fn can_afford_fill(&self, class: u16) -> bool {
        self.shares(|participant, now| participant.affords(now, &self.place.fills(class)))
    }

    fn charge_quota(&self, draw: &QuotaCharge) -> Option<FillCharge> {
        let further = self.further.get();
        if draw.further && further.is_some_and(|further| !further.affords()) {
            return None;
        }
        let (lines, count) = self.place.draws(draw);
        let at = self.shares(|participant, now| {
            // One that is sent without a fill, as none is to be had, would have wanted it.
            let fills = self.place.fills(draw.class);
            if !draw.fills && !draw.further && !participant.affords(now, &fills) {
                participant.refused(now, &fills);
            }
            participant.spend(now, &lines[..count]).then_some(now)
        })?;
        if draw.further {
            self.further.set(further.map(RetryBudget::spent));
        }
        Some(FillCharge { at, class: draw.class, fills: draw.fills })
    }

    fn settle(&self, drawn: FillCharge, end: Outcome) {
        let lines = self.place.fills(drawn.class);
        self.shares(|participant, now| {
            participant.settled(now, drawn.at, &lines, self.place.by_origin(end));
            participant.ended(drawn.at, &lines[3..]);
        });
    }

    fn slow_start_share(&self, stable: u64, parent: bool) -> Option<f64> {
        let budget = if parent { Budget::ColdParents } else { Budget::ColdCaches };
        self.shares(|participant, now| participant.part(now, budget.of(stable)))
    }
}

/// Stands while the node is at work. A task that panics is dropped and the others go on; but what is half done here
/// must not be gone by, nor voted by: the process ends, and comes back as another start.
struct Whole;

impl Drop for Whole {
    fn drop(&mut self) {
        if std::thread::panicking() {
            tracing::error!("the router's part in its fleet has failed: it ends");
            std::process::exit(101);
        }
    }
}

/// One line for each step.
fn log(step: &Transition) {
    match step {
        Transition::Joined(start) => tracing::info!(%start, "fleet: listed"),
        Transition::Removed(start) => tracing::info!(%start, "fleet: no longer listed"),
        Transition::Proposed(generation) => tracing::info!(generation, "policy: proposed"),
        Transition::Refused(token, why) => tracing::warn!(token, why, "policy: refused"),
        Transition::Decided(generation, at) => tracing::info!(generation, at = at.0, "policy: decided"),
        Transition::CalledOff(generation, why) => tracing::warn!(generation, why, "policy: called off"),
        Transition::Held(generation) => tracing::info!(generation, "policy: in force"),
        Transition::Kept(generation, finding) => tracing::info!(generation, finding, "policy: off probation"),
    }
}

/// A number that is the same for the same name.
fn named(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// All guards stand. An experiment of the lab may name one to take out, in a build for tests only.
fn guards() -> Result<(Guards, bool, bool, bool)> {
    let mut guards = Guards::default();
    let (mut by_name, mut unsynced, mut pinned) = (false, false, true);
    if cfg!(debug_assertions)
        && let Ok(without) = std::env::var("TINDOOR_WITHOUT")
    {
        match without.as_str() {
            "lease" => guards.lease = false,
            "staged" => guards.staged = false,
            "compare" => guards.compare = false,
            "incarnation" => by_name = true,
            "synced" => unsynced = true,
            "pinned" => pinned = false,
            "lapse" => guards.shares.lapse = false,
            "epoch" => guards.shares.epoch = false,
            "returned" => guards.shares.returned = false,
            "burst" => guards.shares.burst = false,
            // Its lease on the policy keeps one that wakes from spending as well: without either.
            "wakes" => (guards.shares.wakes, guards.lease) = (false, false),
            "floor" => guards.shares.floor = false,
            _ => {}
        }
    }
    Ok((guards, by_name, unsynced, pinned))
}
