//! Why an emulator cannot start or restart its services.

use std::io;
use std::net::SocketAddr;

/// Why an emulator cannot start or restart its services.
#[derive(Debug, thiserror::Error)]
pub enum EmulatorError {
    /// The poller cannot be created.
    #[error("cannot create the poller of the emulator: {source}")]
    CreatePoller {
        /// What went wrong.
        source: io::Error,
    },
    /// A service cannot listen.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address of the service.
        address: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
    /// The thread cannot be started.
    #[error("cannot start the thread of the emulator: {source}")]
    StartThread {
        /// What went wrong.
        source: io::Error,
    },
}

impl From<EmulatorError> for io::Error {
    fn from(error: EmulatorError) -> io::Error {
        io::Error::other(error)
    }
}
