//! Draws what clients send and when, from one seed.

use crate::config::{Backoff, RetryBehaviour, ScenarioConfig, TrafficConfig};
use crate::seeded_defect::SeededDefect;
use crate::Ms;
use magpiewick_gateway::config::HostConfig;
use nanorand::{Rng, WyRand};

/// A volume as clients use it.
struct ClientVolume {
    id: u64,
    /// The hosts that clients reach it through.
    hosts: Vec<usize>,
    /// The multiple of its usual traffic.
    surge: f64,
    /// The key and the host of the last request, by mix.
    last_requests: Vec<(u64, usize)>,
}

/// A request as it was drawn.
pub(crate) struct DrawnRequest {
    /// The index of its mix.
    pub mix: usize,
    /// The index of its volume.
    pub volume: usize,
    pub volume_id: u64,
    pub host: usize,
    pub key: u64,
    pub blocks: u32,
    pub units: f64,
}

/// The random source of a run's clients, and what it draws from.
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
            traffic.retry_behaviours.iter_mut().for_each(retry_at_once);
        }
        Workload { rng: WyRand::new_seed(seed), traffic, volumes: volumes.collect() }
    }

    pub(crate) fn traffic(&self) -> &TrafficConfig {
        &self.traffic
    }

    /// Changes the traffic of a volume to this multiple of its usual traffic.
    pub(crate) fn set_surge(&mut self, id: u64, factor: f64) {
        let volumes = self.volumes.iter_mut().filter(|volume| volume.id == id);
        volumes.for_each(|volume| volume.surge = factor);
    }

    /// The host to try after this one, for a volume's index.
    pub(crate) fn next_host(&self, volume: usize, host: usize) -> usize {
        let hosts = &self.volumes[volume].hosts;
        let next = hosts.iter().position(|other| *other == host).map_or(0, |i| (i + 1) % hosts.len());
        hosts[next]
    }

    /// A number between 0 and 1, neither of which it is.
    fn draw(&mut self) -> f64 {
        (f64::from(self.rng.generate::<u32>()) + 0.5) / (f64::from(u32::MAX) + 1.0)
    }

    /// The time until the next request is due.
    pub(crate) fn draw_interarrival(&mut self) -> Ms {
        let surges: f64 = self.volumes.iter().map(|volume| volume.surge).sum();
        let mean_surge = surges / self.volumes.len() as f64;
        -self.draw().ln() * 1000.0 / (self.traffic.rate * mean_surge)
    }

    /// Draws a request: its volume by the surges, its host among the volume's, its class by the mix.
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

    /// Replaces a drawn key and host by those that follow the last request, where a sequential run continues.
    fn continue_run(&mut self, volume: usize, mix: usize, blocks: u64, drawn: (u64, usize)) -> (u64, usize) {
        let mean_length = self.traffic.mean_run_length as f64;
        if mean_length <= 1.0 {
            return drawn;
        }
        let continues = self.draw() > 1.0 / mean_length;
        let (last_key, last_host) = self.volumes[volume].last_requests[mix];
        let next_key = last_key.saturating_add(blocks);
        let fits = next_key.saturating_add(blocks) <= self.traffic.keys;
        let chosen = if continues && fits { (next_key, last_host) } else { drawn };
        self.volumes[volume].last_requests[mix] = chosen;
        chosen
    }

    /// Draws how the client of a request retries. Nothing is drawn where no behaviours are given, so that the
    /// seeds of such scenarios keep their sequence.
    pub(crate) fn draw_retry_behaviour(&mut self) -> Option<RetryBehaviour> {
        if self.traffic.retry_behaviours.is_empty() {
            return None;
        }
        let number = self.draw();
        let chosen = weighted_choice(number, self.traffic.retry_behaviours.iter().map(|b| b.share));
        chosen.map(|index| self.traffic.retry_behaviours[index])
    }

    /// Draws the delay of a retry after so many sends.
    pub(crate) fn draw_retry_delay(&mut self, behaviour: &RetryBehaviour, sends: u32, retry_after: Ms) -> Ms {
        let (compliance, spread) = (self.draw(), self.draw());
        behaviour.delay_after(sends, retry_after, compliance, spread)
    }
}

/// Clients that ignore retry-after times and retry as often as they can.
fn retry_at_once(behaviour: &mut RetryBehaviour) {
    behaviour.backoff = Backoff::Fixed;
    behaviour.delay = 5.0;
    behaviour.retry_after_compliance = 0.0;
    behaviour.max_sends = 1000;
}

/// The index of the share that a number from 0 to 1 falls to.
fn weighted_choice(number: f64, mut shares: impl Iterator<Item = f64> + Clone) -> Option<usize> {
    let mut remaining = number * shares.clone().sum::<f64>();
    shares.position(|share| {
        remaining -= share;
        remaining < 0.0
    })
}
