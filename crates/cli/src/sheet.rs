//! A settings file as a whole: whatever the command, all of it is read and checked.

use magpiewick_drill::{read_sheet, DrillSheet};
use magpiewick_gateway::sheet::{host, HostSheet, Volume};
use magpiewick_settings::{read_file, Faults};
use magpiewick_standin::{read_fleet, FleetSheet};
use std::path::Path;

pub struct Sheet {
    pub host: HostSheet,
    pub fleet: Option<FleetSheet>,
    pub drill: Option<DrillSheet>,
}

pub fn read(path: &Path, seed: u64) -> Result<Sheet, Faults> {
    let read = read_file(path, |root| {
        let host = host(root, seed);
        let mut fleet = read_fleet(root);
        if let (Some(fleet), Some(host)) = (&mut fleet, &host) {
            let shards = |v: &Volume| v.shards.iter().map(|s| *s as u32).collect();
            fleet.volumes = host.volumes.iter().map(|(id, v)| (*id, shards(v))).collect();
        }
        // Without a host nothing can be said of a drill; its blocks are known all the same.
        let drill = host.as_ref().and_then(|host| read_sheet(root, host));
        Some(Sheet { host: host?, fleet, drill })
    });
    // A file without its block host has that fault, so a sheet is there where no fault is.
    read.map(|sheet| sheet.expect("a sheet without a fault"))
}
