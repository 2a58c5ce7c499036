//! `magpiewick check`: reads a settings file and reports all its errors.

use crate::error::{Error, ExitStatus};
use crate::settings;
use std::path::Path;

/// Reads the file; errors in it end the subcommand with their list.
pub(super) fn run(file: &Path) -> Result<ExitStatus, Error> {
    let host = settings::read(file)?.host;
    println!(
        "{}: good; {} bands, {} plans, {} volumes",
        file.display(),
        host.scheduler.classes.len(),
        host.scheduler.policies.len(),
        host.volumes.len()
    );
    Ok(ExitStatus::Success)
}
