//! Typed access to the values of a JSON file. Each error contains the path of the value.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde_json::Value;

use super::ConfigurationError;

type Result<T> = std::result::Result<T, ConfigurationError>;

/// A value in the file and its path.
pub struct Section<'a> {
    /// The value; null if it is missing.
    pub value: &'a Value,
    /// The path of the value, for error messages.
    pub path: String,
}

/// A list in the file and its path.
pub struct List<'a> {
    /// The items.
    pub items: &'a [Value],
    /// The path of the list, for error messages.
    pub path: String,
}

impl<'a> List<'a> {
    /// Returns each item with its path.
    pub fn sections(&self) -> impl Iterator<Item = Section<'a>> {
        let path = self.path.clone();
        let items = self.items.iter().enumerate();
        items.map(move |(index, value)| Section { value, path: format!("{path}[{index}]") })
    }
}

impl<'a> Section<'a> {
    /// Returns the path of the value at this key.
    pub fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) }
    }

    /// Returns the value at this key; `None` if it is missing or null.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    fn error(&self, key: &str, problem: impl Into<String>) -> ConfigurationError {
        ConfigurationError::new(self.path_of(key), problem)
    }

    fn required(&self, key: &str) -> Result<&'a Value> {
        self.get(key).ok_or_else(|| self.error(key, "missing"))
    }

    /// Returns the object at this key.
    pub fn object(&self, key: &str) -> Result<Section<'a>> {
        let value = self.required(key)?;
        if !value.is_object() {
            return Err(self.error(key, "expected an object"));
        }
        Ok(Section { value, path: self.path_of(key) })
    }

    /// Returns the object at this key, or an empty section if it is missing.
    pub fn optional_object(&self, key: &str) -> Result<Section<'a>> {
        match self.get(key) {
            Some(_) => self.object(key),
            None => Ok(Section { value: &Value::Null, path: self.path_of(key) }),
        }
    }

    /// Returns the non-empty string at this key.
    pub fn text(&self, key: &str) -> Result<&'a str> {
        let text = self.required(key)?.as_str().filter(|text| !text.is_empty());
        text.ok_or_else(|| self.error(key, "expected a non-empty string"))
    }

    /// Returns the list at this key.
    pub fn list(&self, key: &str) -> Result<List<'a>> {
        let items = self.required(key)?.as_array().ok_or_else(|| self.error(key, "expected a list"))?;
        Ok(List { items, path: self.path_of(key) })
    }

    /// Returns the list of strings at this key.
    pub fn texts(&self, key: &str) -> Result<Vec<String>> {
        let mut texts = Vec::new();
        for item in self.list(key)?.sections() {
            let text = item.value.as_str().ok_or(ConfigurationError::new(item.path, "expected a string"))?;
            texts.push(text.to_string());
        }
        Ok(texts)
    }

    /// Returns the number at this key, rounded down to a whole number. It must be in `range`.
    pub fn number(&self, key: &str, range: RangeInclusive<u64>) -> Result<u64> {
        self.optional_number(key, range)?.ok_or_else(|| self.error(key, "missing"))
    }

    /// Returns the number at this key, rounded down to a whole number, or `default` if the key is missing. A
    /// number in the file must be in `range`.
    pub fn number_or(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> Result<u64> {
        Ok(self.optional_number(key, range)?.unwrap_or(default))
    }

    fn optional_number(&self, key: &str, range: RangeInclusive<u64>) -> Result<Option<u64>> {
        let Some(value) = self.get(key) else { return Ok(None) };
        let number = value.as_f64().filter(|number| *number >= 0.0);
        let number = number.ok_or_else(|| self.error(key, "expected a number that is not negative"))? as u64;
        if !range.contains(&number) {
            let problem = format!("expected {} to {}, found {number}", range.start(), range.end());
            return Err(self.error(key, problem));
        }
        Ok(Some(number))
    }

    /// Returns the IP address and port at this key.
    pub fn address(&self, key: &str) -> Result<SocketAddr> {
        let text = self.text(key)?;
        text.parse().map_err(|_| self.error(key, format!("{text:?} is no address with a port")))
    }
}
