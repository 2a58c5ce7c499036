//! Connections of hosts and clients to nodes and to the endpoint list service.

use crate::received_attempt::ConnectionId;
use magpiewick_node_protocol::Message;
use magpiewick_transport::{Connection, Poll, UNTRACKED};
use slab::Slab;
use std::io;
use std::net::TcpStream;

/// First poller key of connections; the keys of listeners are lower.
pub(crate) const FIRST_CONNECTION_KEY: usize = 1 << 32;

pub(crate) struct Peer {
    pub connection: Connection,
    pub id: ConnectionId,
    /// Index of the node at the other end; `None` for the endpoint list service.
    pub node: Option<usize>,
    /// Incarnation of the host, from its greeting.
    pub host: u64,
    /// Set once the service has sent its greeting.
    pub greeting_sent: bool,
    pub watches_endpoints: bool,
    pub watches_map: bool,
}

#[derive(Default)]
pub(crate) struct Connections {
    open: Slab<Peer>,
    last_serial: u64,
}

impl Connections {
    /// Adds an accepted connection; returns its index.
    pub(crate) fn accept(
        &mut self,
        poll: &Poll,
        stream: TcpStream,
        node: Option<usize>,
    ) -> io::Result<usize> {
        let entry = self.open.vacant_entry();
        let index = entry.key();
        let connection = Connection::accepted(poll, stream, FIRST_CONNECTION_KEY + index)?;
        self.last_serial += 1;
        entry.insert(Peer {
            connection,
            id: ConnectionId { index, serial: self.last_serial },
            node,
            host: 0,
            greeting_sent: false,
            watches_endpoints: false,
            watches_map: false,
        });
        Ok(index)
    }

    /// Returns the indexes of the connections that meet a condition.
    pub(crate) fn indexes(&self, condition: impl Fn(&Peer) -> bool) -> Vec<usize> {
        self.open.iter().filter(|(_, peer)| condition(peer)).map(|(index, _)| index).collect()
    }

    /// Returns the identifier of the open connection at the given index, if any.
    pub(crate) fn id(&self, index: usize) -> Option<ConnectionId> {
        self.open.get(index).map(|peer| peer.id)
    }

    /// Returns the peer of a connection if the connection is still open.
    pub(crate) fn get(&mut self, id: ConnectionId) -> Option<&mut Peer> {
        self.open.get_mut(id.index).filter(|peer| peer.id == id)
    }

    /// Returns the peer at an index; panics if the connection is not open.
    pub(crate) fn open_peer(&mut self, index: usize) -> &mut Peer {
        &mut self.open[index]
    }

    pub(crate) fn send(&mut self, index: usize, message: &Message<'_>) {
        self.open[index].connection.queue(message, UNTRACKED);
    }

    pub(crate) fn remove(&mut self, index: usize) -> Peer {
        self.open.remove(index)
    }
}
