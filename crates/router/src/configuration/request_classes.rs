//! Request classes of the deployment.

use std::time::Duration;

use super::ConfigurationError;
use super::section::{List, Section};

/// A request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name, as clients and endpoints know it.
    pub name: String,
    /// Whether and how its requests may run twice.
    pub idempotency: Idempotency,
    /// Time within which a request is to be answered.
    pub deadline: Duration,
}

/// Whether a request may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It may be sent again with the same idempotency key.
    WithKey,
    /// It must not run twice.
    NonIdempotent,
}

impl RequestClass {
    /// Whether requests have to carry an idempotency key.
    pub fn requires_idempotency_key(&self) -> bool {
        self.idempotency == Idempotency::WithKey
    }

    fn parse(section: &Section) -> Result<Self, ConfigurationError> {
        section.number("objective", 1..=u64::MAX)?;
        let deadline = Duration::from_micros(section.number("deadline", 1..=u64::MAX)?);
        let idempotency = match section.text("effect")? {
            "read_like" => Idempotency::Idempotent,
            "idempotency_key" => Idempotency::WithKey,
            "non_idempotent" => Idempotency::NonIdempotent,
            unknown => {
                let problem = format!("{unknown:?} is not known");
                return Err(ConfigurationError::new(section.path_of("effect"), problem));
            }
        };
        Ok(Self { name: section.text("name")?.to_string(), idempotency, deadline })
    }
}

/// Parses the list of request classes, which has at least one.
pub fn parse_request_classes(list: &List) -> Result<Vec<RequestClass>, ConfigurationError> {
    let classes: Vec<_> =
        list.sections().map(|section| RequestClass::parse(&section)).collect::<Result<_, _>>()?;
    if classes.is_empty() {
        return Err(ConfigurationError::new(&list.path, "empty"));
    }
    Ok(classes)
}
