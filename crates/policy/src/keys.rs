//! What a policy may say: one declaration of each key, by which it is checked, explained, and told to the
//! decision module.

use tindoor::host::{Fact, Facts};

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
    /// Milliseconds here, microseconds in the routing engine's facts.
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
    /// What the routing engine calls it; empty for what the router itself heeds.
    pub fact: &'static str,
    pub unit: Unit,
    pub least: f64,
    pub most: f64,
    pub when: When,
    pub what: &'static str,
}

const fn key(
    name: &'static str,
    fact: &'static str,
    unit: Unit,
    [least, most]: [f64; 2],
    when: When,
    what: &'static str,
) -> Key {
    Key { name, fact, unit, least, most, when, what }
}

/// What is divided among routers: not the routing engine's, and changed in service.
const fn budget(name: &'static str, unit: Unit, bounds: [f64; 2], what: &'static str) -> Key {
    key(name, "", unit, bounds, When::InService, what)
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
        "latency_goal",
        Ms,
        [1.0, HOUR],
        InService,
        "a view done within it is in time",
    ),
    key(
        "offering.*.goal_stretch",
        "goal_stretch",
        Number,
        [0.0, 1e3],
        InService,
        "how much longer per second of sending work",
    ),
    key("offering.*.earnings", "earnings", Number, [0.0, 1e9], InService, "what a view done in time earns"),
    key(
        "offering.*.late_share",
        "late_share",
        Number,
        FLAG,
        InService,
        "the part of it that a late one earns",
    ),
    key(
        "offering.*.old_share",
        "old_share",
        Number,
        FLAG,
        InService,
        "the part of it that a copy past its fresh time earns",
    ),
    key(
        "offering.*.fresh_ms",
        "fresh",
        Ms,
        [0.0, HOUR],
        InService,
        "how old a copy may be; 0 where none is kept",
    ),
    key(
        "offering.*.older_by_ms",
        "older_by",
        Ms,
        [0.0, HOUR],
        InService,
        "how much older where a dispatch failed or fills are short",
    ),
    key(
        "offering.*.cut_off_ms",
        "cut_off",
        Ms,
        [1.0, HOUR],
        AtStart,
        "the longest that a client waits: limits are built from it",
    ),
    key(
        "offering.*.window_ms",
        "window",
        Ms,
        [0.0, HOUR],
        AtStart,
        "how long a repeated write is told: marks are kept for it",
    ),
    key(
        "come_back_told",
        "come_back_told",
        Flag,
        FLAG,
        InService,
        "whether a view that is turned back is told when to come again",
    ),
    key(
        "longest_come_back_ms",
        "longest_come_back",
        Ms,
        [0.0, HOUR],
        InService,
        "the longest time that it is told",
    ),
    key(
        "most_dispatches",
        "most_dispatches",
        Count,
        [1.0, 64.0],
        InService,
        "dispatches of one view, at most",
    ),
    key("calling_off", "calling_off", Flag, FLAG, InService, "whether a dispatch may be given up"),
    key("direct", "direct", Flag, FLAG, InService, "whether a parent or the origin may answer by itself"),
    key(
        "cold_floor",
        "cold_floor",
        Number,
        FLAG,
        InService,
        "the part of its capacity that a cold cache has",
    ),
    key(
        "cold_multiple",
        "cold_multiple",
        Number,
        [0.0, 1e3],
        InService,
        "how many times that a cold cache bears",
    ),
    key("cold_window_ms", "cold_window", Ms, [1.0, HOUR], InService, "the window over which it is reckoned"),
    key("parent_floor", "parent_floor", Number, FLAG, InService, "the same part of a cold parent"),
    key("parent_multiple", "parent_multiple", Number, [0.0, 1e3], InService, "the same multiple of it"),
    key(
        "parent_warm_within_ms",
        "parent_warm_within",
        Ms,
        [1.0, HOUR],
        InService,
        "how long a parent takes to be warm",
    ),
    key(
        "warm_within_ms",
        "warm_within",
        Ms,
        [1.0, HOUR],
        AtStart,
        "how long a cache takes to be warm: numbers of gone ones are kept by it",
    ),
    key(
        "copies_gone_after_ms",
        "copies_gone_after",
        Ms,
        [1.0, 24.0 * HOUR],
        InService,
        "when no copy from before a purge is left anywhere",
    ),
    key(
        "drain_grace_ms",
        "drain_grace",
        Ms,
        [0.0, HOUR],
        AtStart,
        "in which sends to a draining cache end: calls are bounded by it",
    ),
    key(
        "purge_grace_ms",
        "purge_grace",
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
    key("limit.open_views", "", Count, [1.0, 4096.0], InService, "views in hand at once, at each router"),
];

/// Where a policy comes from or goes to: the request classes' names, in the order of the facts.
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
        if new.is_none() && old.is_some() && !key.fact.is_empty() {
            return Err(format!("{name}: missing, and it was set"));
        }
    }
    Ok(())
}

fn fact_name(key: &Key, class: Option<usize>) -> String {
    match class {
        Some(at) => format!("offering.{at}.{}", key.fact),
        None => key.fact.to_string(),
    }
}

/// What the facts of a deployment say under these keys.
pub fn of_facts(facts: &Facts, classes: RequestClasses) -> Policy {
    let mut policy = Policy::default();
    for key in KEYS.iter().filter(|key| !key.fact.is_empty()) {
        let places: Vec<Option<usize>> = match key.name.starts_with("offering.*.") {
            true => (0..classes.len()).map(Some).collect(),
            false => vec![None],
        };
        for place in places {
            let Some(number) = facts.get(&fact_name(key, place)).and_then(Fact::number) else { continue };
            let number = if key.unit == Ms { number / 1000.0 } else { number };
            let name = match place {
                Some(at) => key.name.replace('*', &classes[at]),
                None => key.name.to_string(),
            };
            policy.0.insert(name, number);
        }
    }
    policy
}

/// The facts of a deployment with what the policy says in place of their own.
pub fn onto_facts(policy: &Policy, facts: &Facts, classes: RequestClasses) -> Result<Facts, String> {
    let mut facts = facts.clone();
    for (name, number) in &policy.0 {
        let (key, at) = find(name, classes)?;
        if !key.fact.is_empty() {
            let number = if key.unit == Ms { (number * 1000.0).round() } else { *number };
            facts.insert(fact_name(key, at), Fact::Number(number));
        }
    }
    Ok(facts)
}
