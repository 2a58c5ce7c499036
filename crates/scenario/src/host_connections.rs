//! The clients' connections to hosts.

use magpiewick_node_protocol::{Hello, Message, Role, AGE_LONG_RUNNING};
use magpiewick_transport::{Connection, Poll, UNTRACKED};
use std::net::SocketAddr;
use std::ops::Range;

struct HostConnection {
    connection: Connection,
    /// The host's incarnation, known from its hello.
    incarnation: Option<u64>,
}

/// What was read from a connection.
pub(crate) struct ReceivedBytes {
    pub bytes: Vec<u8>,
    /// The connection ended after them.
    pub ended: bool,
}

/// Connections to all hosts, so many to each.
pub(crate) struct HostConnections {
    poll: Poll,
    addresses: Vec<Option<SocketAddr>>,
    per_host: usize,
    connections: Vec<Option<HostConnection>>,
}

impl HostConnections {
    /// No connection is open yet; `addresses` are those of hosts by number, `None` for one that is down.
    pub(crate) fn new(poll: Poll, addresses: Vec<Option<SocketAddr>>, per_host: usize) -> HostConnections {
        let connections = (0..addresses.len() * per_host).map(|_| None).collect();
        HostConnections { poll, addresses, per_host, connections }
    }

    /// How many hosts there are.
    pub(crate) fn host_count(&self) -> usize {
        self.addresses.len()
    }

    /// The indexes of the connections to a host.
    pub(crate) fn of_host(&self, host: usize) -> Range<usize> {
        host * self.per_host..(host + 1) * self.per_host
    }

    /// A host is reached at this address from now on, or is down.
    pub(crate) fn set_address(&mut self, host: usize, address: Option<SocketAddr>) {
        self.addresses[host] = address;
    }

    /// Connects to a host.
    pub(crate) fn connect(&mut self, host: usize) {
        let Some(address) = self.addresses[host] else { return };
        for index in self.of_host(host) {
            // The requests of a connection that cannot be opened are not sent.
            let Ok(mut connection) = Connection::connect(&self.poll, address, index) else { continue };
            let hello = Hello::new(Role::Client, index as u32, 0, AGE_LONG_RUNNING);
            connection.queue(&Message::Hello(hello), UNTRACKED);
            self.connections[index] = Some(HostConnection { connection, incarnation: None });
        }
    }

    /// Forgets a connection that ended; false where it was forgotten before.
    pub(crate) fn remove(&mut self, index: usize) -> bool {
        self.connections[index].take().is_some()
    }

    /// The incarnation of the host at the other end; none where it has not sent its hello.
    pub(crate) fn incarnation(&self, index: usize) -> Option<u64> {
        self.connections[index].as_ref()?.incarnation
    }

    /// The host at the other end sent its hello.
    pub(crate) fn on_hello(&mut self, index: usize, hello: &Hello) {
        if let Some(host) = &mut self.connections[index] {
            host.incarnation = Some(hello.incarnation);
        }
    }

    /// Queues a message; nothing where the connection has ended.
    pub(crate) fn queue(&mut self, index: usize, message: &Message<'_>) {
        if let Some(host) = &mut self.connections[index] {
            host.connection.queue(message, UNTRACKED);
        }
    }

    /// Reads what has arrived; what is not used of it is returned by [`HostConnections::give_back`].
    pub(crate) fn receive(&mut self, index: usize) -> Option<ReceivedBytes> {
        let connection = &mut self.connections[index].as_mut()?.connection;
        let ended = connection.fill().is_err();
        Some(ReceivedBytes { bytes: connection.take_input(), ended })
    }

    /// Returns what was read; its first `used` bytes are dropped.
    pub(crate) fn give_back(&mut self, index: usize, bytes: Vec<u8>, used: usize) {
        if let Some(host) = &mut self.connections[index] {
            host.connection.return_input(bytes, used);
        }
    }

    /// Writes what is queued; the connections that broke at it.
    #[must_use]
    pub(crate) fn flush(&mut self) -> Vec<usize> {
        let breaks = |host: &mut HostConnection| {
            let connection = &mut host.connection;
            (connection.pending() > 0 || connection.connecting()) && connection.flush().is_err()
        };
        let connections = self.connections.iter_mut().enumerate();
        connections.filter_map(|(index, host)| host.as_mut().is_some_and(breaks).then_some(index)).collect()
    }
}
