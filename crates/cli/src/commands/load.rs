//! `magpiewick load`: offers a file's traffic to a running host.

use crate::arguments::ReportFormat;
use crate::error::{Error, ExitStatus};
use crate::settings;
use magpiewick_scenario::{offer_load, LoadReport};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(clap::Args)]
pub(crate) struct LoadArguments {
    file: PathBuf,
    /// The host; the file's `listen` otherwise
    #[arg(long)]
    host: Option<SocketAddr>,
    /// Requests per second, in place of the file's
    #[arg(long)]
    rate: Option<f64>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, value_enum, default_value_t = ReportFormat::Text)]
    format: ReportFormat,
}

/// Offers the traffic and prints what came of it.
pub(crate) fn run(arguments: &LoadArguments) -> Result<ExitStatus, Error> {
    let mut settings = settings::read(&arguments.file)?;
    let Some(scenario) = &mut settings.scenario else {
        return Err(Error::block_missing(&arguments.file, "traffic"));
    };
    scenario.traffic.rate = arguments.rate.unwrap_or(scenario.traffic.rate);
    // The whole traffic goes to the one host.
    settings.host.scheduler.hosts = 1.0;
    let address = arguments.host.unwrap_or(settings.host.listen);
    let report = offer_load(&settings.host, scenario, address, arguments.seed)?;
    match arguments.format {
        ReportFormat::Json => {
            println!("{}", serde_json::to_string_pretty(&report).map_err(io::Error::from)?);
        }
        ReportFormat::Text => print_text(&report),
    }
    Ok(ExitStatus::Success)
}

fn print_text(report: &LoadReport) {
    println!("offered {:.0}/s, settled {:.0}/s", report.offered_a_second, report.succeeded_a_second);
    println!("settled {}, bounced {}, scrapped {}", report.succeeded, report.rejected, report.failed);
    println!("p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms", report.p50_ms, report.p99_ms, report.p999_ms);
}
