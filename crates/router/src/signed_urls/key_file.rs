//! The file of the key set.

use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use anyhow::{Context, Result, bail};
use tindoor_signed_urls::keys::KeySet;

/// The permission bits of all but the file's owner.
const OTHERS_PERMISSIONS: u32 = 0o077;

/// Reads the key set. A file that others than its owner may read is rejected, as its keys are no secret.
pub fn read_keys(path: &Path) -> Result<KeySet> {
    let file = path.display();
    let mode = std::fs::metadata(path).with_context(|| format!("{file}"))?.permissions().mode();
    if mode & OTHERS_PERMISSIONS != 0 {
        bail!("{file}: others can read it (mode {:o}); allow its owner alone", mode & 0o777);
    }
    let text = std::fs::read(path).with_context(|| format!("{file}"))?;
    KeySet::parse(&text).with_context(|| format!("{file}"))
}
