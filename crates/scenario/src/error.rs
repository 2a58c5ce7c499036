//! Why a scenario, a load or a measurement cannot run to its end.

use magpiewick_emulator::EmulatorError;
use std::io;
use std::path::PathBuf;

/// Why a scenario, a load or a measurement cannot run to its end.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The emulated services cannot start.
    #[error("cannot start the emulated services: {0}")]
    StartEmulator(#[from] EmulatorError),
    /// A process cannot be started.
    #[error("cannot start {program}: {source}")]
    StartProcess {
        /// The program.
        program: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// The first line of a process is not its address.
    #[error("{program} said {line:?} in place of its address")]
    NoAddress {
        /// The program.
        program: PathBuf,
        /// The line.
        line: String,
    },
    /// A process cannot be signalled.
    #[error("cannot signal process {pid}: {source}")]
    SignalProcess {
        /// The process.
        pid: u32,
        /// What went wrong.
        source: io::Error,
    },
    /// The end of a process cannot be waited for.
    #[error("cannot wait for process {pid}: {source}")]
    WaitForProcess {
        /// The process.
        pid: u32,
        /// What went wrong.
        source: io::Error,
    },
    /// The processor time and memory of a process cannot be read.
    #[error("cannot read the usage of process {pid}: {source}")]
    ReadUsage {
        /// The process.
        pid: u32,
        /// What went wrong.
        source: io::Error,
    },
    /// The clients cannot start.
    #[error("cannot start the clients: {source}")]
    StartClients {
        /// What went wrong.
        source: io::Error,
    },
    /// The clients' thread panicked.
    #[error("the clients' thread failed")]
    ClientsFailed,
    /// The settings of a measurement are faulty.
    #[error("the settings of the measurement are faulty: {0}")]
    FaultySettings(String),
    /// The settings file of a measurement cannot be written or removed.
    #[error("cannot write or remove {path}: {source}")]
    SettingsFile {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
}

impl From<ScenarioError> for io::Error {
    fn from(error: ScenarioError) -> io::Error {
        io::Error::other(error)
    }
}
