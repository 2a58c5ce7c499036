//! Messages between hosts: datagrams to and from the addresses that the settings name. Whoever else writes, and
//! whatever cannot be read, is passed over; to the module it is a message that got lost.

use crate::floor::{key_of, Place};
use magpiewick::GossipReport;
use magpiewick_transport::{Poll, Registered};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// How many datagrams are read in a turn: a flood must not keep the loop from clients and nodes.
const A_TURN: usize = 256;

pub struct Others {
    socket: Registered<UdpSocket>,
    /// By number; this host is not among them.
    hosts: BTreeMap<usize, SocketAddr>,
    /// Datagrams that were passed over.
    refused: u64,
}

impl Others {
    /// Binds the address that is stated for this host.
    pub fn bind(own: usize, mut hosts: BTreeMap<usize, SocketAddr>, poll: &Poll) -> io::Result<Others> {
        let unnamed = || io::Error::other(format!("no block peer {own:?} states the address of this host"));
        let socket = UdpSocket::bind(hosts.remove(&own).ok_or_else(unnamed)?)?;
        socket.set_nonblocking(true)?;
        Ok(Others { socket: poll.register(socket, key_of(Place::Others, 0))?, hosts, refused: 0 })
    }

    /// Sends what is to be told; what the socket does not take is lost.
    pub fn tell(&self, to: &[usize], told: &[(u16, GossipReport)]) {
        for message in magpiewick_gossip::encode(told) {
            for address in to.iter().filter_map(|number| self.hosts.get(number)) {
                if let Err(error) = self.socket.send_to(&message, address) {
                    tracing::debug!(%address, %error, "a message to a host was not sent");
                }
            }
        }
    }

    /// The next message that can be read, of those that came; `turn` counts datagrams.
    pub fn next(&mut self, turn: &mut usize) -> Option<(usize, Vec<(u16, GossipReport)>)> {
        // One byte more than a message may have, so that a longer one shows.
        let mut bytes = [0; magpiewick_gossip::MAX_MESSAGE_LENGTH + 1];
        while *turn < A_TURN {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes) else { return None };
            *turn += 1;
            let number = self.hosts.iter().find(|(_, address)| **address == from).map(|(number, _)| *number);
            let why = match (number, magpiewick_gossip::decode(&bytes[..length])) {
                (Some(number), Ok(told)) => return Some((number, told)),
                (Some(_), Err(fault)) => fault.to_string(),
                (None, _) => "a sender that no block peer names".to_string(),
            };
            self.refused += 1;
            // A flood fills no log: the first, then each time that their count has doubled.
            if self.refused.is_power_of_two() {
                tracing::warn!(%from, refused = self.refused, why, "passed over a message between hosts");
            }
        }
        None
    }
}
