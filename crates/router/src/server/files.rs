//! Loads the files named on the command line.

use std::ffi::OsStr;

use anyhow::{Context, Result};

use crate::configuration::{Configuration, Fronts, line_of_value};
use crate::operator::command_line::Files;

/// The contents of the files that a start reads.
pub struct LoadedFiles {
    /// The router's configuration.
    pub configuration: Configuration,
    /// The fronts file; empty if none is given.
    pub fronts: Fronts,
}

/// Loads the configuration and the fronts file.
pub fn load_files(files: &Files) -> Result<LoadedFiles> {
    let path =
        files.configuration().context("no configuration: give its file as an argument or in PROXY_CONFIG")?;
    let configuration = load_configuration(&path)?;
    let fronts = match &files.fronts {
        Some(path) => {
            let file = || format!("fronts {}", path.display());
            let text = std::fs::read(path).with_context(file)?;
            Fronts::parse(&text).with_context(file)?
        }
        None => Fronts::default(),
    };
    Ok(LoadedFiles { configuration, fronts })
}

/// Loads the configuration. Errors name the file and, for an invalid value, its line and key.
pub fn load_configuration(path: &OsStr) -> Result<Configuration> {
    let file = path.display();
    let text = std::fs::read(path).with_context(|| format!("configuration {file}"))?;
    Configuration::parse(&text, descriptors_allowed()).map_err(|error| {
        let context = match line_of_value(&text, &error.path) {
            Some(line) => format!("configuration {file}: line {line}"),
            None => format!("configuration {file}"),
        };
        anyhow::Error::new(error).context(context)
    })
}

/// Returns the number of file descriptors that the system allows this process.
fn descriptors_allowed() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.and_then(|count| usize::try_from(count).ok()).unwrap_or(usize::MAX)
}
