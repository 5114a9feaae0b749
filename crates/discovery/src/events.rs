//! Events of the change stream. Field names of its JSON are mapped to the router's terms here.

use serde::Deserialize;

/// A change of the endpoint list, a purge, or both.
#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    /// The number of the event; each is one higher than the last.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// Changed endpoints.
    #[serde(rename = "fleet")]
    pub endpoints: Option<EndpointList>,
    /// Objects whose copies are out of date.
    #[serde(rename = "invalidate")]
    pub purge: Option<Purge>,
}

/// Endpoints with their present state.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// The list names all endpoints: those that it does not name are removed.
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
    /// Host address and port; may be no address at all.
    #[serde(rename = "host_port")]
    pub address: String,
    /// The location, by its name.
    #[serde(rename = "locality", default)]
    pub location: String,
    /// The kind of endpoint, by its name.
    #[serde(rename = "flavor", default)]
    pub kind: String,
    /// The failure domain within the location.
    #[serde(default)]
    pub cell: u16,
    /// Where it stands in its lifecycle.
    pub phase: EndpointPhase,
    /// Its size in relation to the others.
    #[serde(default)]
    pub size: f32,
    /// When it started, in Unix milliseconds; 0 where that is unknown.
    #[serde(rename = "up_since_ms", default)]
    pub started_unix_ms: u64,
}

/// Where an endpoint stands in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum EndpointPhase {
    /// It takes requests.
    #[serde(rename = "active")]
    Active,
    /// It finishes requests in flight and takes no new ones.
    #[serde(rename = "leaving")]
    Draining,
    /// It is gone.
    #[serde(rename = "left")]
    Removed,
    /// A word that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A purge of an object or of a purge group.
#[derive(Debug, Deserialize)]
pub struct Purge {
    /// The object, as 16 hexadecimal digits.
    pub object: Option<String>,
    /// The purge group.
    #[serde(rename = "bucket")]
    pub group: Option<u32>,
    /// When the purge was made, in Unix milliseconds.
    #[serde(rename = "time")]
    pub unix_ms: u64,
}

/// A text that is no object id: not 16 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an object id: {0:?}")]
pub struct InvalidObjectId(pub String);

impl Purge {
    /// The id of the purged object, if the purge names one.
    ///
    /// # Errors
    ///
    /// The object is not 16 hexadecimal digits.
    pub fn object_id(&self) -> Result<Option<u64>, InvalidObjectId> {
        let Some(text) = self.object.as_deref() else { return Ok(None) };
        parse_object_id(text.as_bytes()).map(Some).ok_or_else(|| InvalidObjectId(text.to_string()))
    }
}

/// Parses an object id of 16 hexadecimal digits.
pub fn parse_object_id(text: &[u8]) -> Option<u64> {
    if text.len() != 16 || !text.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(text).ok()?, 16).ok()
}
