//! Translates the settings of a deployment, as JSON, into the facts that the decisions know by name.
//! The simulator's adapter and the router on sockets both use it.

use anyhow::{Context, Result, ensure};
use serde_json::Value;
use tindoor::host::{Fact, Facts};

/// Where a setting stands on the wire, and what we call it.
const NAMES: &[(&str, &str)] = &[
    ("/zone", "location"),
    ("/balancers", "routers"),
    ("/rules/drain_grace", "drain_grace"),
    ("/rules/cold_share", "cold_floor"),
    ("/rules/warm_within", "warm_within"),
    ("/rules/overload_factor", "cold_multiple"),
    ("/rules/overload_for", "cold_window"),
    ("/limits/most_tries", "most_dispatches"),
    ("/limits/cancelling", "calling_off"),
    ("/limits/second_copies", "second_copies"),
    ("/limits/retry_after", "come_back_told"),
    ("/limits/max_retry_after", "longest_come_back"),
    ("/family_info/bypass_allowed", "direct"),
    ("/family_info/client_kb_per_s", "client_kb_per_s"),
    ("/family_info/root_kind", "origin_kind"),
    ("/family_info/second_tier_kind", "parent_kind"),
    ("/family_info/parent_floor", "parent_floor"),
    ("/family_info/parent_warms_in", "parent_warm_within"),
    ("/family_info/parent_breaks_at", "parent_multiple"),
    ("/family_info/gone_everywhere", "copies_gone_after"),
    ("/family_info/heed_within", "purge_grace"),
    ("/family_info/note_level", "notes"),
];

/// The same for the settings of one request class.
const CLASS_NAMES: &[(&str, &str)] = &[
    ("deadline", "cut_off"),
    ("objective", "latency_goal"),
    ("aim_stretch", "goal_stretch"),
    ("late_value", "late_share"),
    ("points", "earnings"),
    ("effect", "effect"),
    ("group", "group"),
    ("window", "window"),
];

/// The same for lists of the family with a place for each request class.
const LISTS_BY_CLASS: &[(&str, &str)] = &[
    ("/family_info/class_fresh", "fresh"),
    ("/family_info/older_by", "older_by"),
    ("/family_info/worth_when_old", "old_share"),
    ("/family_info/goes_through", "runs_at_origin"),
];

fn fact(value: &Value) -> Option<Fact> {
    Some(match value {
        Value::Number(number) => Fact::Number(number.as_f64()?),
        Value::Bool(flag) => Fact::Number(f64::from(u8::from(*flag))),
        Value::String(word) => Fact::Word(
            match word.as_str() {
                "read_like" => "repeatable",
                "idempotency_key" => "tagged",
                "non_idempotent" => "once-only",
                "zone" => "location",
                other => other,
            }
            .to_string(),
        ),
        _ => return None,
    })
}

/// Reads settings as JSON text; what is unknown is left out.
pub fn from_text(text: &[u8]) -> Result<Facts> {
    from_json(&serde_json::from_slice(text).context("not JSON")?)
}

/// The same from settings that are parsed already.
pub fn from_json(settings: &Value) -> Result<Facts> {
    ensure!(settings.is_object(), "not a JSON object");
    let classes = settings.get("request_classes").and_then(Value::as_array);
    let classes = classes.context("request_classes is missing")?;
    let mut facts = Facts::new();
    let mut put = |name: String, value: Option<&Value>| {
        if let Some(fact) = value.and_then(fact) {
            facts.insert(name, fact);
        }
    };
    for (place, name) in NAMES {
        put(name.to_string(), settings.pointer(place));
    }
    for (i, class) in classes.iter().enumerate() {
        for (key, name) in CLASS_NAMES {
            put(format!("offering.{i}.{name}"), class.get(key));
        }
        for (place, name) in LISTS_BY_CLASS {
            put(format!("offering.{i}.{name}"), settings.pointer(place).and_then(|list| list.get(i)));
        }
    }
    facts.insert("offerings".to_string(), Fact::Number(classes.len() as f64));
    let asked_for = settings.get("registry_mode").and_then(Value::as_str) == Some("on_request");
    facts.insert("list_on_request".to_string(), Fact::Number(f64::from(u8::from(asked_for))));
    let here = settings.get("zone").and_then(Value::as_u64).unwrap_or_default() as usize;
    let by_zone = settings.pointer("/family_info/instances_by_zone");
    let routers_here = by_zone.and_then(|list| list.get(here)).and_then(fact);
    facts.extend(routers_here.map(|routers| ("routers_here".to_string(), routers)));
    let size_told = settings.get("weights").and_then(Value::as_str) == Some("nominal");
    facts.insert("size_told".to_string(), Fact::Number(f64::from(u8::from(size_told))));
    let fills = settings.get("family").and_then(Value::as_str) == Some("edge");
    facts.insert("fills".to_string(), Fact::Number(f64::from(u8::from(fills))));
    Ok(facts)
}
