//! What a policy may set: one declaration of each key, by which policies are checked, explained to operators,
//! and applied to the settings of the decision library.

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
    /// While the router runs.
    InService,
    /// Only at a restart with a changed file: something beside the decision library is built from the number.
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

/// What a number stands for.
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

/// The declaration of a key. A name that begins with `offering.*.` stands for one key of each request class,
/// with the class's name in place of the asterisk.
#[derive(Debug)]
pub struct Key {
    /// The name.
    pub name: &'static str,
    /// The setting of the decision library that it stands for; none for what the router itself applies.
    pub setting: Option<Setting>,
    /// What its number stands for.
    pub unit: Unit,
    /// The least number.
    pub min: f64,
    /// The largest number.
    pub max: f64,
    /// When a change takes effect.
    pub applies: Applies,
    /// An explanation for operators.
    pub description: &'static str,
}

/// What keys of request classes begin with.
const CLASS_PREFIX: &str = "offering.";

/// What their declarations begin with.
const ANY_CLASS_PREFIX: &str = "offering.*.";

/// The names of the request classes, in the order of the settings.
pub type RequestClasses<'a> = &'a [String];

/// A declaration, and the index of the request class where the key is one of a class.
#[derive(Clone, Copy, Debug)]
pub struct DeclaredKey {
    /// The declaration.
    pub declaration: &'static Key,
    /// The index of the request class.
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

/// Checks each number against its declaration, and numbers that belong together against each other.
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
    // A copy that is served for longer than purges are remembered could be from before one.
    if let (Some(max_age), Some(remembered)) = (get("fresh_ms"), policy.get("copies_gone_after_ms"))
        && max_age + get("older_by_ms").unwrap_or_default() > remembered
    {
        return Err(PolicyError::CopyOutlivesPurge { class: class.to_string(), remembered });
    }
    Ok(())
}

/// Checks a policy, and that it can replace another one in service.
pub fn check_change(from: &Policy, to: &Policy, classes: RequestClasses) -> Result<(), PolicyError> {
    check(to, classes)?;
    for difference in from.differences(to) {
        let declaration = find(difference.key, classes)?.declaration;
        let key = || difference.key.to_string();
        if declaration.applies == Applies::AtStart {
            return Err(PolicyError::FixedInService { key: key() });
        }
        // A setting of the decision library can't be unset; a key that the router applies can: it then limits
        // nothing.
        if difference.new.is_none() && difference.old.is_some() && declaration.setting.is_some() {
            return Err(PolicyError::SettingRemoved { key: key() });
        }
    }
    Ok(())
}
