//! Table of the endpoints in the endpoint list, and their numbers in this process; free of I/O.

use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::wall_clock::WallClock;
use magpiewick::{Endpoint, EndpointState, Ms};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Time after the removal of an endpoint before its number is reused: longer than any attempt is in flight, and longer
/// than the scheduler keeps the state of a removed endpoint.
const NUMBER_REUSE_DELAY_MS: Ms = 60_000.0;

/// Endpoint in the current list.
struct ListedEndpoint {
    id: String,
    address: Option<SocketAddr>,
    state: EndpointState,
    /// Start time: in Unix time as listed, and on the event loop's clock.
    started_unix: Option<u64>,
    started_at: Option<Ms>,
}

/// Effect of an endpoint's update on connections to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointChange {
    /// Connections are kept.
    None,
    /// The address changed: idle connections are closed.
    Moved,
    /// The endpoint accepts no new requests: idle connections are closed, and attempts that are not written yet are
    /// withdrawn.
    NotReady,
    /// The endpoint was removed from the list; the caller removes it from the table.
    Removed,
}

/// Update of an endpoint for the scheduler.
#[derive(Debug)]
pub(crate) struct EndpointUpdated {
    /// Number of the endpoint in this process.
    pub number: u32,
    /// Endpoint as reported to the scheduler.
    pub endpoint: Endpoint,
    /// Effect on connections.
    pub change: EndpointChange,
}

/// All endpoints of the list.
pub(crate) struct EndpointTable {
    endpoints: BTreeMap<u32, ListedEndpoint>,
    numbers: EndpointNumbers,
    wall_clock: WallClock,
    zones: Vec<String>,
}

impl EndpointTable {
    /// Creates an empty table. `zones`: names of the zones in the order of their numbers.
    pub(crate) fn new(wall_clock: WallClock, zones: Vec<String>) -> EndpointTable {
        let (endpoints, numbers) = (BTreeMap::new(), EndpointNumbers::default());
        EndpointTable { endpoints, numbers, wall_clock, zones }
    }

    /// Returns the number of endpoints in the list.
    pub(crate) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the id of an endpoint in the list.
    pub(crate) fn id(&self, number: u32) -> Option<&str> {
        self.endpoints.get(&number).map(|endpoint| endpoint.id.as_str())
    }

    /// Returns the address of an endpoint.
    pub(crate) fn address(&self, number: u32) -> Option<SocketAddr> {
        self.endpoints.get(&number).and_then(|endpoint| endpoint.address)
    }

    /// Returns whether an endpoint accepts new requests.
    pub(crate) fn is_ready(&self, number: u32) -> bool {
        self.endpoints.get(&number).is_some_and(|endpoint| endpoint.state == EndpointState::Ready)
    }

    /// Records a reading of the wall clock at the loop time `now`.
    pub(crate) fn on_wall_clock(&mut self, unix: f64, now: Ms) {
        self.wall_clock.record(unix, now);
    }

    /// Returns the endpoints that are absent from a complete list.
    pub(crate) fn missing_from(&self, list: &EndpointList) -> Vec<u32> {
        if !list.complete {
            return Vec::new();
        }
        let named: Vec<&str> = list.records.iter().map(|record| record.id.as_str()).collect();
        let missing = self.endpoints.iter().filter(|(_, listed)| !named.contains(&listed.id.as_str()));
        missing.map(|(number, _)| *number).collect()
    }

    /// Applies a record of the list; returns none where the record removes an endpoint that was never listed.
    pub(crate) fn update(&mut self, now: Ms, record: &EndpointRecord) -> Option<EndpointUpdated> {
        let number = match record.state {
            EndpointState::Removed => self.numbers.get(&record.id)?,
            _ => self.numbers.get_or_assign(now, &record.id),
        };
        let zone = self.zones.iter().position(|zone| *zone == record.zone).unwrap_or(self.zones.len());
        let current = self.endpoints.get(&number);
        let started_at = match current.filter(|listed| listed.started_unix == record.started_unix) {
            Some(listed) => listed.started_at,
            None => record.started_unix.map(|unix| self.wall_clock.latest_loop_time(unix as f64, now)),
        };
        let endpoint = Endpoint { node: 0, zone, shard: record.shard, state: record.state, started_at };
        if record.state == EndpointState::Removed {
            return Some(EndpointUpdated { number, endpoint, change: EndpointChange::Removed });
        }
        let listed = ListedEndpoint {
            id: record.id.clone(),
            address: record.address,
            state: record.state,
            started_unix: record.started_unix,
            started_at,
        };
        let previous = self.endpoints.insert(number, listed);
        let change = match record.state {
            EndpointState::Ready if previous.is_some_and(|listed| listed.address != record.address) => {
                EndpointChange::Moved
            }
            EndpointState::Ready => EndpointChange::None,
            _ => EndpointChange::NotReady,
        };
        Some(EndpointUpdated { number, endpoint, change })
    }

    /// Removes an endpoint that is no longer listed.
    pub(crate) fn remove(&mut self, now: Ms, number: u32) {
        if let Some(listed) = self.endpoints.remove(&number) {
            self.numbers.release(now, &listed.id);
        }
    }
}

/// Numbers of endpoints by id. Numbers are reused, so that tables by number stay as large as the fleet, however many
/// endpoints are listed over time.
#[derive(Default)]
struct EndpointNumbers {
    by_id: HashMap<String, u32>,
    released: VecDeque<(Ms, u32)>,
    highest: u32,
}

impl EndpointNumbers {
    fn get(&self, id: &str) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    fn get_or_assign(&mut self, now: Ms, id: &str) -> u32 {
        if let Some(number) = self.get(id) {
            return number;
        }
        let reusable = |(released_at, _): &mut (Ms, u32)| now - *released_at >= NUMBER_REUSE_DELAY_MS;
        let number = match self.released.pop_front_if(reusable) {
            Some((_, number)) => number,
            None => {
                self.highest += 1;
                self.highest
            }
        };
        self.by_id.insert(id.to_string(), number);
        number
    }

    fn release(&mut self, now: Ms, id: &str) {
        self.released.extend(self.by_id.remove(id).map(|number| (now, number)));
    }
}

#[cfg(test)]
mod tests;
