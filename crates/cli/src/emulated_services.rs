//! Runs the emulated endpoint list service and storage nodes of a settings file until a termination signal.

use crate::error::{Error, ExitStatus};
use crate::logging;
use crate::signals::termination_signals;
use magpiewick_emulator::{play_script, EmulatorHandle};
use magpiewick_scenario::Config;
use magpiewick_transport::Clock;
use std::io::{self, Read, Write};
use std::path::Path;

/// The service whose address is printed once all are ready.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Announced {
    EndpointList,
    FirstNode,
}

/// Runs the services with the file's faults. Its nodes keep no record of their attempts: nobody will audit them.
pub(crate) fn run(settings: Config, file: &Path, announced: Announced) -> Result<ExitStatus, Error> {
    let Some(emulator) = settings.emulator else { return Err(Error::block_missing(file, "standin")) };
    logging::start(&settings.host.log);
    let mut signals = termination_signals()?;
    let nodes: Vec<(u64, u32)> = emulator.nodes.iter().map(|n| (u64::from(n.zone), n.number)).collect();
    let clock = Clock::start();
    let services = EmulatorHandle::start(emulator, clock, None)?;
    services.execute(|emulator| emulator.disable_recording());
    let addresses = services.query(|emulator| emulator.node_addresses()).unwrap_or_default();
    let address = match announced {
        Announced::EndpointList => services.list_address,
        Announced::FirstNode => addresses.first().map_or(services.list_address, |a| a.1),
    };
    println!("ready {address}");
    io::stdout().flush()?;
    let faults = settings.scenario.map_or(Vec::new(), |scenario| scenario.faults);
    let nodes_in_zone = |zone: u64| nodes.iter().filter(|n| n.0 == zone).map(|n| n.1).collect();
    let steps = faults.iter().flat_map(|f| f.steps(nodes_in_zone)).collect();
    tracing::info!(nodes = nodes.len(), "emulated_services_started");
    signals.set_nonblocking(true)?;
    let signalled = || Read::read(&mut &signals, &mut [0; 1]).is_ok();
    play_script(&services, &clock, clock.now(), steps, |_| {}, signalled);
    signals.set_nonblocking(false)?;
    // Whatever the read returns, the wait is over.
    _ = signals.read(&mut [0; 1]);
    Ok(ExitStatus::Success)
}
