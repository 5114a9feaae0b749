//! The fronts file: listeners for proxies, the fleet and signed URLs, besides the listener for clients.

use std::net::SocketAddr;

use serde::Deserialize;
use tindoor_extproc::request::HeaderNames;

use super::{FleetConfiguration, SignedUrlSettings};

/// The content of the fronts file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fronts {
    /// The listener of the gRPC front, which proxies call for each request.
    #[serde(default)]
    pub external_processing: Option<Front>,
    /// The listener of the plain HTTP front, for proxies that support only HTTP sub-requests.
    #[serde(default)]
    pub call: Option<Front>,
    /// The fleet that this router belongs to.
    #[serde(default)]
    pub fleet: Option<FleetConfiguration>,
    /// The settings of signed URLs, which are checked on the listeners of this file.
    #[serde(default, rename = "links")]
    pub signed_urls: Option<SignedUrlSettings>,
}

/// A listener for proxies.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The names of the headers that carry the fields of a request.
    #[serde(default)]
    pub headers: HeaderNames,
}

/// An error in a fronts file.
#[derive(Debug, thiserror::Error)]
pub enum FrontsError {
    /// A value is missing or invalid.
    #[error("line {line}: {path}: {problem}", line = problem.line())]
    Value {
        /// The path of the value.
        path: String,
        /// What is wrong with the value.
        problem: serde_json::Error,
    },
    /// The JSON object is followed by more text.
    #[error("line {line}: {problem}", line = problem.line())]
    TrailingText {
        /// The parser's error at that text.
        problem: serde_json::Error,
    },
}

impl Fronts {
    /// Parses the text of the file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON, or if a value is missing or invalid.
    pub fn parse(text: &[u8]) -> Result<Self, FrontsError> {
        let mut deserializer = serde_json::Deserializer::from_slice(text);
        let fronts: Self = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            let path = error.path().to_string();
            FrontsError::Value { path, problem: error.into_inner() }
        })?;
        deserializer.end().map_err(|problem| FrontsError::TrailingText { problem })?;
        Ok(fronts)
    }
}
