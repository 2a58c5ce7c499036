//! Reads a settings file as a whole, so that all its faults are told at once.

use magpiewick_hcl_settings::{read_file, Faults};
use magpiewick_scenario::{read_config, Config};
use std::path::Path;

pub fn read(path: &Path, seed: u64) -> Result<Config, Faults> {
    // A file without its block host has that fault, so a sheet is there where no fault is.
    read_file(path, |root| read_config(root, seed)).map(|config| config.expect("a sheet without a fault"))
}
