//! Decoding of lists with a bound on their length.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// The maximum number of items of a list in a message between routers. No list of a well-formed message is as long: the
/// longest has an item for each member or for each recent log entry.
pub const MAX_ITEMS: usize = 8192;

/// Decodes a list of at most [`MAX_ITEMS`] items: items may take far more memory than their encoding.
///
/// For `#[serde(deserialize_with = "...")]`.
///
/// # Errors
///
/// An item can't be decoded, or there are too many.
pub fn bounded_vec<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<Vec<T>, D::Error> {
    deserializer.deserialize_seq(BoundedVisitor(PhantomData))
}

struct BoundedVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for BoundedVisitor<T> {
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "at most {MAX_ITEMS} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Vec<T>, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            if list.len() >= MAX_ITEMS {
                return Err(A::Error::invalid_length(list.len() + 1, &self));
            }
            list.push(item);
        }
        Ok(list)
    }
}
