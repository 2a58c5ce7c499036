//! Errors of subcommands, and the exit codes listed in `docs/operators.md`.

use magpiewick_emulator::EmulatorError;
use magpiewick_hcl_settings::SettingsErrors;
use magpiewick_scenario::ScenarioError;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    Success = 0,
    /// A rule was violated, or a service did not carry out the requested action.
    CheckFailed = 1,
    /// The arguments, the settings or the environment are invalid.
    Usage = 2,
    /// A system call failed, or the emulated services or a scenario failed to run.
    SystemError = 3,
    /// The host stopped before every request had received its final answer.
    RequestsUnanswered = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Reason for which a subcommand failed.
#[derive(Debug, Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Settings(#[from] SettingsErrors),
    #[error("{}: the block {block} is missing; this command needs it", file.display())]
    BlockMissing { file: PathBuf, block: &'static str },
    #[error("{}: no node {number} in the block standin", file.display())]
    NodeUnknown { file: PathBuf, number: u32 },
    /// Invalid environment or settings of the platform.
    #[error("{0}")]
    PlatformSettings(String),
    #[error(transparent)]
    Emulator(#[from] EmulatorError),
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl Error {
    /// Returns the error for a required block that is missing from the file.
    pub(crate) fn block_missing(file: &Path, block: &'static str) -> Error {
        Error::BlockMissing { file: file.to_path_buf(), block }
    }

    /// Returns the exit code for the error.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Error::Settings(_)
            | Error::BlockMissing { .. }
            | Error::NodeUnknown { .. }
            | Error::PlatformSettings(_) => ExitStatus::Usage,
            Error::Emulator(_) | Error::Scenario(_) | Error::Io(_) => ExitStatus::SystemError,
        }
    }

    /// Prints the error to standard error. A message that starts with a file name gets no program name as a prefix.
    pub(crate) fn print(&self) {
        match self {
            Error::Settings(_) | Error::BlockMissing { .. } | Error::NodeUnknown { .. } => {
                eprintln!("{self}")
            }
            _ => eprintln!("magpiewick: {self}"),
        }
    }
}
