//! `magpiewick list`: a file's endpoint list service and all its nodes as emulated services.

use crate::emulated_services::{self, Announced};
use crate::error::{Error, ExitStatus};
use crate::settings;
use std::path::Path;

/// Runs the services until a termination signal.
pub(super) fn run(file: &Path) -> Result<ExitStatus, Error> {
    emulated_services::run(settings::read(file)?, file, Announced::EndpointList)
}
