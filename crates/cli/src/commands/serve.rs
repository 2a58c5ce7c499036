//! `magpiewick serve`: a host, with the emulated services of its file.

use crate::error::{Error, ExitStatus};
use crate::logging;
use crate::settings::{self, fresh_number};
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
    /// The host's number, in place of the file's
    #[arg(long)]
    number: Option<u32>,
    /// The address for clients, in place of the file's
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// The endpoint list service, in place of the file's
    #[arg(long)]
    list: Option<SocketAddr>,
    /// The seed of the random source, in place of the file's
    #[arg(long)]
    seed: Option<u64>,
    /// Run no emulated services
    #[arg(long, alias = "bare")]
    no_emulator: bool,
    /// Send every request by itself, whatever the file says of merging
    #[arg(long, alias = "alone")]
    no_coalescing: bool,
    /// Switch slow start and retry-after off, for comparison
    #[arg(long, hide = true)]
    undamped: bool,
}

/// Serves until a termination signal.
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
    let gateway = Gateway::bind(settings.host, signals, fresh_number())?;
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
