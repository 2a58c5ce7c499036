//! The command line. Former names of subcommands and flags stay as aliases.

use crate::commands::{
    bench::BenchArguments, extents::ExtentsArguments, load::LoadArguments, node::NodeArguments,
    scenario::ScenarioArguments, serve::ServeArguments,
};
use clap::{Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The whole command line.
#[derive(Parser)]
#[command(
    name = "magpiewick",
    version,
    about = "A storage gateway: schedules a host's reads and writes over storage nodes"
)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

/// One subcommand with its arguments.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run a host; with a block `standin` in the file, its emulated services run with it
    Serve(ServeArguments),
    /// Check a settings file; all its errors are reported at once
    Check(SettingsFile),
    /// Run one of a file's storage nodes as an emulated service, with the faults that the file has for it
    Node(NodeArguments),
    /// Run a file's endpoint list service and all its nodes as emulated services
    List(SettingsFile),
    /// Run a scenario on loopback and audit the seven rules from the traffic alone
    #[command(alias = "drill")]
    Scenario(ScenarioArguments),
    /// Offer a file's traffic to a running host
    Load(LoadArguments),
    /// Measure what a host costs, against a bare relay and against clients connected straight to a node
    Bench(BenchArguments),
    /// Show, migrate or watch extents at a map service, or cancel a migration
    Extents(ExtentsArguments),
    /// Run a host on the operators' platform, configured by its environment alone
    Platform,
    /// Run a bare relay, as the baseline of `bench`
    #[command(hide = true)]
    Relay { nodes: Vec<SocketAddr> },
}

/// The argument of subcommands that take a settings file and nothing else.
#[derive(clap::Args)]
pub(crate) struct SettingsFile {
    pub file: PathBuf,
}

/// The form in which a report is printed.
#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum ReportFormat {
    Text,
    Json,
}
