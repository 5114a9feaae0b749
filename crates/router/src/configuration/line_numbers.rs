//! Finds the line number of a value in a JSON text, for error messages.

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// Returns the line number, counted from 1, of the value at `path` (such as
/// `settings.request_classes[2].name`). If a part of the path is missing, returns the line on which the
/// enclosing object or list ends. `None` if the text is not JSON.
pub fn line_of_value(text: &[u8], path: &str) -> Option<usize> {
    let steps: Vec<&str> = path.split(['.', '[', ']']).filter(|step| !step.is_empty()).collect();
    // serde_json reports the line at which a visitor fails, so the visitor fails deliberately at the value.
    let error = PathVisitor(&steps).deserialize(&mut serde_json::Deserializer::from_slice(text)).err()?;
    (error.is_data() && error.line() > 0).then(|| error.line())
}

/// Follows the remaining steps of a path into nested values, and fails at the last one.
struct PathVisitor<'a>(&'a [&'a str]);

impl<'de> DeserializeSeed<'de> for PathVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for PathVisitor<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str("the value of the path")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.0.split_first() else { return Err(A::Error::custom("found")) };
        while let Some(key) = map.next_key::<String>()? {
            if key == *step {
                map.next_value_seed(PathVisitor(rest))?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Err(A::Error::custom("missing"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.0.split_first() else { return Err(A::Error::custom("found")) };
        let index = step.parse().unwrap_or(usize::MAX);
        for _ in 0..index {
            if list.next_element::<IgnoredAny>()?.is_none() {
                return Err(A::Error::custom("missing"));
            }
        }
        list.next_element_seed(PathVisitor(rest))?;
        Err(A::Error::custom("missing"))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/line_numbers.rs"]
mod tests;
