//! Reads a settings file as a whole, so that all its errors are reported at once.

use magpiewick_hcl_settings::{read_file, SettingsErrors};
use magpiewick_scenario::{read_config, Config};
use std::hash::{BuildHasher, Hasher};
use std::path::Path;

/// Reads the file; a host without a seed of its own gets a fresh one.
pub(crate) fn read(path: &Path) -> Result<Config, SettingsErrors> {
    let settings = read_file(path, |root| read_config(root, fresh_number()))?;
    // A file without the block `host` has that error, so there is a value where there is no error.
    Ok(settings.expect("a file without an error has a host"))
}

/// A random number, other than 0, that no two starts of a process share.
pub(crate) fn fresh_number() -> u64 {
    // The hasher's keys come from the system's random source.
    std::hash::RandomState::new().build_hasher().finish() | 1
}
