//! Definition of the command line. Former names of subcommands and flags remain available as aliases.

use crate::commands::{
    bench::BenchArguments, extents::ExtentsArguments, load::LoadArguments, node::NodeArguments,
    scenario::ScenarioArguments, serve::ServeArguments,
};
use clap::{Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Arguments of the program.
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

/// Subcommand to run, with its arguments.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run a host; if the file has a block `standin`, run its emulated services as well
    Serve(ServeArguments),
    /// Check a settings file and report all errors in it
    Check(SettingsFile),
    /// Run one storage node of a file as an emulated service, with the faults that the file defines for the node
    Node(NodeArguments),
    /// Run the endpoint list service and all storage nodes of a file as emulated services
    List(SettingsFile),
    /// Run a scenario on loopback and check all rules by an audit based only on the network traffic
    #[command(alias = "drill")]
    Scenario(ScenarioArguments),
    /// Generate the load that a file defines against a running host
    Load(LoadArguments),
    /// Measure throughput, latency and resource use of a host, a plain relay and direct connections to a node
    Bench(BenchArguments),
    /// Show, migrate or watch extents of a map service, or cancel a migration
    Extents(ExtentsArguments),
    /// Run a host on the operators' platform, configured only through its environment
    Platform,
    /// Run a plain relay, the baseline of `bench`
    #[command(hide = true)]
    Relay { nodes: Vec<SocketAddr> },
}

/// Argument of the subcommands that take only a settings file.
#[derive(clap::Args)]
pub(crate) struct SettingsFile {
    pub file: PathBuf,
}

/// Output format of a report.
#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum ReportFormat {
    Text,
    Json,
}
