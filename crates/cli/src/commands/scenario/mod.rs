//! `magpiewick scenario`: runs a scenario on loopback and audits its traffic.

mod report;
mod request_records;

use crate::arguments::ReportFormat;
use crate::error::{Error, ExitStatus};
use crate::{logging, settings};
use magpiewick_scenario::{drill, Planted, Rule};
use std::path::PathBuf;

#[derive(clap::Args)]
pub struct ScenarioArguments {
    file: PathBuf,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, value_enum, default_value_t = ReportFormat::Text)]
    format: ReportFormat,
    /// Seed a defect that breaks this rule, or another promise, to see the audit find it
    #[arg(long, alias = "plant", value_parser = parse_defect)]
    defect: Option<Planted>,
    /// Run it a second time with hosts without slow start and retry-after, and report both
    #[arg(long)]
    undamped: bool,
    /// Write a line for each request, with its one final answer, to this file
    #[arg(long, alias = "pairs")]
    records: Option<PathBuf>,
}

/// Runs the scenario and prints its report; a broken rule shows in the exit status.
pub fn run(arguments: &ScenarioArguments) -> Result<ExitStatus, Error> {
    let file = &arguments.file;
    let settings = settings::read(file)?;
    let host = &settings.host;
    let Some(emulator) = &settings.fleet else { return Err(Error::block_missing(file, "standin")) };
    let Some(scenario) = &settings.drill else { return Err(Error::block_missing(file, "traffic")) };
    logging::start(&host.log);
    let program = std::env::current_exe()?;
    let run = |undamped| {
        drill(&program, file, (host, emulator, scenario), arguments.seed, arguments.defect, undamped)
    };
    let mut report = run(false)?;
    if arguments.undamped {
        report.undamped = Some(Box::new(run(true)?));
    }
    if let Some(path) = &arguments.records {
        request_records::write(path, &report)?;
    }
    report::print(&report, arguments.format)?;
    Ok(if report.ok { ExitStatus::Success } else { ExitStatus::CheckFailed })
}

fn parse_defect(name: &str) -> Result<Planted, String> {
    let known = Rule::ALL.map(Rule::name).join(", ");
    Planted::named(name).ok_or_else(|| format!("expected one of {known}, {}", Planted::OTHERS))
}
