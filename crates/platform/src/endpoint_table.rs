//! The endpoints that the endpoint list names, and the numbers by which this process knows them; free of I/O.

use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::wall_clock::WallClock;
use magpiewick::{Endpoint, EndpointState, Ms};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// How long an endpoint must have been gone before its number is given out again: longer than any attempt is in
/// flight, and than the scheduler takes to forget an endpoint.
const NUMBER_REUSE_DELAY_MS: Ms = 60_000.0;

/// An endpoint as the list names it.
struct KnownEndpoint {
    id: String,
    address: Option<SocketAddr>,
    state: EndpointState,
    /// When it started: in Unix time as the list says, and on the loop's clock.
    started_unix: Option<u64>,
    started_at: Option<Ms>,
}

/// What an update of an endpoint means for connections to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointChange {
    /// Connections stay.
    None,
    /// It has another address: idle connections are of no more use.
    Moved,
    /// It accepts nothing new: idle connections and attempts that are not written yet are withdrawn.
    NotReady,
    /// It has left the list; the caller removes it from the table.
    Removed,
}

/// An endpoint's record, as the scheduler is notified of it.
#[derive(Debug)]
pub(crate) struct EndpointUpdated {
    /// Its number in this process.
    pub number: u32,
    /// What the scheduler is notified of.
    pub endpoint: Endpoint,
    /// What it means for connections.
    pub change: EndpointChange,
}

/// All endpoints of the list.
pub(crate) struct EndpointTable {
    endpoints: BTreeMap<u32, KnownEndpoint>,
    numbers: EndpointNumbers,
    wall_clock: WallClock,
    zones: Vec<String>,
}

impl EndpointTable {
    /// `zones`: the names of zones in the order of their numbers.
    pub(crate) fn new(wall_clock: WallClock, zones: Vec<String>) -> EndpointTable {
        let (endpoints, numbers) = (BTreeMap::new(), EndpointNumbers::default());
        EndpointTable { endpoints, numbers, wall_clock, zones }
    }

    /// How many endpoints the list names.
    pub(crate) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// The id of an endpoint in the list.
    pub(crate) fn id(&self, number: u32) -> Option<&str> {
        self.endpoints.get(&number).map(|endpoint| endpoint.id.as_str())
    }

    /// The address of an endpoint.
    pub(crate) fn address(&self, number: u32) -> Option<SocketAddr> {
        self.endpoints.get(&number).and_then(|endpoint| endpoint.address)
    }

    /// Whether an endpoint accepts new requests.
    pub(crate) fn is_ready(&self, number: u32) -> bool {
        self.endpoints.get(&number).is_some_and(|endpoint| endpoint.state == EndpointState::Ready)
    }

    /// The wall clock was read at this time of the loop's clock.
    pub(crate) fn on_wall_clock(&mut self, unix: f64, now: Ms) {
        self.wall_clock.read(unix, now);
    }

    /// Endpoints that a complete list does not name any more.
    pub(crate) fn missing_from(&self, list: &EndpointList) -> Vec<u32> {
        if !list.complete {
            return Vec::new();
        }
        let named: Vec<&str> = list.records.iter().map(|record| record.id.as_str()).collect();
        let missing = self.endpoints.iter().filter(|(_, known)| !named.contains(&known.id.as_str()));
        missing.map(|(number, _)| *number).collect()
    }

    /// Takes in a record of the list; none where it removes an endpoint that was never known.
    pub(crate) fn update(&mut self, now: Ms, record: &EndpointRecord) -> Option<EndpointUpdated> {
        let number = match record.state {
            EndpointState::Removed => self.numbers.get(&record.id)?,
            _ => self.numbers.get_or_assign(now, &record.id),
        };
        let zone = self.zones.iter().position(|zone| *zone == record.zone).unwrap_or(self.zones.len());
        let before = self.endpoints.get(&number);
        let started_at = match before.filter(|known| known.started_unix == record.started_unix) {
            Some(known) => known.started_at,
            None => record.started_unix.map(|unix| self.wall_clock.latest(unix as f64, now)),
        };
        let endpoint = Endpoint { node: 0, zone, shard: record.shard, state: record.state, started_at };
        if record.state == EndpointState::Removed {
            return Some(EndpointUpdated { number, endpoint, change: EndpointChange::Removed });
        }
        let known = KnownEndpoint {
            id: record.id.clone(),
            address: record.address,
            state: record.state,
            started_unix: record.started_unix,
            started_at,
        };
        let before = self.endpoints.insert(number, known);
        let change = match record.state {
            EndpointState::Ready if before.is_some_and(|known| known.address != record.address) => {
                EndpointChange::Moved
            }
            EndpointState::Ready => EndpointChange::None,
            _ => EndpointChange::NotReady,
        };
        Some(EndpointUpdated { number, endpoint, change })
    }

    /// Forgets an endpoint that has left the list.
    pub(crate) fn remove(&mut self, now: Ms, number: u32) {
        if let Some(known) = self.endpoints.remove(&number) {
            self.numbers.release(now, &known.id);
        }
    }
}

/// Numbers of endpoints by their ids. A number is reused, so that all that is kept by number stays as large as the
/// fleet, however many endpoints the list names over time.
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
