//! `magpiewick relay`: runs a plain relay, the baseline of `magpiewick bench`.

use crate::error::{Error, ExitStatus};
use std::net::SocketAddr;

/// Runs the relay until the process is terminated.
pub(super) fn run(nodes: &[SocketAddr]) -> Result<ExitStatus, Error> {
    magpiewick_scenario::relay(nodes)?;
    Ok(ExitStatus::Success)
}
