//! `magpiewick platform`: a host on the operators' platform.

use crate::error::{Error, ExitStatus};
use crate::logging;
use magpiewick_gateway::config::LogConfig;
use magpiewick_platform::Fault;

/// Runs the host until it has shut down.
pub fn run() -> Result<ExitStatus, Error> {
    logging::start(&LogConfig::default());
    match magpiewick_platform::run() {
        Ok(()) => Ok(ExitStatus::Success),
        Err(Fault::System(error)) => Err(Error::Io(error)),
        Err(Fault::Told(reason)) => Err(Error::PlatformSettings(reason)),
    }
}
