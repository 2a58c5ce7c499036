//! `magpiewick relay`: a bare relay, the baseline of `magpiewick bench`.

use crate::error::{Error, ExitStatus};
use std::net::SocketAddr;

/// Relays until the process is stopped.
pub(super) fn run(nodes: &[SocketAddr]) -> Result<ExitStatus, Error> {
    magpiewick_scenario::relay(nodes)?;
    Ok(ExitStatus::Success)
}
