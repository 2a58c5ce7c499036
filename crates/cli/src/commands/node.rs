//! `magpiewick node`: runs one storage node of a file as an emulated service.

use crate::emulated_services::{self, AnnouncedService};
use crate::error::{Error, ExitStatus};
use crate::settings;
use std::path::PathBuf;

#[derive(clap::Args)]
pub(crate) struct NodeArguments {
    file: PathBuf,
    /// Number of the node
    #[arg(long)]
    number: u32,
}

/// Runs the node until a termination signal arrives.
pub(crate) fn run(arguments: &NodeArguments) -> Result<ExitStatus, Error> {
    let NodeArguments { file, number } = arguments;
    let mut settings = settings::read(file)?;
    let Some(emulator) = &mut settings.emulator else { return Err(Error::block_missing(file, "standin")) };
    emulator.nodes.retain(|node| node.number == *number);
    if emulator.nodes.is_empty() {
        return Err(Error::NodeUnknown { file: file.clone(), number: *number });
    }
    emulated_services::run(settings, file, AnnouncedService::FirstNode)
}
