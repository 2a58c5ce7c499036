//! `magpiewick bench`: what a host costs, beside a bare relay and clients connected straight to a node.

use crate::error::{Error, ExitStatus};
use magpiewick_scenario::{bench, bench_reads, BenchmarkResult};
use std::path::Path;

#[derive(clap::Args)]
pub(crate) struct BenchArguments {
    /// Numbers of nodes
    #[arg(long, value_delimiter = ',', default_values_t = [1, 8, 60])]
    nodes: Vec<usize>,
    /// Requests per second for the latencies; half of the host's throughput otherwise
    #[arg(long)]
    rate: Option<f64>,
    /// Measure large reads to their last byte instead, split and whole
    #[arg(long)]
    reads: bool,
}

/// Measures and prints one line per figure.
pub(crate) fn run(arguments: &BenchArguments) -> Result<ExitStatus, Error> {
    let program = std::env::current_exe()?;
    if arguments.reads {
        print_reads(&program, &arguments.nodes)?;
    } else {
        print_requests(&bench(&program, &arguments.nodes, arguments.rate)?);
    }
    Ok(ExitStatus::Success)
}

fn print_reads(program: &Path, nodes: &[usize]) -> Result<(), Error> {
    for measured in bench_reads(program, nodes)? {
        let split = if measured.split { "cut" } else { "whole" };
        let health = if measured.slow { "one slow" } else { "all well" };
        println!(
            "{:>3} nodes, {split:5}, {health}: p50 {}, p99 {}",
            measured.nodes,
            with_spread(measured.p50_ms, 1),
            with_spread(measured.p99_ms, 1)
        );
    }
    Ok(())
}

fn print_requests(all: &[BenchmarkResult]) {
    println!(
        "{:9} {:>5} {:>24} {:>9} {:>22} {:>22} {:>22} {:>18} {:>24}",
        "way",
        "nodes",
        "most a second",
        "at",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "cpu us a command",
        "MB first, full, after"
    );
    for measured in all {
        println!(
            "{:9} {:>5} {:>24} {:>9.0} {:>22} {:>22} {:>22} {:>18} {:>24}",
            measured.way,
            measured.nodes,
            with_spread(measured.max_a_second, 0),
            measured.rate,
            with_spread(measured.p50_ms, 3),
            with_spread(measured.p99_ms, 3),
            with_spread(measured.p999_ms, 3),
            with_spread(measured.cpu_us, 1),
            measured.memory_mb.map(|mb| format!("{mb:.1}")).join(", ")
        );
    }
}

/// A median with the least and the most of its runs.
fn with_spread([median, least, most]: [f64; 3], decimals: usize) -> String {
    format!("{median:.decimals$} ({least:.decimals$}-{most:.decimals$})")
}
