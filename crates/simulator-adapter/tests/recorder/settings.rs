//! The settings of a simulated deployment and their JSON.
//!
//! Field names follow the JSON keys. Durations are in microseconds.

/// A request class.
#[derive(Clone, Copy)]
pub struct Class {
    /// The idempotency of the requests.
    pub effect: &'static str,
    /// Where a request with an idempotency key may run again.
    pub group: &'static str,
    /// How long after its first attempt a request with an idempotency key may run again.
    pub window: u64,
    pub deadline: u64,
    pub objective: u64,
    /// The maximum age of a served copy.
    pub fresh: u64,
    /// How far the age of a served copy may exceed `fresh` after a failed attempt or while fills are
    /// congested.
    pub older_by: u64,
    /// The weight of a response from a stale copy, as a fraction of the weight of a fresh one.
    pub worth_when_old: f64,
    /// Whether the origin always runs the requests itself.
    pub goes_through: bool,
    /// Whether responses are streamed.
    pub stream: bool,
    /// The frequency of requests of this class relative to the other classes.
    pub share: f64,
}

pub const PLAIN_CLASS: Class = Class {
    effect: "read_like",
    group: "all",
    window: 5_000_000,
    deadline: 2_500_000,
    objective: 300_000,
    fresh: 8_000_000,
    older_by: 20_000_000,
    worth_when_old: 0.5,
    goes_through: false,
    stream: false,
    share: 1.0,
};

/// The settings of all instances.
#[derive(Clone)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub family: &'static str,
    /// How the capacity of servers is known: `"nominal"` if they report it.
    pub weights: &'static str,
    /// How instances receive the endpoint list: `"pushed"` or `"on_request"`.
    pub registry_mode: &'static str,
    /// How much detail caches report about an attempt: `"all"`, `"hit"` or `"off"`.
    pub note_level: &'static str,
    pub bypass_allowed: bool,
    pub cancelling: bool,
    /// Whether a request may be hedged.
    pub second_copies: bool,
    pub retry_after: bool,
    pub parents: bool,
    pub most_tries: u32,
    /// The number of routers in the whole fleet, including routers that are not simulated.
    pub balancers: u32,
    pub instances_by_zone: [u32; 3],
    /// The share of its full capacity that a cache has when it starts.
    pub cold_share: f64,
    /// The time from the start of a cache until it has its full capacity.
    pub warm_within: u64,
    /// The time after a purge by which every older copy is gone.
    pub gone_everywhere: u64,
    pub client_kb_per_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            classes: vec![PLAIN_CLASS],
            family: "edge",
            weights: "nominal",
            registry_mode: "pushed",
            note_level: "all",
            bypass_allowed: true,
            cancelling: true,
            second_copies: false,
            retry_after: true,
            parents: true,
            most_tries: 6,
            balancers: 3,
            instances_by_zone: [0, 2, 1],
            cold_share: 0.2,
            warm_within: 8_000_000,
            gone_everywhere: 3_000_000,
            client_kb_per_s: 2000.0,
        }
    }
}

pub const CACHE_KIND: u8 = 0;
pub const PARENT_KIND: u8 = 1;
pub const ORIGIN_KIND: u8 = 2;

/// Returns a JSON list with one value for each class.
fn json_list<T: ToString>(classes: &[Class], value: impl Fn(&Class) -> T) -> String {
    let values: Vec<String> = classes.iter().map(|class| value(class).to_string()).collect();
    format!("[{}]", values.join(", "))
}

fn class_json(class: &Class) -> String {
    let Class { effect, group, window, deadline, objective, stream, .. } = class;
    format!(
        r#"{{"effect": "{effect}", "group": "{group}", "window": {window}, "deadline": {deadline},
 "objective": {objective}, "aim_stretch": 1.6, "late_value": 0.2, "points": 1.0, "stream": {stream}}}"#
    )
}

impl Settings {
    /// Returns the settings as sent to an instance in this zone.
    pub fn json(&self, zone: u8) -> String {
        let Self { family, weights, registry_mode, note_level, bypass_allowed, .. } = self;
        let Self { cancelling, second_copies, retry_after, most_tries, balancers, .. } = self;
        let Self { instances_by_zone, cold_share, warm_within, gone_everywhere, client_kb_per_s, .. } = self;
        let parent_kind = if self.parents { i32::from(PARENT_KIND) } else { -1 };
        let classes = &self.classes;
        let request_classes = json_list(classes, class_json);
        let fresh = json_list(classes, |class| class.fresh);
        let older_by = json_list(classes, |class| class.older_by);
        let worth_when_old = json_list(classes, |class| class.worth_when_old);
        let goes_through = json_list(classes, |class| class.goes_through);
        format!(
            r#"{{"zone": {zone}, "balancers": {balancers}, "family": "{family}", "weights": "{weights}",
 "registry_mode": "{registry_mode}", "unknown": {{"key": [1, null]}},
 "family_info": {{"bypass_allowed": {bypass_allowed}, "client_kb_per_s": {client_kb_per_s:?},
 "root_kind": {ORIGIN_KIND}, "second_tier_kind": {parent_kind}, "parent_floor": 0.07,
 "parent_warms_in": {warm_within}, "parent_breaks_at": 2.0, "gone_everywhere": {gone_everywhere},
 "heed_within": 500000, "note_level": "{note_level}", "instances_by_zone": {instances_by_zone:?},
 "class_fresh": {fresh}, "older_by": {older_by}, "worth_when_old": {worth_when_old},
 "goes_through": {goes_through}}},
 "limits": {{"cancelling": {cancelling}, "second_copies": {second_copies}, "retry_after": {retry_after},
 "max_retry_after": 200000, "most_tries": {most_tries}}},
 "rules": {{"drain_grace": 500000, "cold_share": {cold_share}, "warm_within": {warm_within},
 "overload_factor": 3.0, "overload_for": 1000000}},
 "request_classes": {request_classes}}}"#
        )
    }
}
