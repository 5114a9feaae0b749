//! Reads the key set file.

use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use anyhow::{Context, Result, bail};
use tindoor_signed_urls::keys::KeySet;

/// The permission bits of all users other than the file's owner.
const OTHERS_PERMISSIONS: u32 = 0o077;

/// Reads the key set. Rejects a file that users other than its owner may access, because its keys are not
/// secret then.
pub fn read_keys(path: &Path) -> Result<KeySet> {
    let file = path.display();
    let mode = std::fs::metadata(path).with_context(|| format!("{file}"))?.permissions().mode();
    if mode & OTHERS_PERMISSIONS != 0 {
        bail!("{file}: accessible to other users (mode {:o}); allow access to its owner only", mode & 0o777);
    }
    let text = std::fs::read(path).with_context(|| format!("{file}"))?;
    KeySet::parse(&text).with_context(|| format!("{file}"))
}
