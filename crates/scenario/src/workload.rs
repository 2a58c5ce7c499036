//! Draws the requests of clients and their times from one seed.

use crate::config::{Backoff, RetryBehaviour, ScenarioConfig, TrafficConfig};
use crate::seeded_defect::SeededDefect;
use crate::Ms;
use magpiewick_gateway::config::HostConfig;
use nanorand::{Rng, WyRand};

/// A volume from the point of view of clients.
struct ClientVolume {
    id: u64,
    /// Hosts through which clients access the volume.
    hosts: Vec<usize>,
    /// Current traffic of the volume, as a multiple of its usual traffic.
    surge: f64,
    /// Key and host of the latest request, by traffic mix.
    last_requests: Vec<(u64, usize)>,
}

/// A randomly drawn request.
pub(crate) struct DrawnRequest {
    /// Index of the traffic mix.
    pub mix: usize,
    /// Index of the volume.
    pub volume: usize,
    pub volume_id: u64,
    pub host: usize,
    pub key: u64,
    pub blocks: u32,
    pub units: f64,
}

/// Random number generator of the clients of a run, with the traffic and volumes to draw from.
pub(crate) struct Workload {
    rng: WyRand,
    traffic: TrafficConfig,
    volumes: Vec<ClientVolume>,
}

impl Workload {
    pub(crate) fn new(
        host: &HostConfig,
        scenario: &ScenarioConfig,
        host_count: usize,
        seed: u64,
        defect: Option<SeededDefect>,
    ) -> Workload {
        let reachable_hosts = |id: u64, hosts: f64| {
            (0..(hosts as usize).min(host_count)).map(|i| (id as usize + i) % host_count).collect()
        };
        let volumes = host.volumes.iter().map(|(id, volume)| ClientVolume {
            id: *id,
            hosts: reachable_hosts(*id, volume.host_count),
            surge: 1.0,
            last_requests: vec![(u64::MAX, 0); scenario.traffic.mixes.len()],
        });
        let mut traffic = scenario.traffic.clone();
        if defect == Some(SeededDefect::RetryAfterIgnored) {
            traffic.retry_behaviours.iter_mut().for_each(ignore_retry_after);
        }
        Workload { rng: WyRand::new_seed(seed), traffic, volumes: volumes.collect() }
    }

    pub(crate) fn traffic(&self) -> &TrafficConfig {
        &self.traffic
    }

    /// Sets the traffic of a volume to a multiple of its usual traffic.
    pub(crate) fn set_surge(&mut self, id: u64, factor: f64) {
        let volumes = self.volumes.iter_mut().filter(|volume| volume.id == id);
        volumes.for_each(|volume| volume.surge = factor);
    }

    /// Returns the host to try after a given host, for the volume with an index.
    pub(crate) fn next_host(&self, volume: usize, host: usize) -> usize {
        let hosts = &self.volumes[volume].hosts;
        let next = hosts.iter().position(|other| *other == host).map_or(0, |i| (i + 1) % hosts.len());
        hosts[next]
    }

    /// Draws a number between 0 and 1, exclusive of both.
    fn draw(&mut self) -> f64 {
        (f64::from(self.rng.generate::<u32>()) + 0.5) / (f64::from(u32::MAX) + 1.0)
    }

    /// Draws the time until the next request is due.
    pub(crate) fn draw_interarrival(&mut self) -> Ms {
        let surges: f64 = self.volumes.iter().map(|volume| volume.surge).sum();
        let mean_surge = surges / self.volumes.len() as f64;
        -self.draw().ln() * 1000.0 / (self.traffic.rate * mean_surge)
    }

    /// Draws a request: the volume by the surge factors, the host from the hosts of the volume, the class by the
    /// traffic mix.
    pub(crate) fn draw_request(&mut self) -> DrawnRequest {
        let number = self.draw();
        let volume = weighted_choice(number, self.volumes.iter().map(|volume| volume.surge)).unwrap_or(0);
        let number = self.draw();
        let mix = weighted_choice(number, self.traffic.mixes.iter().map(|mix| mix.share)).unwrap_or(0);
        let host = (self.draw() * self.volumes[volume].hosts.len() as f64) as usize;
        let host = self.volumes[volume].hosts[host];
        let (max_units, keys) = (self.traffic.mixes[mix].max_units, self.traffic.keys);
        let units = 1.0 + (self.draw() * max_units as f64).floor();
        let blocks = self.traffic.mixes[mix].blocks.min(keys);
        let key = 1 + (self.draw() * (keys + 1 - blocks.max(1)) as f64) as u64;
        let (key, host) = self.continue_run(volume, mix, blocks.max(1), (key, host));
        let volume_id = self.volumes[volume].id;
        DrawnRequest { mix, volume, volume_id, host, key, blocks: blocks as u32, units }
    }

    /// Replaces a drawn key and host with the next key and the host of the latest request if a sequential run continues.
    fn continue_run(&mut self, volume: usize, mix: usize, blocks: u64, drawn: (u64, usize)) -> (u64, usize) {
        let mean_length = self.traffic.mean_run_length as f64;
        if mean_length <= 1.0 {
            return drawn;
        }
        let continues = self.draw() > 1.0 / mean_length;
        let (last_key, last_host) = self.volumes[volume].last_requests[mix];
        let next_key = last_key.saturating_add(blocks);
        let fits = next_key.saturating_add(blocks) <= self.traffic.keys;
        let selected = if continues && fits { (next_key, last_host) } else { drawn };
        self.volumes[volume].last_requests[mix] = selected;
        selected
    }

    /// Draws the retry behaviour of the client of a request. Without configured behaviours no number is drawn, so
    /// that the sequence of the seed stays the same in such scenarios.
    pub(crate) fn draw_retry_behaviour(&mut self) -> Option<RetryBehaviour> {
        if self.traffic.retry_behaviours.is_empty() {
            return None;
        }
        let number = self.draw();
        let selected = weighted_choice(number, self.traffic.retry_behaviours.iter().map(|b| b.share));
        selected.map(|index| self.traffic.retry_behaviours[index])
    }

    /// Draws the delay of the retry after `sends` sends.
    pub(crate) fn draw_retry_delay(&mut self, behaviour: &RetryBehaviour, sends: u32, retry_after: Ms) -> Ms {
        let (compliance, spread) = (self.draw(), self.draw());
        behaviour.delay_after(sends, retry_after, compliance, spread)
    }
}

/// Changes a behaviour to ignore retry-after times and to retry as often as possible.
fn ignore_retry_after(behaviour: &mut RetryBehaviour) {
    behaviour.backoff = Backoff::Fixed;
    behaviour.delay = 5.0;
    behaviour.retry_after_compliance = 0.0;
    behaviour.max_sends = 1000;
}

/// Returns the index of the share selected by a number from 0 to 1.
fn weighted_choice(number: f64, mut shares: impl Iterator<Item = f64> + Clone) -> Option<usize> {
    let mut remaining = number * shares.clone().sum::<f64>();
    shares.position(|share| {
        remaining -= share;
        remaining < 0.0
    })
}
