//! What a run of the soak plays, drawn from its seed.

use crate::rig::Seeded;
use std::time::Duration;

/// A break that is put into the traffic, which the audit must find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Plant {
    /// A client gets the answer that was made for another request.
    SwappedAnswer,
    /// A request gets to no host, and its connection ends without an answer.
    SwallowedRequest,
}

/// What a run plays.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub hosts: usize,
    pub shards: usize,
    /// Clients that send requests to each host.
    pub clients: usize,
    /// Clients that connect to the first host and say nothing.
    pub crowd: usize,
    /// The longest deadline of any class.
    pub longest: Duration,
    /// Out of a hundred answers, so many are followed or replaced by something that does not belong there.
    pub strays: u64,
    /// Out of a hundred requests, so many meet fault at their node.
    pub trouble: u64,
    /// Out of a hundred requests, so many are abandoned by their client.
    pub abandoned: u64,
    /// The time between an answer and its late copy is below this.
    pub lateness: u64,
    /// A client rests for less than so many milliseconds between its pieces.
    pub rest: u64,
    /// Whether hosts are held up now and then, for 0.14 s.
    pub stalls: bool,
    pub plant: Option<Plant>,
}

impl Plan {
    pub fn drawn(seed: u64, plant: Option<Plant>) -> Plan {
        let mut draw = Seeded::new(seed);
        let hosts = match seed % 5 {
            0 => 12 + draw.below(19) as usize,
            1 => 2,
            _ => 2 + draw.below(6) as usize,
        };
        let quiet = plant.is_some();
        Plan {
            seed,
            hosts: if quiet { 2 } else { hosts },
            shards: 2 + draw.below(3) as usize,
            clients: if hosts > 8 { 3 } else { 6 },
            crowd: if seed.is_multiple_of(3) { 300 } else { 0 },
            longest: Duration::from_millis([600, 1200, 3000][draw.below(3) as usize]),
            strays: if quiet { 0 } else { [0, 10, 33][draw.below(3) as usize] },
            trouble: if quiet { 0 } else { [1, 5, 15][draw.below(3) as usize] },
            abandoned: if quiet { 0 } else { [2, 10, 40][draw.below(3) as usize] },
            lateness: [6, 25, 250][draw.below(3) as usize],
            rest: [3, 40][draw.below(2) as usize],
            stalls: !quiet && draw.below(2) == 0,
            plant,
        }
    }
}
