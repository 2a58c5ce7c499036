//! Errors that prevent an emulator from starting or restarting its services.

use std::io;
use std::net::SocketAddr;

/// Errors that prevent an emulator from starting or restarting its services.
#[derive(Debug, thiserror::Error)]
pub enum EmulatorError {
    /// The poller cannot be created.
    #[error("cannot create the poller of the emulator: {source}")]
    CreatePoller {
        /// Underlying error.
        source: io::Error,
    },
    /// A service cannot listen.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address of the service.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The thread cannot be started.
    #[error("cannot start the thread of the emulator: {source}")]
    StartThread {
        /// Underlying error.
        source: io::Error,
    },
}

impl From<EmulatorError> for io::Error {
    fn from(error: EmulatorError) -> io::Error {
        io::Error::other(error)
    }
}
