//! Errors that prevent a scenario, a load or a measurement from completing.

use magpiewick_emulator::EmulatorError;
use std::io;
use std::path::PathBuf;

/// Errors that prevent a scenario, a load or a measurement from completing.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The emulated services cannot start.
    #[error("cannot start the emulated services: {0}")]
    StartEmulator(#[from] EmulatorError),
    /// A process cannot be started.
    #[error("cannot start {program}: {source}")]
    StartProcess {
        /// Path of the program.
        program: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// The first output line of a process does not contain its address.
    #[error("{program} printed {line:?} instead of its address")]
    NoAddress {
        /// Path of the program.
        program: PathBuf,
        /// First line of the output.
        line: String,
    },
    /// A process cannot be signalled.
    #[error("cannot signal process {pid}: {source}")]
    SignalProcess {
        /// Process ID.
        pid: u32,
        /// Underlying error.
        source: io::Error,
    },
    /// Waiting for the end of a process fails.
    #[error("cannot wait for process {pid}: {source}")]
    WaitForProcess {
        /// Process ID.
        pid: u32,
        /// Underlying error.
        source: io::Error,
    },
    /// The processor time and memory of a process cannot be read.
    #[error("cannot read the usage of process {pid}: {source}")]
    ReadUsage {
        /// Process ID.
        pid: u32,
        /// Underlying error.
        source: io::Error,
    },
    /// The clients cannot start.
    #[error("cannot start the clients: {source}")]
    StartClients {
        /// Underlying error.
        source: io::Error,
    },
    /// The thread of the clients panicked.
    #[error("the thread of the clients panicked")]
    ClientsFailed,
    /// The settings of a measurement are invalid.
    #[error("the settings of the measurement are invalid: {0}")]
    InvalidSettings(String),
    /// The settings file of a measurement cannot be written or removed.
    #[error("cannot write or remove {path}: {source}")]
    SettingsFile {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
}

impl From<ScenarioError> for io::Error {
    fn from(error: ScenarioError) -> io::Error {
        io::Error::other(error)
    }
}
