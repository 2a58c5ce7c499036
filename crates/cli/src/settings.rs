//! Reads a complete settings file, so that all errors in it are reported together.

use magpiewick_hcl_settings::{read_file, SettingsErrors};
use magpiewick_scenario::{read_config, Config};
use std::hash::{BuildHasher, Hasher};
use std::path::Path;

/// Reads the file; a host without a configured seed is assigned a random one.
pub(crate) fn read(path: &Path) -> Result<Config, SettingsErrors> {
    let settings = read_file(path, |root| read_config(root, random_nonzero()))?;
    // A missing block `host` is reported as an error, so a file without errors has a value.
    Ok(settings.expect("a file without an error has a host"))
}

/// Returns a random number other than 0. Two starts of the process return different numbers.
pub(crate) fn random_nonzero() -> u64 {
    // The keys of the hasher are seeded from the random source of the system.
    std::hash::RandomState::new().build_hasher().finish() | 1
}
