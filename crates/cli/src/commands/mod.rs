//! Subcommands, one module each.

pub(crate) mod bench;
mod check;
pub(crate) mod extents;
mod list;
pub(crate) mod load;
pub(crate) mod node;
mod platform;
mod relay;
pub(crate) mod scenario;
pub(crate) mod serve;

use crate::arguments::Command;
use crate::error::{Error, ExitStatus};

/// Runs a subcommand and returns its exit status.
pub(crate) fn run(command: Command) -> Result<ExitStatus, Error> {
    match command {
        Command::Serve(arguments) => serve::run(&arguments),
        Command::Check(arguments) => check::run(&arguments.file),
        Command::Node(arguments) => node::run(&arguments),
        Command::List(arguments) => list::run(&arguments.file),
        Command::Scenario(arguments) => scenario::run(&arguments),
        Command::Load(arguments) => load::run(&arguments),
        Command::Bench(arguments) => bench::run(&arguments),
        Command::Extents(arguments) => extents::run(&arguments),
        Command::Platform => platform::run(),
        Command::Relay { nodes } => relay::run(&nodes),
    }
}
