//! `magpiewick scenario`: runs a scenario on loopback and audits its traffic.

mod report;
mod request_records;

use crate::arguments::ReportFormat;
use crate::error::{Error, ExitStatus};
use crate::{logging, settings};
use magpiewick_scenario::{run_scenario, Rule, RunOptions, ScenarioSettings, SeededDefect};
use std::path::PathBuf;

#[derive(clap::Args)]
pub(crate) struct ScenarioArguments {
    file: PathBuf,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, value_enum, default_value_t = ReportFormat::Text)]
    format: ReportFormat,
    /// Seed a defect, given by the name of the rule that it violates or by its own name, to test the audit
    #[arg(long, alias = "plant", value_parser = parse_defect)]
    defect: Option<SeededDefect>,
    /// Run the scenario a second time without slow start and retry-after, and report both runs
    #[arg(long)]
    undamped: bool,
    /// Write one line for each request and for each final answer to this file
    #[arg(long, alias = "pairs")]
    records: Option<PathBuf>,
}

/// Runs the scenario and prints its report; the exit status reports whether any rule was violated.
pub(crate) fn run(arguments: &ScenarioArguments) -> Result<ExitStatus, Error> {
    let file = &arguments.file;
    let settings = settings::read(file)?;
    let host = &settings.host;
    let Some(emulator) = &settings.emulator else { return Err(Error::block_missing(file, "standin")) };
    let Some(scenario) = &settings.scenario else { return Err(Error::block_missing(file, "traffic")) };
    logging::start(&host.log);
    let program = std::env::current_exe()?;
    let run = |without_overload_protection| {
        let settings = ScenarioSettings { host, emulator, scenario };
        let options =
            RunOptions { seed: arguments.seed, defect: arguments.defect, without_overload_protection };
        run_scenario(&program, file, settings, options)
    };
    let mut report = run(false)?;
    if arguments.undamped {
        report.without_overload_protection = Some(Box::new(run(true)?));
    }
    if let Some(path) = &arguments.records {
        request_records::write(path, &report)?;
    }
    report::print(&report, arguments.format)?;
    Ok(if report.ok { ExitStatus::Success } else { ExitStatus::CheckFailed })
}

fn parse_defect(name: &str) -> Result<SeededDefect, String> {
    let known = Rule::ALL.map(Rule::name).join(", ");
    SeededDefect::from_name(name)
        .ok_or_else(|| format!("expected one of {known}, {}", SeededDefect::OTHER_NAMES))
}
