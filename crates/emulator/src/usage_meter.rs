//! Measures the units that a node served per volume, which the node reports to hosts with its answers.

use std::collections::HashMap;

/// Units that a node served, by volume and host.
#[derive(Default)]
pub(crate) struct UsageMeter {
    by_volume: HashMap<u64, f64>,
    by_volume_and_host: HashMap<(u64, u64), f64>,
    /// Units of a volume served through other hosts, according to the latest report to each host.
    reported: HashMap<(u64, u64), f64>,
}

impl UsageMeter {
    /// Counts units served for a volume through a host.
    pub(crate) fn record(&mut self, volume: u64, host: u64, units: f64) {
        *self.by_volume.entry(volume).or_default() += units;
        *self.by_volume_and_host.entry((volume, host)).or_default() += units;
    }

    /// Returns the units served for a volume through other hosts since the last report to this host.
    pub(crate) fn report(&mut self, volume: u64, host: u64) -> f64 {
        let total = self.by_volume.get(&volume).copied().unwrap_or(0.0);
        let own = self.by_volume_and_host.get(&(volume, host)).copied().unwrap_or(0.0);
        let others = total - own;
        others - self.reported.insert((volume, host), others).unwrap_or(0.0)
    }
}

#[cfg(test)]
mod tests;
