//! `magpiewick serve`: runs a host, with the emulated services of its settings file.

use crate::error::{Error, ExitStatus};
use crate::logging;
use crate::settings::{self, random_nonzero};
use crate::signals::termination_signals;
use magpiewick_emulator::EmulatorHandle;
use magpiewick_gateway::{Gateway, HostExit};
use magpiewick_scenario::Config;
use magpiewick_transport::Clock;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(clap::Args)]
pub(crate) struct ServeArguments {
    file: PathBuf,
    /// Number of the host; overrides the file
    #[arg(long)]
    number: Option<u32>,
    /// Address on which to accept clients; overrides the file
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// Address of the endpoint list service; overrides the file
    #[arg(long)]
    list: Option<SocketAddr>,
    /// Seed of the random source; overrides the file
    #[arg(long)]
    seed: Option<u64>,
    /// Do not run emulated services
    #[arg(long, alias = "bare")]
    no_emulator: bool,
    /// Do not coalesce requests, even if the file enables coalescing
    #[arg(long, alias = "alone")]
    no_coalescing: bool,
    /// Disable slow start and retry-after, for comparison
    #[arg(long, hide = true)]
    undamped: bool,
}

/// Runs the host until a termination signal arrives.
pub(crate) fn run(arguments: &ServeArguments) -> Result<ExitStatus, Error> {
    let mut settings = settings::read(&arguments.file)?;
    override_settings(&mut settings, arguments);
    logging::start(&settings.host.log);
    let signals = termination_signals()?;
    let services = match settings.emulator.take().filter(|_| !arguments.no_emulator) {
        Some(emulator) => {
            let services = EmulatorHandle::start(emulator, Clock::start(), None)?;
            services.execute(|emulator| emulator.disable_recording());
            settings.host.list_service.address = services.list_address;
            Some(services)
        }
        None => None,
    };
    let gateway = Gateway::bind(settings.host, signals, random_nonzero())?;
    println!("ready {}", gateway.address());
    io::stdout().flush()?;
    let end = gateway.run()?;
    drop(services);
    Ok(match end {
        HostExit::Stopped => ExitStatus::Success,
        HostExit::Abandoned => ExitStatus::RequestsUnanswered,
    })
}

fn override_settings(settings: &mut Config, arguments: &ServeArguments) {
    let host = &mut settings.host;
    if arguments.no_coalescing {
        host.disable_coalescing();
    }
    if arguments.undamped {
        host.disable_overload_damping();
    }
    host.number = arguments.number.unwrap_or(host.number);
    host.listen = arguments.listen.unwrap_or(host.listen);
    host.list_service.address = arguments.list.unwrap_or(host.list_service.address);
    host.scheduler.seed = arguments.seed.unwrap_or(host.scheduler.seed);
}
