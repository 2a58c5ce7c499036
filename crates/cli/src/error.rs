//! Why a subcommand failed, and the exit codes that `docs/operators.md` lists.

use magpiewick_emulator::EmulatorError;
use magpiewick_hcl_settings::SettingsErrors;
use magpiewick_scenario::ScenarioError;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// The exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    Success = 0,
    /// A rule was broken, or a service did not do what it was asked.
    CheckFailed = 1,
    /// The arguments, the settings or the environment are wrong.
    Usage = 2,
    /// The system refused something.
    SystemError = 3,
    /// The host stopped before each request had its final answer.
    RequestsUnanswered = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Why a subcommand could not do its work.
#[derive(Debug, Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Settings(#[from] SettingsErrors),
    #[error("{}: the block {block} is missing; this command needs it", file.display())]
    BlockMissing { file: PathBuf, block: &'static str },
    #[error("{}: no node {number} in the block standin", file.display())]
    NodeUnknown { file: PathBuf, number: u32 },
    /// What the environment or the settings of the platform have wrong.
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
    /// The error for a block that a subcommand needs and the file lacks.
    pub(crate) fn block_missing(file: &Path, block: &'static str) -> Error {
        Error::BlockMissing { file: file.to_path_buf(), block }
    }

    /// The exit code that goes with the error.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Error::Settings(_)
            | Error::BlockMissing { .. }
            | Error::NodeUnknown { .. }
            | Error::PlatformSettings(_) => ExitStatus::Usage,
            Error::Emulator(_) | Error::Scenario(_) | Error::Io(_) => ExitStatus::SystemError,
        }
    }

    /// Prints the error on standard error; what begins with a file's name needs no program name before it.
    pub(crate) fn print(&self) {
        match self {
            Error::Settings(_) | Error::BlockMissing { .. } | Error::NodeUnknown { .. } => {
                eprintln!("{self}")
            }
            _ => eprintln!("magpiewick: {self}"),
        }
    }
}
