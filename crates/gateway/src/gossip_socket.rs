//! Gossip between hosts: datagrams to and from the addresses in the settings. Datagrams from other senders,
//! and those that cannot be decoded, are ignored; the scheduler treats them as lost.

use crate::poll_key::{poll_key, Source};
use magpiewick::GossipReport;
use magpiewick_transport::{Poll, Registered};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Maximum number of datagrams read per turn, so that a flood cannot delay the handling of clients and nodes.
const MAX_DATAGRAMS_PER_TURN: usize = 256;

/// Reports of one message, with the tags of their nodes.
pub(crate) type Reports = Vec<(u16, GossipReport)>;

/// The gossip socket, with the addresses of the other hosts.
pub(crate) struct GossipSocket {
    socket: Registered<UdpSocket>,
    /// Addresses by host number, without this host.
    hosts: BTreeMap<usize, SocketAddr>,
    rejected: u64,
}

impl GossipSocket {
    /// Binds the address that the settings state for this host.
    pub(crate) fn bind(
        own_number: usize,
        mut hosts: BTreeMap<usize, SocketAddr>,
        poll: &Poll,
    ) -> io::Result<GossipSocket> {
        let missing =
            || io::Error::other(format!("no block peer {own_number:?} with the address of this host"));
        let socket = UdpSocket::bind(hosts.remove(&own_number).ok_or_else(missing)?)?;
        socket.set_nonblocking(true)?;
        let socket = poll.register(socket, poll_key(Source::Gossip, 0))?;
        Ok(GossipSocket { socket, hosts, rejected: 0 })
    }

    /// Sends reports to the hosts with these numbers; datagrams that the socket does not accept are lost.
    pub(crate) fn send(&self, hosts: &[usize], reports: &[(u16, GossipReport)]) {
        for message in magpiewick_gossip::encode(reports) {
            for address in hosts.iter().filter_map(|number| self.hosts.get(number)) {
                if let Err(error) = self.socket.send_to(&message, address) {
                    tracing::debug!(%address, %error, "gossip_send_failed");
                }
            }
        }
    }

    /// Returns the next valid message and its sender's number; `datagrams` counts those read in this turn.
    pub(crate) fn receive(&mut self, datagrams: &mut usize) -> Option<(usize, Reports)> {
        // One byte more than the maximum length of a message, so that longer ones are detected.
        let mut bytes = [0; magpiewick_gossip::MAX_MESSAGE_LENGTH + 1];
        while *datagrams < MAX_DATAGRAMS_PER_TURN {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes) else { return None };
            *datagrams += 1;
            let sender = self.hosts.iter().find(|(_, address)| **address == from).map(|(number, _)| *number);
            let reason = match (sender, magpiewick_gossip::decode(&bytes[..length])) {
                (Some(number), Ok(reports)) => return Some((number, reports)),
                (Some(_), Err(error)) => error.to_string(),
                (None, _) => "the sender's address is in no block peer".to_string(),
            };
            self.log_rejected(from, &reason);
        }
        None
    }

    /// Logs a rejected datagram: the first, and then each time that their number has doubled, so that a flood
    /// cannot fill the log.
    fn log_rejected(&mut self, from: SocketAddr, reason: &str) {
        self.rejected += 1;
        if self.rejected.is_power_of_two() {
            tracing::warn!(%from, rejected = self.rejected, reason, "gossip_rejected");
        }
    }
}
