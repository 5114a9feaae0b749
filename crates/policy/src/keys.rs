//! The keys that a policy may set. Each key has one declaration, which is used to check policies, to explain
//! keys to operators, and to apply policies to the settings of the decision library.

mod error;
mod setting;
mod table;

pub use error::PolicyError;
pub use setting::{Setting, apply_to_settings, from_settings};
pub use table::KEYS;

use std::fmt;

use crate::Policy;

/// When a change of a key takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applies {
    /// The change takes effect while the router runs.
    InService,
    /// The change takes effect only at a restart with a changed configuration file, because components
    /// outside the decision library are built from the number.
    AtStart,
}

impl fmt::Display for Applies {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::InService => "InService",
            Self::AtStart => "AtStart",
        })
    }
}

/// The unit of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// A time in milliseconds.
    Milliseconds,
    /// 0 or 1.
    Flag,
    /// A whole number.
    Count,
    /// Any number.
    Number,
}

impl Unit {
    fn is_whole(self) -> bool {
        matches!(self, Self::Count | Self::Flag)
    }
}

impl fmt::Display for Unit {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Milliseconds => "Ms",
            Self::Flag => "Flag",
            Self::Count => "Count",
            Self::Number => "Number",
        })
    }
}

/// The declaration of a key. A name that begins with `offering.*.` declares one key for each request class,
/// with the name of the class in place of the asterisk.
#[derive(Debug)]
pub struct Key {
    /// The name of the key.
    pub name: &'static str,
    /// The setting of the decision library that the key sets; `None` if the router itself applies the key.
    pub setting: Option<Setting>,
    /// The unit of the key's number.
    pub unit: Unit,
    /// The minimum number, inclusive.
    pub min: f64,
    /// The maximum number, inclusive.
    pub max: f64,
    /// When a change of the key takes effect.
    pub applies: Applies,
    /// An explanation for operators.
    pub description: &'static str,
}

/// The prefix of the keys of request classes.
const CLASS_PREFIX: &str = "offering.";

/// The prefix of the declared names of these keys; the asterisk stands for the name of the class.
const ANY_CLASS_PREFIX: &str = "offering.*.";

/// The names of the request classes, in the order of the settings.
pub type RequestClasses<'a> = &'a [String];

/// The declaration of a key, with the request class for a key of a request class.
#[derive(Clone, Copy, Debug)]
pub struct DeclaredKey {
    /// The declaration.
    pub declaration: &'static Key,
    /// The index of the request class; `None` if the key is not one of a request class.
    pub class: Option<usize>,
}

/// Finds the declaration of a key.
pub fn find(name: &str, classes: RequestClasses) -> Result<DeclaredKey, PolicyError> {
    let unknown_key = || PolicyError::UnknownKey { key: name.to_string() };
    let Some(rest) = name.strip_prefix(CLASS_PREFIX) else {
        let declaration = KEYS.iter().find(|key| key.name == name).ok_or_else(unknown_key)?;
        return Ok(DeclaredKey { declaration, class: None });
    };
    let (class, key_of_class) = rest.rsplit_once('.').ok_or_else(unknown_key)?;
    let Some(index) = classes.iter().position(|known| known == class) else {
        return Err(PolicyError::UnknownClass { key: name.to_string(), class: class.to_string() });
    };
    let declaration = KEYS.iter().find(|key| key.name.strip_prefix(ANY_CLASS_PREFIX) == Some(key_of_class));
    Ok(DeclaredKey { declaration: declaration.ok_or_else(unknown_key)?, class: Some(index) })
}

/// Checks each number against its declaration, and related numbers against each other.
pub fn check(policy: &Policy, classes: RequestClasses) -> Result<(), PolicyError> {
    for (name, number) in &policy.0 {
        check_number(name, *number, find(name, classes)?.declaration)?;
    }
    for class in classes {
        check_class(policy, class)?;
    }
    crate::budgets::check(policy)
}

fn check_number(name: &str, number: f64, declaration: &Key) -> Result<(), PolicyError> {
    let Key { min, max, unit, .. } = *declaration;
    let key = || name.to_string();
    if !number.is_finite() || !(min..=max).contains(&number) {
        return Err(PolicyError::OutOfRange { key: key(), number, min, max });
    }
    if unit.is_whole() && number.fract() != 0.0 {
        return Err(PolicyError::NotWhole { key: key(), number });
    }
    Ok(())
}

/// Checks the numbers of a request class against each other.
fn check_class(policy: &Policy, class: &str) -> Result<(), PolicyError> {
    let get = |key: &str| policy.get(&format!("{CLASS_PREFIX}{class}.{key}"));
    if let (Some(objective), Some(deadline)) = (get("latency_goal_ms"), get("cut_off_ms"))
        && objective > deadline
    {
        return Err(PolicyError::ObjectiveOverDeadline { class: class.to_string(), objective, deadline });
    }
    // A copy that may be served for longer than purges are remembered could predate a forgotten purge.
    if let (Some(max_age), Some(remembered)) = (get("fresh_ms"), policy.get("copies_gone_after_ms")) {
        let max_served_age = max_age + get("older_by_ms").unwrap_or_default();
        if max_served_age > remembered {
            let class = class.to_string();
            return Err(PolicyError::CopyOutlivesPurge { class, max_served_age, remembered });
        }
    }
    Ok(())
}

/// Checks that the policy `to` is valid, and that it can replace `from` while routers run.
pub fn check_change(from: &Policy, to: &Policy, classes: RequestClasses) -> Result<(), PolicyError> {
    check(to, classes)?;
    for difference in from.differences(to) {
        let declaration = find(difference.key, classes)?.declaration;
        let key = || difference.key.to_string();
        if declaration.applies == Applies::AtStart {
            return Err(PolicyError::FixedInService { key: key() });
        }
        // A setting of the decision library can't be unset. A key that the router applies can be removed; it
        // then sets no limit.
        if difference.new.is_none() && difference.old.is_some() && declaration.setting.is_some() {
            return Err(PolicyError::SettingRemoved { key: key() });
        }
    }
    Ok(())
}
