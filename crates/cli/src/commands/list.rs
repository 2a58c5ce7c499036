//! `magpiewick list`: runs the endpoint list service and all storage nodes of a file as emulated services.

use crate::emulated_services::{self, AnnouncedService};
use crate::error::{Error, ExitStatus};
use crate::settings;
use std::path::Path;

/// Runs the services until a termination signal arrives.
pub(super) fn run(file: &Path) -> Result<ExitStatus, Error> {
    emulated_services::run(settings::read(file)?, file, AnnouncedService::EndpointList)
}
