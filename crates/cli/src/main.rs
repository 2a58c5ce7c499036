//! Main program of `magpiewick`. `docs/operators.md` describes its subcommands, exit codes and log lines.

mod arguments;
mod commands;
mod emulated_services;
mod error;
mod logging;
mod settings;
mod signals;

use arguments::Arguments;
use clap::Parser;
use error::ExitStatus;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) => {
            // Help and version are not errors. A failure to print is ignored: standard output or error is closed.
            _ = error.print();
            let status = if error.use_stderr() { ExitStatus::Usage } else { ExitStatus::Success };
            return status.into();
        }
    };
    match commands::run(arguments.command) {
        Ok(status) => status.into(),
        Err(error) => {
            error.print();
            error.exit_status().into()
        }
    }
}
