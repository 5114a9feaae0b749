//! Events of the change stream. This module maps the field names of their JSON to the router's terms.

use serde::Deserialize;

/// A change of the endpoint list, a purge, or both.
#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    /// The sequence number of the event, which is one higher than that of the previous event.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// The changed endpoints. `None` if the event changes none.
    #[serde(rename = "fleet")]
    pub endpoints: Option<EndpointList>,
    /// The objects whose copies are out of date. `None` if the event is not a purge.
    #[serde(rename = "invalidate")]
    pub purge: Option<Purge>,
}

/// A list of endpoints with their current state.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// Whether the list contains all endpoints. If so, endpoints that are not in the list are removed.
    #[serde(default)]
    pub complete: bool,
    /// The endpoints.
    #[serde(rename = "members")]
    pub entries: Vec<EndpointEntry>,
}

/// One endpoint of an [`EndpointList`].
#[derive(Debug, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint's name.
    pub id: String,
    /// The host address and port. The text is not necessarily a valid address.
    #[serde(rename = "host_port")]
    pub address: String,
    /// The name of the location.
    #[serde(rename = "locality", default)]
    pub location: String,
    /// The name of the endpoint kind.
    #[serde(rename = "flavor", default)]
    pub kind: String,
    /// The cell, a failure domain within the location.
    #[serde(default)]
    pub cell: u16,
    /// The phase of the endpoint's lifecycle.
    pub phase: EndpointPhase,
    /// The capacity in relation to the other endpoints.
    #[serde(default)]
    pub size: f32,
    /// When the endpoint started, in Unix milliseconds. 0 if unknown.
    #[serde(rename = "up_since_ms", default)]
    pub started_unix_ms: u64,
}

/// The phase of an endpoint's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum EndpointPhase {
    /// The endpoint accepts requests.
    #[serde(rename = "active")]
    Active,
    /// The endpoint finishes requests in flight and accepts no new ones.
    #[serde(rename = "leaving")]
    Draining,
    /// The endpoint no longer exists.
    #[serde(rename = "left")]
    Removed,
    /// A phase that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A purge of an object or of a purge group.
#[derive(Debug, Deserialize)]
pub struct Purge {
    /// The object's id, as 16 hexadecimal digits. `None` if the purge names no object.
    pub object: Option<String>,
    /// The purge group. `None` if the purge names no group.
    #[serde(rename = "bucket")]
    pub group: Option<u32>,
    /// When the purge was requested, in Unix milliseconds.
    #[serde(rename = "time")]
    pub unix_ms: u64,
}

/// The error for a text that is not an object id, which has 16 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an object id of 16 hexadecimal digits: {0:?}")]
pub struct InvalidObjectId(pub String);

impl Purge {
    /// Returns the id of the purged object. `None` if the purge names no object.
    ///
    /// # Errors
    ///
    /// The object is not 16 hexadecimal digits.
    pub fn object_id(&self) -> Result<Option<u64>, InvalidObjectId> {
        let Some(text) = self.object.as_deref() else { return Ok(None) };
        parse_object_id(text.as_bytes()).map(Some).ok_or_else(|| InvalidObjectId(text.to_string()))
    }
}

/// Parses an object id. `None` if the text is not 16 hexadecimal digits.
pub fn parse_object_id(text: &[u8]) -> Option<u64> {
    if text.len() != 16 || !text.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(text).ok()?, 16).ok()
}
