//! Reads the settings of a deployment from JSON into the engine's [`Settings`].
//!
//! Both the simulator adapter and the router use this crate. The JSON keys are the names that operators use;
//! this crate is the only place that maps them to the engine's names.
//!
//! A value that is missing or has the wrong type is treated as not set, and a default applies. If there is no
//! default for the value, reading fails with an [`enum@Error`] that names the key.

use serde_json::Value;
use thiserror::Error;
use tindoor::settings::{
    AttemptSettings, ClassSettings, Idempotency, PurgeSettings, Ramp, RejectionSettings, RetryScope,
    Settings, SlowStartSettings, Topology,
};
use tindoor::time::Span;

/// The reason why settings can't be read.
#[derive(Debug, Error)]
pub enum Error {
    /// The text is not JSON.
    #[error("not JSON")]
    NotJson(#[source] serde_json::Error),
    /// The JSON value is not an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// The list of request classes is missing, or is not a list.
    #[error("request_classes is missing or not a list")]
    NoRequestClasses,
    /// The key is missing, or its value is not a number.
    #[error("{0} is missing or not a number")]
    Missing(String),
}

/// Reads settings from JSON text.
pub fn from_text(text: &[u8]) -> Result<Settings, Error> {
    from_json(&serde_json::from_slice(text).map_err(Error::NotJson)?)
}

/// Reads settings from a JSON value.
pub fn from_json(settings: &Value) -> Result<Settings, Error> {
    let root = Section { value: settings, path: String::new() };
    if !settings.is_object() {
        return Err(Error::NotAnObject);
    }
    let classes = settings.get("request_classes").and_then(Value::as_array);
    let classes = classes.ok_or(Error::NoRequestClasses)?;
    let family = root.section("family_info");
    Ok(Settings {
        topology: topology(&root, &family)?,
        attempts: attempts(&root)?,
        rejection: rejection(&root.section("limits")),
        slow_start: slow_start(&root.section("rules"), &family),
        purges: PurgeSettings {
            copies_gone_after: family.span("gone_everywhere"),
            grace: family.span("heed_within"),
        },
        classes: classes
            .iter()
            .enumerate()
            .map(|(index, value)| class(value, index, &family))
            .collect::<Result<_, _>>()?,
    })
}

fn topology(root: &Section<'_>, family: &Section<'_>) -> Result<Topology, Error> {
    let zone = root.required("zone")?;
    let by_zone = family.list_number("instances_by_zone", zone.max(0.0) as usize);
    Ok(Topology {
        location: zone as u16,
        parent_kind: family.kind("second_tier_kind"),
        origin_kind: family.kind("root_kind"),
        routers: root.count("balancers"),
        routers_in_location: by_zone.map(|count| count as u32),
        bypass_allowed: family.flag("bypass_allowed"),
        caches_fill: root.word("family") == Some("edge"),
        discovery_on_request: root.word("registry_mode") == Some("on_request"),
        capacity_known: root.word("weights") == Some("nominal"),
        client_kb_per_s: family.number("client_kb_per_s").unwrap_or_default(),
        fill_details_reported: family.word("note_level") == Some("all"),
    })
}

fn attempts(root: &Section) -> Result<AttemptSettings, Error> {
    let limits = root.section("limits");
    Ok(AttemptSettings {
        max_attempts: limits.count("most_tries"),
        cancellation: limits.flag("cancelling"),
        hedging: limits.flag("second_copies").unwrap_or(false),
        drain_grace: Span::micros(root.section("rules").required("drain_grace")? as u64),
        follows_new_settings: false,
    })
}

fn rejection(limits: &Section) -> RejectionSettings {
    RejectionSettings {
        retry_after_sent: limits.flag("retry_after"),
        max_retry_after: limits.span("max_retry_after"),
    }
}

fn slow_start(rules: &Section, family: &Section) -> SlowStartSettings {
    SlowStartSettings {
        caches: Ramp {
            initial_share: rules.number("cold_share"),
            duration: rules.span("warm_within"),
            overload_multiple: rules.number("overload_factor"),
        },
        parents: Ramp {
            initial_share: family.number("parent_floor"),
            duration: family.span("parent_warms_in"),
            overload_multiple: family.number("parent_breaks_at"),
        },
        window: rules.span("overload_for"),
    }
}

/// Reads a request class from its own object and from the lists in `family_info`, which have one entry per
/// class.
fn class(value: &Value, index: usize, family: &Section) -> Result<ClassSettings, Error> {
    let class = Section { value, path: format!("request_classes[{index}].") };
    let by_class = |key: &str| family.list_number(key, index);
    let micros = |number: f64| Span::micros(number as u64);
    Ok(ClassSettings {
        latency_objective: micros(class.required("objective")?),
        deadline: micros(class.required("deadline")?),
        objective_stretch: class.number("aim_stretch"),
        priority_weight: class.number("points"),
        late_share: class.number("late_value"),
        stale_share: by_class("worth_when_old"),
        idempotency: idempotency(class.word("effect")),
        retry_scope: retry_scope(class.word("group")),
        retry_window: class.span("window"),
        max_age: by_class("class_fresh").map(micros),
        stale_while_failing: by_class("older_by").map(micros),
        runs_at_origin: by_class("goes_through").is_some_and(|number| number > 0.0),
    })
}

/// Requests with a missing or unknown effect are treated as non-idempotent.
fn idempotency(effect: Option<&str>) -> Idempotency {
    match effect {
        Some("read_like") => Idempotency::Idempotent,
        Some("idempotency_key") => Idempotency::WithKey,
        _ => Idempotency::NonIdempotent,
    }
}

fn retry_scope(group: Option<&str>) -> RetryScope {
    match group {
        Some("all") => RetryScope::Everywhere,
        Some("zone") => RetryScope::Location,
        Some("cell") => RetryScope::Cell,
        _ => RetryScope::Nowhere,
    }
}

/// An object within the settings. A missing object is treated as empty.
struct Section<'a> {
    value: &'a Value,
    /// The path of the object's keys for error messages: empty for the root, else with a trailing dot.
    path: String,
}

impl<'a> Section<'a> {
    fn section(&self, key: &str) -> Section<'a> {
        Section { value: self.value.get(key).unwrap_or(&Value::Null), path: format!("{}{key}.", self.path) }
    }

    /// Returns a number. A boolean is converted to 0 or 1.
    fn number(&self, key: &str) -> Option<f64> {
        number(self.value.get(key)?)
    }

    fn required(&self, key: &str) -> Result<f64, Error> {
        self.number(key).ok_or_else(|| Error::Missing(format!("{}{key}", self.path)))
    }

    fn list_number(&self, key: &str, index: usize) -> Option<f64> {
        number(self.value.get(key)?.get(index)?)
    }

    fn word(&self, key: &str) -> Option<&'a str> {
        self.value.get(key)?.as_str()
    }

    /// Returns a time span, which the settings give in microseconds.
    fn span(&self, key: &str) -> Option<Span> {
        Some(Span::micros(self.number(key)? as u64))
    }

    fn flag(&self, key: &str) -> Option<bool> {
        Some(self.number(key)? > 0.0)
    }

    fn count(&self, key: &str) -> Option<u32> {
        Some(self.number(key)?.ceil() as u32)
    }

    /// Returns an endpoint kind. `None` if the number is not a whole number from 0 to 255.
    fn kind(&self, key: &str) -> Option<u8> {
        let number = self.number(key)?;
        (0..=u8::MAX).find(|kind| f64::from(*kind) == number)
    }
}

fn number(value: &Value) -> Option<f64> {
    match value {
        Value::Number(number) => number.as_f64(),
        Value::Bool(flag) => Some(f64::from(u8::from(*flag))),
        _ => None,
    }
}
