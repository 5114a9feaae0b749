//! The settings of a simulated site, and their JSON.

/// A class of requests. Times in microseconds.
#[derive(Clone, Copy)]
pub struct Class {
    pub effect: &'static str,
    pub group: &'static str,
    pub window: u64,
    pub deadline: u64,
    pub objective: u64,
    pub fresh: u64,
    pub older_by: u64,
    pub worth_when_old: f64,
    pub goes_through: bool,
    pub stream: bool,
    /// How often requests are of this class, against the other classes.
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

#[derive(Clone)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub family: &'static str,
    pub weights: &'static str,
    pub registry_mode: &'static str,
    pub note_level: &'static str,
    pub bypass_allowed: bool,
    pub cancelling: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub parents: bool,
    pub most_tries: u32,
    pub balancers: u32,
    pub instances_by_zone: [u32; 3],
    pub cold_share: f64,
    pub warm_within: u64,
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

/// One value for each class, as a JSON list.
fn list<T: ToString>(classes: &[Class], value: impl Fn(&Class) -> T) -> String {
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
    /// The settings as an instance of that zone gets them.
    pub fn json(&self, zone: u8) -> String {
        let Self { family, weights, registry_mode, note_level, bypass_allowed, .. } = self;
        let Self { cancelling, second_copies, retry_after, most_tries, balancers, .. } = self;
        let Self { instances_by_zone, cold_share, warm_within, gone_everywhere, client_kb_per_s, .. } = self;
        let parent_kind = if self.parents { i32::from(PARENT_KIND) } else { -1 };
        let classes = &self.classes;
        let request_classes = list(classes, class_json);
        let fresh = list(classes, |class| class.fresh);
        let older_by = list(classes, |class| class.older_by);
        let worth_when_old = list(classes, |class| class.worth_when_old);
        let goes_through = list(classes, |class| class.goes_through);
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
