//! Parses the request classes of the deployment.

use std::time::Duration;

use tindoor_extproc::request::RequestClass;

use super::ConfigurationError;
use super::section::{List, Section};

/// The possible values of `effect`: no side effects, side effects that an idempotency key prevents from being
/// repeated, or side effects that must not be repeated.
const EFFECTS: [&str; 3] = ["read_like", KEYED_EFFECT, "non_idempotent"];
const KEYED_EFFECT: &str = "idempotency_key";

fn parse_request_class(section: &Section) -> Result<RequestClass, ConfigurationError> {
    section.number("objective", 1..=u64::MAX)?;
    let default_deadline = Duration::from_micros(section.number("deadline", 1..=u64::MAX)?);
    let effect = section.text("effect")?;
    if !EFFECTS.contains(&effect) {
        return Err(ConfigurationError::new(
            section.path_of("effect"),
            format!("expected one of {EFFECTS:?}, found {effect:?}"),
        ));
    }
    let requires_idempotency_key = effect == KEYED_EFFECT;
    Ok(RequestClass { name: section.text("name")?.to_string(), requires_idempotency_key, default_deadline })
}

/// Parses the list of request classes. The list must not be empty.
pub fn parse_request_classes(list: &List) -> Result<Vec<RequestClass>, ConfigurationError> {
    let classes: Vec<_> =
        list.sections().map(|section| parse_request_class(&section)).collect::<Result<_, _>>()?;
    if classes.is_empty() {
        return Err(ConfigurationError::new(&list.path, "expected at least one request class"));
    }
    Ok(classes)
}
