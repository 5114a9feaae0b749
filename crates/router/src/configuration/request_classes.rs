//! Parses the request classes of the deployment.

use std::time::Duration;

use tindoor::settings::Idempotency;
use tindoor_extproc::request::RequestClass;

use super::ConfigurationError;
use super::section::{List, Section};

/// The value of `effect` of a class without side effects.
const READ_LIKE: &str = "read_like";
/// The value of `effect` of a class whose side effects an idempotency key prevents from being repeated.
const KEYED: &str = "idempotency_key";
/// The value of `effect` of a class whose side effects must not be repeated.
const NON_IDEMPOTENT: &str = "non_idempotent";

fn parse_request_class(section: &Section) -> Result<RequestClass, ConfigurationError> {
    section.number("objective", 1..=u64::MAX)?;
    let default_deadline = Duration::from_micros(section.number("deadline", 1..=u64::MAX)?);
    let effect = section.text("effect")?;
    let idempotency = match effect {
        READ_LIKE => Idempotency::Idempotent,
        KEYED => Idempotency::WithKey,
        NON_IDEMPOTENT => Idempotency::NonIdempotent,
        _ => {
            let expected = [READ_LIKE, KEYED, NON_IDEMPOTENT];
            let message = format!("expected one of {expected:?}, found {effect:?}");
            return Err(ConfigurationError::new(section.path_of("effect"), message));
        }
    };
    let name = section.text("name")?.to_string();
    Ok(RequestClass { name, idempotency, default_deadline })
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
