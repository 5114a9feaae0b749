//! What a policy may say: one declaration of each key, by which it is checked, explained, and told to the
//! decision module.

use tindoor::settings::{ClassSettings, Settings};
use tindoor::time::Span;

use crate::Policy;

/// When a key can be changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    InService,
    /// Only by the file that a router is started with: something beside the routing engine is built from it.
    AtStart,
}

/// What a number stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Milliseconds.
    Ms,
    Flag,
    /// A whole number.
    Count,
    Number,
}

/// One key. A name that begins with `class.*.` stands for one of each request class, by the request class's name.
#[derive(Debug)]
pub struct Key {
    pub name: &'static str,
    /// The engine's setting that it stands for; none for what the router itself applies.
    pub setting: Option<Setting>,
    pub unit: Unit,
    pub least: f64,
    pub most: f64,
    pub when: When,
    pub what: &'static str,
}

const fn key(
    name: &'static str,
    setting: Option<Setting>,
    unit: Unit,
    [least, most]: [f64; 2],
    when: When,
    what: &'static str,
) -> Key {
    Key { name, setting, unit, least, most, when, what }
}

/// What is divided among routers: not the routing engine's, and changed in service.
const fn budget(name: &'static str, unit: Unit, bounds: [f64; 2], what: &'static str) -> Key {
    key(name, None, unit, bounds, When::InService, what)
}

const HOUR: f64 = 3_600_000.0;
const FLAG: [f64; 2] = [0.0, 1.0];
const RATE: [f64; 2] = [0.0, 1e6];

use Unit::{Count, Flag, Ms, Number};
use When::{AtStart, InService};

/// Every key.
pub const KEYS: &[Key] = &[
    key(
        "offering.*.latency_goal_ms",
        Some(Setting::LatencyObjective),
        Ms,
        [1.0, HOUR],
        InService,
        "a view done within it is in time",
    ),
    key(
        "offering.*.goal_stretch",
        Some(Setting::ObjectiveStretch),
        Number,
        [0.0, 1e3],
        InService,
        "how much longer per second of sending work",
    ),
    key(
        "offering.*.earnings",
        Some(Setting::PriorityWeight),
        Number,
        [0.0, 1e9],
        InService,
        "what a view done in time earns",
    ),
    key(
        "offering.*.late_share",
        Some(Setting::LateShare),
        Number,
        FLAG,
        InService,
        "the part of it that a late one earns",
    ),
    key(
        "offering.*.old_share",
        Some(Setting::StaleShare),
        Number,
        FLAG,
        InService,
        "the part of it that a copy past its fresh time earns",
    ),
    key(
        "offering.*.fresh_ms",
        Some(Setting::MaxAge),
        Ms,
        [0.0, HOUR],
        InService,
        "how old a copy may be; 0 where none is kept",
    ),
    key(
        "offering.*.older_by_ms",
        Some(Setting::StaleWhileFailing),
        Ms,
        [0.0, HOUR],
        InService,
        "how much older where a dispatch failed or fills are short",
    ),
    key(
        "offering.*.cut_off_ms",
        Some(Setting::Deadline),
        Ms,
        [1.0, HOUR],
        AtStart,
        "the longest that a client waits: limits are built from it",
    ),
    key(
        "offering.*.window_ms",
        Some(Setting::RetryWindow),
        Ms,
        [0.0, HOUR],
        AtStart,
        "how long a repeated write is told: marks are kept for it",
    ),
    key(
        "come_back_told",
        Some(Setting::RetryAfterSent),
        Flag,
        FLAG,
        InService,
        "whether a view that is turned back is told when to come again",
    ),
    key(
        "longest_come_back_ms",
        Some(Setting::MaxRetryAfter),
        Ms,
        [0.0, HOUR],
        InService,
        "the longest time that it is told",
    ),
    key(
        "most_dispatches",
        Some(Setting::MaxAttempts),
        Count,
        [1.0, 64.0],
        InService,
        "dispatches of one view, at most",
    ),
    key(
        "calling_off",
        Some(Setting::Cancellation),
        Flag,
        FLAG,
        InService,
        "whether a dispatch may be given up",
    ),
    key(
        "direct",
        Some(Setting::BypassAllowed),
        Flag,
        FLAG,
        InService,
        "whether a parent or the origin may answer by itself",
    ),
    key(
        "cold_floor",
        Some(Setting::CacheInitialShare),
        Number,
        FLAG,
        InService,
        "the part of its capacity that a cold cache has",
    ),
    key(
        "cold_multiple",
        Some(Setting::CacheOverloadMultiple),
        Number,
        [0.0, 1e3],
        InService,
        "how many times that a cold cache bears",
    ),
    key(
        "cold_window_ms",
        Some(Setting::SlowStartWindow),
        Ms,
        [1.0, HOUR],
        InService,
        "the window over which it is reckoned",
    ),
    key(
        "parent_floor",
        Some(Setting::ParentInitialShare),
        Number,
        FLAG,
        InService,
        "the same part of a cold parent",
    ),
    key(
        "parent_multiple",
        Some(Setting::ParentOverloadMultiple),
        Number,
        [0.0, 1e3],
        InService,
        "the same multiple of it",
    ),
    key(
        "parent_warm_within_ms",
        Some(Setting::ParentRampDuration),
        Ms,
        [1.0, HOUR],
        InService,
        "how long a parent takes to be warm",
    ),
    key(
        "warm_within_ms",
        Some(Setting::CacheRampDuration),
        Ms,
        [1.0, HOUR],
        AtStart,
        "how long a cache takes to be warm: numbers of gone ones are kept by it",
    ),
    key(
        "copies_gone_after_ms",
        Some(Setting::CopiesGoneAfter),
        Ms,
        [1.0, 24.0 * HOUR],
        InService,
        "when no copy from before a purge is left anywhere",
    ),
    key(
        "drain_grace_ms",
        Some(Setting::DrainGrace),
        Ms,
        [0.0, HOUR],
        AtStart,
        "in which sends to a draining cache end: calls are bounded by it",
    ),
    key(
        "purge_grace_ms",
        Some(Setting::PurgeGrace),
        Ms,
        [0.0, HOUR],
        AtStart,
        "in which a purge holds: calls are bounded by it",
    ),
    budget(
        "budget.routers_most",
        Count,
        [1.0, 8192.0],
        "routers that may belong: no more are listed, and each has a floor",
    ),
    budget("budget.floor_part", Number, [0.0, 0.5], "the part of each whole that floors are"),
    budget("budget.origin_fills.per_s", Number, RATE, "fills by the origin, of the whole fleet"),
    budget("budget.origin_fills.burst", Number, RATE, "and how many at a stroke"),
    budget("budget.origin_fills.in_hand", Count, RATE, "fills by the origin under way at once"),
    budget("budget.location_fills.per_s", Number, RATE, "the same of each location, within it"),
    budget("budget.location_fills.burst", Number, RATE, "and how many at a stroke"),
    budget("offering.*.origin_fills_per_s", Number, RATE, "the same of an offering, within it"),
    budget("offering.*.origin_fills_burst", Number, RATE, "and how many at a stroke"),
    budget("budget.further.per_s", Number, RATE, "dispatches after one that failed"),
    budget("budget.further.burst", Number, RATE, "and how many at a stroke"),
    budget(
        "budget.further.per_success",
        Number,
        [0.0, 10.0],
        "how many a view that was done allows, at its own router",
    ),
    budget("budget.looks.per_s", Number, RATE, "plain looks at each cache"),
    budget("budget.looks.burst", Number, RATE, "and how many at a stroke"),
    budget("budget.connections.per_s", Number, RATE, "new connections to each cache"),
    budget("budget.connections.burst", Number, RATE, "and how many at a stroke"),
    budget("budget.accounts.per_s", Number, RATE, "views of each account"),
    budget("budget.accounts.burst", Number, RATE, "and how many at a stroke"),
    budget(
        "budget.cold_parts",
        Flag,
        FLAG,
        "what cold caches and parents bear is divided by who asks, not by numbers told at the start",
    ),
    key("limit.open_views", None, Count, [1.0, 4096.0], InService, "views in hand at once, at each router"),
];

/// Where a policy comes from or goes to: the request classes' names, in the order of the settings.
pub type RequestClasses<'a> = &'a [String];

/// The declaration of a name, and which request class it is about.
pub fn find<'a>(name: &str, classes: RequestClasses<'a>) -> Result<(&'static Key, Option<usize>), String> {
    if let Some(rest) = name.strip_prefix("offering.") {
        let (class, of) = rest.rsplit_once('.').ok_or_else(|| format!("{name}: no such key"))?;
        let declared = KEYS.iter().find(|key| key.name.strip_prefix("offering.*.") == Some(of));
        let at = classes.iter().position(|known| known == class);
        let at = at.ok_or_else(|| format!("{name}: no offering is called {class:?}"))?;
        return declared.map(|key| (key, Some(at))).ok_or_else(|| format!("{name}: no such key"));
    }
    let declared = KEYS.iter().find(|key| key.name == name);
    declared.map(|key| (key, None)).ok_or_else(|| format!("{name}: no such key"))
}

/// Checks each number against its declaration, and those against each other that belong together.
pub fn check(policy: &Policy, classes: RequestClasses) -> Result<(), String> {
    for (name, number) in &policy.0 {
        let (key, _) = find(name, classes)?;
        if !number.is_finite() || !(key.least..=key.most).contains(number) {
            return Err(format!("{name}: {number} is not from {} to {}", key.least, key.most));
        }
        if matches!(key.unit, Count | Flag) && number.fract() != 0.0 {
            return Err(format!("{name}: {number} is not a whole number"));
        }
    }
    for class in classes {
        let of = |what: &str| policy.0.get(&format!("offering.{class}.{what}")).copied();
        if let (Some(goal), Some(cut_off)) = (of("latency_goal_ms"), of("cut_off_ms"))
            && goal > cut_off
        {
            return Err(format!("offering.{class}.latency_goal_ms: {goal} is over the cut-off of {cut_off}"));
        }
        // A copy that may be older than the memory of purges could be from before one.
        if let (Some(fresh), Some(gone)) = (of("fresh_ms"), policy.0.get("copies_gone_after_ms"))
            && fresh + of("older_by_ms").unwrap_or_default() > *gone
        {
            return Err(format!(
                "offering.{class}.fresh_ms: with older_by_ms over copies_gone_after_ms of {gone}: \
                 a copy could outlive the memory of its purge"
            ));
        }
    }
    crate::budgets::check(policy)
}

/// Whether the second policy can follow the first in service.
pub fn check_change(from: &Policy, to: &Policy, classes: RequestClasses) -> Result<(), String> {
    check(to, classes)?;
    for (name, old, new) in from.differ(to) {
        let (key, _) = find(name, classes)?;
        if key.when == AtStart {
            return Err(format!("{name}: changes at a start only"));
        }
        // What the routing engine does not read may go again, as a budget: then nothing is limited by it.
        if new.is_none() && old.is_some() && key.setting.is_some() {
            return Err(format!("{name}: missing, and it was set"));
        }
    }
    Ok(())
}

/// A setting of the engine that a policy may set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setting {
    LatencyObjective,
    ObjectiveStretch,
    PriorityWeight,
    LateShare,
    StaleShare,
    MaxAge,
    StaleWhileFailing,
    Deadline,
    RetryWindow,
    RetryAfterSent,
    MaxRetryAfter,
    MaxAttempts,
    Cancellation,
    BypassAllowed,
    CacheInitialShare,
    CacheOverloadMultiple,
    CacheRampDuration,
    ParentInitialShare,
    ParentOverloadMultiple,
    ParentRampDuration,
    SlowStartWindow,
    CopiesGoneAfter,
    DrainGrace,
    PurgeGrace,
}

/// Where a setting stands, by its type.
enum Field<'a> {
    Span(&'a mut Span),
    OptionalSpan(&'a mut Option<Span>),
    Number(&'a mut Option<f64>),
    Flag(&'a mut Option<bool>),
    Count(&'a mut Option<u32>),
}

impl Field<'_> {
    /// The number by which a policy states the setting; none where it is not set.
    fn get(&self) -> Option<f64> {
        let millis = |span: Span| span.as_micros() as f64 / MICROS_PER_MILLI;
        match self {
            Self::Span(span) => Some(millis(**span)),
            Self::OptionalSpan(span) => span.map(millis),
            Self::Number(number) => **number,
            Self::Flag(flag) => flag.map(|flag| f64::from(u8::from(flag))),
            Self::Count(count) => count.map(f64::from),
        }
    }

    fn set(&mut self, number: f64) {
        let span = || Span::micros((number * MICROS_PER_MILLI).round() as u64);
        match self {
            Self::Span(field) => **field = span(),
            Self::OptionalSpan(field) => **field = Some(span()),
            Self::Number(field) => **field = Some(number),
            Self::Flag(field) => **field = Some(number > 0.0),
            Self::Count(field) => **field = Some(number.ceil() as u32),
        }
    }
}

const MICROS_PER_MILLI: f64 = 1000.0;

impl Setting {
    /// Its field in the settings, for the request class `class` where each has its own; none where there is no such
    /// class.
    fn field(self, settings: &mut Settings, class: Option<usize>) -> Option<Field<'_>> {
        let Settings { topology, attempts, rejection, slow_start, purges, .. } = settings;
        Some(match self {
            Self::RetryAfterSent => Field::Flag(&mut rejection.retry_after_sent),
            Self::MaxRetryAfter => Field::OptionalSpan(&mut rejection.max_retry_after),
            Self::MaxAttempts => Field::Count(&mut attempts.max_attempts),
            Self::Cancellation => Field::Flag(&mut attempts.cancellation),
            Self::DrainGrace => Field::Span(&mut attempts.drain_grace),
            Self::BypassAllowed => Field::Flag(&mut topology.bypass_allowed),
            Self::CacheInitialShare => Field::Number(&mut slow_start.caches.initial_share),
            Self::CacheOverloadMultiple => Field::Number(&mut slow_start.caches.overload_multiple),
            Self::CacheRampDuration => Field::OptionalSpan(&mut slow_start.caches.duration),
            Self::ParentInitialShare => Field::Number(&mut slow_start.parents.initial_share),
            Self::ParentOverloadMultiple => Field::Number(&mut slow_start.parents.overload_multiple),
            Self::ParentRampDuration => Field::OptionalSpan(&mut slow_start.parents.duration),
            Self::SlowStartWindow => Field::OptionalSpan(&mut slow_start.window),
            Self::CopiesGoneAfter => Field::OptionalSpan(&mut purges.copies_gone_after),
            Self::PurgeGrace => Field::OptionalSpan(&mut purges.grace),
            of_class => return of_class.class_field(settings.classes.get_mut(class?)?),
        })
    }

    fn class_field(self, class: &mut ClassSettings) -> Option<Field<'_>> {
        Some(match self {
            Self::LatencyObjective => Field::Span(&mut class.latency_objective),
            Self::ObjectiveStretch => Field::Number(&mut class.objective_stretch),
            Self::PriorityWeight => Field::Number(&mut class.priority_weight),
            Self::LateShare => Field::Number(&mut class.late_share),
            Self::StaleShare => Field::Number(&mut class.stale_share),
            Self::MaxAge => Field::OptionalSpan(&mut class.max_age),
            Self::StaleWhileFailing => Field::OptionalSpan(&mut class.stale_while_failing),
            Self::Deadline => Field::Span(&mut class.deadline),
            Self::RetryWindow => Field::OptionalSpan(&mut class.retry_window),
            _ => return None,
        })
    }
}

/// What the settings of a deployment say under these keys.
pub fn from_settings(settings: &Settings, classes: RequestClasses) -> Policy {
    let mut settings = settings.clone();
    let mut policy = Policy::default();
    for key in KEYS {
        let Some(setting) = key.setting else { continue };
        let scopes: Vec<Option<usize>> = match key.name.starts_with("offering.*.") {
            true => (0..classes.len()).map(Some).collect(),
            false => vec![None],
        };
        for class in scopes {
            let number = setting.field(&mut settings, class).and_then(|field| field.get());
            let name = match class {
                Some(class) => key.name.replace('*', &classes[class]),
                None => key.name.to_string(),
            };
            policy.0.extend(number.map(|number| (name, number)));
        }
    }
    policy
}

/// The settings of a deployment with what the policy says in place of their own.
pub fn apply_to_settings(
    policy: &Policy,
    settings: &Settings,
    classes: RequestClasses,
) -> Result<Settings, String> {
    let mut settings = settings.clone();
    for (name, number) in &policy.0 {
        let (key, class) = find(name, classes)?;
        let field = key.setting.and_then(|setting| setting.field(&mut settings, class));
        if let Some(mut field) = field {
            field.set(*number);
        }
    }
    Ok(settings)
}
