//! Our own file: the fronts beside the platform's, and where they listen. Nothing in it decides anything.

use std::net::SocketAddr;

use anyhow::{Result, anyhow};
use serde::Deserialize;
use tindoor_extproc::ask::Names;

use crate::signed_urls::Told;

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fronts {
    #[serde(default)]
    pub external_processing: Option<Front>,
    #[serde(default)]
    pub call: Option<Front>,
    /// The fleet that this router belongs to.
    #[serde(default)]
    pub fleet: Option<crate::fleet::Told>,
    /// Links that are checked on the fronts of this file.
    #[serde(default)]
    pub links: Option<Told>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    pub listen: SocketAddr,
    /// Which headers say what.
    #[serde(default)]
    pub headers: Names,
}

/// Reads the file from its JSON text; an error names the line and the key at fault.
pub fn read(text: &[u8]) -> Result<Fronts> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let fronts: Fronts = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let (path, inner) = (error.path().to_string(), error.into_inner());
        anyhow!("line {}: {path}: {inner}", inner.line())
    })?;
    reader.end().map_err(|error| anyhow!("line {}: {error}", error.line()))?;
    Ok(fronts)
}
