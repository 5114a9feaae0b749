//! The budgets that a policy declares, as what is divided among the routers.

use tindoor::host::{AttemptStatus, Outcome, OutcomeDetail, QuotaCharge};
use tindoor::time::Span;
use tindoor_quota::{BudgetKey, BudgetLimit, Kind, Plan, Quota, UNIT};

use crate::Policy;

/// Each budget by the number that its lines carry between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum Budget {
    /// Fills by the origin: of the fleet, and within that of each location and of each request class.
    OriginFills = 1,
    LocationFills = 2,
    OfferingFills = 3,
    /// Those that are under way at once.
    FillsInHand = 4,
    /// Attempts after one that failed.
    Further = 5,
    /// Plain looks, and new connections, to each cache.
    Looks = 6,
    Connections = 7,
    /// Requests of each account.
    Accounts = 8,
    /// The allowance of each cold cache, among the routers of its location, and of each cold parent.
    ColdCaches = 9,
    ColdParents = 10,
}

impl Budget {
    /// Its line for one of its scope; 0 for the fleet.
    pub fn of(self, of: u64) -> BudgetKey {
        BudgetKey { budget: self as u16, of }
    }

    /// The name of a line's budget, as the policy's keys have it.
    pub fn name(line: BudgetKey) -> &'static str {
        const NAMES: [&str; 10] = [
            "origin_fills",
            "location_fills",
            "offering_fills",
            "origin_fills.in_hand",
            "further",
            "looks",
            "connections",
            "accounts",
            "cold_parts of caches",
            "cold_parts of parents",
        ];
        NAMES.get(usize::from(line.budget).wrapping_sub(1)).copied().unwrap_or("unknown")
    }
}

/// What stands for an request class in a line (FNV-1a of its name), the same at every router.
pub fn number(name: &str) -> u64 {
    let mix = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// Where a router stands, for what its attempts draw on.
#[derive(Clone, Debug)]
pub struct BudgetScope {
    location: u64,
    /// By request class.
    numbers: Vec<u64>,
    /// Whether caches tell fills by the origin from others.
    tells_fills: bool,
}

impl BudgetScope {
    pub fn new(location: u64, classes: &[String], tells_fills: bool) -> Self {
        Self { location, numbers: classes.iter().map(|name| number(name)).collect(), tells_fills }
    }

    /// All lines that a fill by the origin draws on; the last is the level, the others are rates.
    pub fn fills(&self, class: u16) -> [BudgetKey; 4] {
        let number = self.numbers.get(usize::from(class)).copied().unwrap_or_default();
        [
            Budget::OriginFills.of(0),
            Budget::LocationFills.of(self.location),
            Budget::OfferingFills.of(number),
            Budget::FillsInHand.of(0),
        ]
    }

    /// All lines that a attempt draws on, and how many they are: kept in place, as it is on the path of a request.
    pub fn draws(&self, draw: &QuotaCharge) -> ([BudgetKey; 6], usize) {
        let fills = self.fills(draw.class).map(|line| draw.may_fill_from_origin.then_some(line));
        let look = draw.cache_only.then(|| Budget::Looks.of(draw.endpoint));
        let further = draw.is_retry.then(|| Budget::Further.of(0));
        let (mut lines, mut count) = ([BudgetKey::default(); 6], 0);
        for line in fills.into_iter().chain([look, further]).flatten() {
            lines[count] = line;
            count += 1;
        }
        (lines, count)
    }

    /// Whether the origin was asked for what a attempt brought, as far as its end tells: what may have been counts.
    pub fn by_origin(&self, outcome: Outcome) -> bool {
        match (outcome.status, outcome.detail) {
            (_, OutcomeDetail::OriginFailed) => true,
            (
                AttemptStatus::Overloaded
                | AttemptStatus::Unreachable
                | AttemptStatus::Superseded
                | AttemptStatus::Miss,
                _,
            ) => false,
            (
                AttemptStatus::Served,
                OutcomeDetail::Hit | OutcomeDetail::StaleHit | OutcomeDetail::JoinedFill,
            ) => false,
            (AttemptStatus::Served, OutcomeDetail::FilledFromSource) => !self.tells_fills,
            _ => true,
        }
    }
}

/// The part of a whole that is kept for floors where the policy says nothing.
const FLOOR_PART: f64 = 0.1;

/// How many routers may belong at most, where the policy divides anything.
pub fn routers_most(policy: &Policy) -> Option<u64> {
    policy.0.get("budget.routers_most").map(|most| *most as u64)
}

/// Why the second policy can't follow the first while so many processes may act: each has a floor. What does not lower
/// the bound is gone by in any case, also while starts of one name count twice.
pub fn too_few(from: Option<&Policy>, to: &Policy, possible: u64) -> Option<String> {
    let before = from.and_then(routers_most);
    let lowers = |most: &u64| before.is_none_or(|before| *most < before) && *most < possible;
    let most = routers_most(to).filter(lowers)?;
    Some(format!("budget.routers_most: {most} is below the {possible} that may belong"))
}

/// How many further attempts a request that was done allows, at the router that has done it.
pub fn per_success(policy: &Policy) -> Option<f64> {
    policy.0.get("budget.further.per_success").copied()
}

/// What is divided under that policy.
pub fn plan(policy: &Policy) -> Plan {
    let mut plan = Plan::default();
    let Some(routers) = routers_most(policy).filter(|most| *most > 0) else { return plan };
    let get = |name: &str| policy.0.get(name).copied();
    let part = get("budget.floor_part").unwrap_or(FLOOR_PART);
    let rate = |name: &str| {
        let quota = Quota::rate(get(&format!("{name}per_s"))?, get(&format!("{name}burst"))?);
        let rate = (quota.rate as f64 * part / routers as f64) as u64;
        // Under one unit of burst nothing would ever be let through.
        let floor = Quota { rate, burst: UNIT };
        Some(BudgetLimit { kind: Kind::Rate, quota, floor, routers, lag: Span::ZERO })
    };
    let rates = [
        (Budget::OriginFills, "budget.origin_fills."),
        (Budget::LocationFills, "budget.location_fills."),
        (Budget::Further, "budget.further."),
        (Budget::Looks, "budget.looks."),
        (Budget::Connections, "budget.connections."),
        (Budget::Accounts, "budget.accounts."),
    ];
    for (budget, name) in rates {
        plan.any.extend(rate(name).map(|whole| (budget as u16, whole)));
    }
    for name in policy.0.keys() {
        let of = name.strip_prefix("offering.").and_then(|rest| rest.strip_suffix(".origin_fills_per_s"));
        let Some(class) = of else { continue };
        let whole = rate(&format!("offering.{class}.origin_fills_"));
        plan.one.extend(whole.map(|whole| (Budget::OfferingFills.of(number(class)), whole)));
    }
    let ms = |name: &str| get(name).map(|ms| Span::micros((ms * 1000.0) as u64));
    if let Some(most) = get("budget.origin_fills.in_hand") {
        let floor = Quota::level((most * part / routers as f64).floor());
        // A fill that was begun lasts as long as its request at most.
        let cut_offs = policy.0.iter().filter(|(name, _)| name.ends_with(".cut_off_ms"));
        let longest = cut_offs.map(|(_, ms)| *ms).fold(0.0, f64::max);
        let lag = Span::micros((longest * 1000.0) as u64);
        let whole = BudgetLimit { kind: Kind::Level, quota: Quota::level(most), floor, routers, lag };
        plan.any.insert(Budget::FillsInHand as u16, whole);
    }
    if get("budget.cold_parts") == Some(1.0) {
        let quota = Quota::level(1000.0);
        let floor = Quota { rate: 0, burst: (quota.burst as f64 * part / routers as f64) as u64 };
        let lag = ms("cold_window_ms").unwrap_or(Span::millis(1000));
        let whole = BudgetLimit { kind: Kind::Part, quota, floor, routers, lag };
        plan.any.extend([Budget::ColdCaches, Budget::ColdParents].map(|budget| (budget as u16, whole)));
    }
    plan
}

/// What can't stand beside what, by the key at fault.
pub fn check(policy: &Policy) -> Result<(), String> {
    let get = |name: &str| policy.0.get(name).copied();
    let routers = get("budget.routers_most");
    for name in policy.0.keys() {
        let Some(prefix) = name.strip_suffix("per_s") else {
            let budget = name.starts_with("budget.") && name != "budget.floor_part";
            if budget && routers.is_none() {
                return Err(format!("{name}: without budget.routers_most, by which floors are kept"));
            }
            continue;
        };
        let burst = get(&format!("{prefix}burst"));
        let Some(routers) = routers else {
            return Err(format!("{name}: without budget.routers_most, by which floors are kept"));
        };
        // Half of it are floors of one unit, the other half is divided.
        match burst {
            None => return Err(format!("{name}: without {prefix}burst")),
            Some(burst) if burst < 2.0 * routers => {
                return Err(format!(
                    "{prefix}burst: {burst} is under two for each of the {routers} routers that may belong"
                ));
            }
            Some(_) => {}
        }
    }
    Ok(())
}
