//! The line of a JSON text at which a key stands, for messages about what it says.

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// The line, from 1, of the value at `path` as messages write it (`settings.request_classes[2].name`); where
/// a part of it is missing, the line where the object ends in which it should stand. None for a text that is
/// no JSON.
pub fn line(text: &[u8], path: &str) -> Option<usize> {
    let steps: Vec<&str> = path.split(['.', '[', ']']).filter(|step| !step.is_empty()).collect();
    // The library says where it stands when a visitor objects: so one objects at the place that is sought.
    let error = At(&steps).deserialize(&mut serde_json::Deserializer::from_slice(text)).err()?;
    (error.is_data() && error.line() > 0).then(|| error.line())
}

struct At<'a>(&'a [&'a str]);

impl<'de> DeserializeSeed<'de> for At<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for At<'_> {
    type Value = ();

    fn expecting(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        out.write_str("the place that is sought")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.0.split_first() else { return Err(A::Error::custom("here")) };
        while let Some(key) = map.next_key::<String>()? {
            if key == *step {
                map.next_value_seed(At(rest))?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Err(A::Error::custom("it should stand here"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.0.split_first() else { return Err(A::Error::custom("here")) };
        let nth = step.parse().unwrap_or(usize::MAX);
        for _ in 0..nth {
            if list.next_element::<IgnoredAny>()?.is_none() {
                return Err(A::Error::custom("it should stand here"));
            }
        }
        list.next_element_seed(At(rest))?;
        Err(A::Error::custom("it should stand here"))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/line_numbers.rs"]
mod stories;
