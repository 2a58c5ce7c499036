//! `magpiewick extents`: shows, migrates and watches extents of a map service.

mod map_service;

use crate::error::{Error, ExitStatus};
use clap::Subcommand;
use magpiewick_node_protocol::{MapEntry, MapEntryKind, Message, MigrationStage};
use map_service::MapService;
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub(crate) struct ExtentsArguments {
    /// Address of the endpoint list and map service
    #[arg(long)]
    service: SocketAddr,
    #[command(subcommand)]
    action: ExtentsAction,
}

#[derive(Subcommand)]
enum ExtentsAction {
    /// Print the map: volume, start, end, shard, version
    Show {
        /// Print only the extents of this volume
        #[arg(long)]
        volume: Option<u64>,
    },
    /// Migrate the extent with this start to a shard and wait until the migration has ended
    #[command(alias = "move")]
    Migrate {
        #[arg(long)]
        volume: u64,
        #[arg(long)]
        start: u64,
        #[arg(long)]
        to: u32,
    },
    /// Cancel the migration of an extent, unless ownership has already been switched
    #[command(alias = "abandon")]
    Cancel {
        #[arg(long)]
        volume: u64,
        #[arg(long)]
        start: u64,
    },
    /// Print changes of the map as they arrive, for the given number of seconds
    #[command(alias = "follow")]
    Watch {
        #[arg(long, default_value_t = 60)]
        seconds: u64,
    },
}

/// Shard number that no node serves: a migration request to this shard only returns the current state.
const NO_SHARD: u32 = u32::MAX;
const MIGRATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the requested action; the exit status reports whether the service carried out the action.
pub(crate) fn run(arguments: &ExtentsArguments) -> Result<ExitStatus, Error> {
    let mut service = MapService::connect(arguments.service)?;
    let succeeded = match arguments.action {
        ExtentsAction::Show { volume } => show(&mut service, volume)?,
        ExtentsAction::Migrate { volume, start, to } => migrate(&mut service, volume, start, to)?,
        ExtentsAction::Cancel { volume, start } => cancel(&mut service, volume, start)?,
        ExtentsAction::Watch { seconds } => watch(&mut service, Duration::from_secs(seconds))?,
    };
    Ok(if succeeded { ExitStatus::Success } else { ExitStatus::CheckFailed })
}

fn show(service: &mut MapService, volume: Option<u64>) -> io::Result<bool> {
    service.watch()?;
    let mut rows = vec![["volume", "start", "end", "shard", "version"].map(str::to_string)];
    service.receive(|message| {
        let Message::ExtentMap(update) = message else { return None };
        let selected = update.entries.iter().filter(|entry| volume.is_none_or(|v| v == entry.volume));
        rows.extend(selected.map(row));
        update.last.then_some(())
    })?;
    let table: String =
        rows.iter().map(|[a, b, c, d, e]| format!("{a:>10} {b:>12} {c:>12} {d:>6} {e:>8}\n")).collect();
    match io::stdout().write_all(table.as_bytes()) {
        // A reader such as `head` that closes the pipe early is not an error.
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error),
        _ => Ok(true),
    }
}

fn row(entry: &MapEntry) -> [String; 5] {
    let fields = [entry.volume, entry.start, entry.position, entry.shard.into(), entry.version.into()];
    fields.map(|field| field.to_string())
}

fn migrate(service: &mut MapService, volume: u64, start: u64, to: u32) -> io::Result<bool> {
    let mut state = service.migrate(volume, start, to, false)?;
    if state.stage == MigrationStage::Idle {
        println!("not moved: there is no such extent, it lies there already, or no node holds that shard");
        return Ok(false);
    }
    let target = state.to;
    println!("moving from shard {} to shard {target}", state.from);
    while state.stage != MigrationStage::Idle {
        std::thread::sleep(MIGRATION_POLL_INTERVAL);
        let next = service.migrate(volume, start, NO_SHARD, false)?;
        if next.stage != state.stage {
            println!("{}", next.stage);
        }
        state = next;
    }
    Ok(state.from == target)
}

fn cancel(service: &mut MapService, volume: u64, start: u64) -> io::Result<bool> {
    let state = service.migrate(volume, start, 0, true)?;
    println!("{}", state.stage);
    Ok(state.stage == MigrationStage::Aborted)
}

fn watch(service: &mut MapService, duration: Duration) -> io::Result<bool> {
    service.set_read_timeout(duration)?;
    service.watch()?;
    let deadline = Instant::now() + duration;
    let watched = service.receive(|message| {
        if let Message::ExtentMap(update) = message {
            let changes = update.entries.iter().filter(|entry| entry.kind != MapEntryKind::Extent);
            changes.for_each(|entry| print_change(update.epoch, entry));
        }
        (Instant::now() >= deadline).then_some(true)
    });
    match watched {
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(true),
        other => other,
    }
}

fn print_change(epoch: impl std::fmt::Display, entry: &MapEntry) {
    println!(
        "epoch {epoch} {:?} volume {} start {} shard {} version {}",
        entry.kind, entry.volume, entry.start, entry.shard, entry.version
    );
}
