//! The fronts file: what this router offers besides the listener for clients.

use std::net::SocketAddr;

use serde::Deserialize;
use tindoor_extproc::request::HeaderNames;

use super::{FleetConfiguration, SignedUrlSettings};

/// The content of the fronts file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fronts {
    /// The external processor that proxies call over gRPC.
    #[serde(default)]
    pub external_processing: Option<Front>,
    /// The plain HTTP interface for proxies that know sub-requests only.
    #[serde(default)]
    pub call: Option<Front>,
    /// The fleet that this router belongs to.
    #[serde(default)]
    pub fleet: Option<FleetConfiguration>,
    /// Signed URLs that are checked on the fronts of this file.
    #[serde(default, rename = "links")]
    pub signed_urls: Option<SignedUrlSettings>,
}

/// One listener for proxies.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// Where proxies connect.
    pub listen: SocketAddr,
    /// The names of the headers that carry a request's fields.
    #[serde(default)]
    pub headers: HeaderNames,
}

/// What is wrong with a fronts file.
#[derive(Debug, thiserror::Error)]
pub enum FrontsError {
    /// A value can't be used.
    #[error("line {line}: {path}: {problem}", line = problem.line())]
    Value {
        /// The path of the value.
        path: String,
        /// What is wrong with it.
        problem: serde_json::Error,
    },
    /// There is more behind the JSON object.
    #[error("line {line}: {problem}", line = problem.line())]
    TrailingText {
        /// What is wrong with it.
        problem: serde_json::Error,
    },
}

impl Fronts {
    /// Parses the file's text.
    ///
    /// # Errors
    ///
    /// The text is not JSON, or a value can't be used.
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
