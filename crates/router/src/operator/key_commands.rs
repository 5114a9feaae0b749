//! Runs the subcommands for the key sets of signed URLs.

use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use anyhow::{Context, Result};
use tindoor_signed_urls::{key_set_editor, keys as key_sets};

use super::command_line::{Algorithm, KeyCommand, NewKey};
use super::unix_time::unix_seconds;
use crate::signed_urls::read_keys;

/// The file mode of a key set: read and write access for the owner only.
const OWNER_ONLY: u32 = 0o600;

const SECONDS_PER_DAY: u64 = 86_400;

/// Runs a `tindoor keys` subcommand.
pub fn run(command: KeyCommand) -> Result<()> {
    match command {
        KeyCommand::New(key) => add(&key),
        KeyCommand::Rotate { key, overlap } => {
            let old = std::fs::read(&key.file).with_context(|| format!("{}", key.file.display()))?;
            replace_file(&key.file, &key_set_editor::rotate(&old, new_key(&key)?, unix_seconds(), overlap)?)
        }
        KeyCommand::List { file } => list(&file),
    }
}

fn add(key: &NewKey) -> Result<()> {
    let old = match std::fs::read(&key.file) {
        Ok(text) => Some(text),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
        Err(error) => return Err(error).with_context(|| format!("{}", key.file.display())),
    };
    replace_file(&key.file, &key_set_editor::add_key(old.as_deref(), new_key(key)?)?)
}

fn new_key(key: &NewKey) -> Result<serde_json::Value> {
    let algorithm = match key.algorithm {
        Algorithm::Hs256 => key_sets::Algorithm::Hs256,
        Algorithm::Eddsa => key_sets::Algorithm::EdDsa,
    };
    let now = unix_seconds();
    let valid_until =
        key.days.map_or(u64::MAX, |days| now.saturating_add(days.saturating_mul(SECONDS_PER_DAY)));
    key_set_editor::new_key(&key.id, algorithm, now, valid_until)
        .context("failed to get random numbers from the system")
}

/// Replaces a file atomically and restricts access to its owner. A router that reads the file at the same
/// time reads either the old or the new content.
fn replace_file(path: &Path, text: &str) -> Result<()> {
    let temporary = path.with_extension("new");
    let mut options = std::fs::OpenOptions::new();
    let file = options.write(true).create_new(true).mode(OWNER_ONLY).open(&temporary);
    let mut file = file.with_context(|| {
        format!("failed to create {}; remove it if an interrupted command left it", temporary.display())
    })?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&temporary, path).with_context(|| format!("{}", path.display()))
}

fn list(file: &Path) -> Result<()> {
    let now = unix_seconds();
    for key in read_keys(file)?.iter() {
        let usage = if key.can_sign { "signs" } else { "checks" };
        let validity = if key.is_valid_at(now) { "holds" } else { "does not hold now" };
        let until = if key.valid_until == u64::MAX { "-".to_string() } else { key.valid_until.to_string() };
        println!("{}\t{}\t{usage}\t{}\t{until}\t{validity}", key.id, key.algorithm.name(), key.valid_from);
    }
    Ok(())
}
