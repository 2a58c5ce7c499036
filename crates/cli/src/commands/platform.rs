//! `magpiewick platform`: runs a host on the operators' platform.

use crate::error::{Error, ExitStatus};
use crate::logging;
use magpiewick_gateway::config::LogConfig;

/// Runs the host until it has shut down.
pub(super) fn run() -> Result<ExitStatus, Error> {
    logging::start(&LogConfig::default());
    match magpiewick_platform::run() {
        Ok(()) => Ok(ExitStatus::Success),
        Err(magpiewick_platform::Error::System(error)) => Err(Error::Io(error)),
        Err(magpiewick_platform::Error::Config(error)) => Err(Error::PlatformSettings(error.to_string())),
    }
}
