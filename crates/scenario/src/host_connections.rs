//! Connections of the clients to hosts.

use magpiewick_node_protocol::{Hello, Message, Role, AGE_LONG_RUNNING};
use magpiewick_transport::{Connection, Poll, UNTRACKED};
use std::net::SocketAddr;
use std::ops::Range;

struct HostConnection {
    connection: Connection,
    /// Incarnation of the host, from its greeting; `None` before the greeting.
    incarnation: Option<u64>,
}

/// Bytes read from a connection.
pub(crate) struct ReceivedBytes {
    pub bytes: Vec<u8>,
    /// Set if the connection ended after these bytes.
    pub ended: bool,
}

/// Connections to all hosts, with a fixed number of connections per host.
pub(crate) struct HostConnections {
    poll: Poll,
    addresses: Vec<Option<SocketAddr>>,
    per_host: usize,
    connections: Vec<Option<HostConnection>>,
}

impl HostConnections {
    /// Returns a set without open connections; `addresses` are the addresses of the hosts by number, `None` for a
    /// host that is down.
    pub(crate) fn new(poll: Poll, addresses: Vec<Option<SocketAddr>>, per_host: usize) -> HostConnections {
        let connections = (0..addresses.len() * per_host).map(|_| None).collect();
        HostConnections { poll, addresses, per_host, connections }
    }

    /// Returns the number of hosts.
    pub(crate) fn host_count(&self) -> usize {
        self.addresses.len()
    }

    /// Returns the indexes of the connections to a host.
    pub(crate) fn of_host(&self, host: usize) -> Range<usize> {
        host * self.per_host..(host + 1) * self.per_host
    }

    /// Sets the address of a host; `None` for a host that is down.
    pub(crate) fn set_address(&mut self, host: usize, address: Option<SocketAddr>) {
        self.addresses[host] = address;
    }

    /// Opens the connections to a host.
    pub(crate) fn connect(&mut self, host: usize) {
        let Some(address) = self.addresses[host] else { return };
        for index in self.of_host(host) {
            // Requests of a connection that cannot be opened are not sent.
            let Ok(mut connection) = Connection::connect(&self.poll, address, index) else { continue };
            let greeting = Hello::new(Role::Client, index as u32, 0, AGE_LONG_RUNNING);
            connection.queue(&Message::Hello(greeting), UNTRACKED);
            self.connections[index] = Some(HostConnection { connection, incarnation: None });
        }
    }

    /// Removes a connection that ended; returns false if the connection was already removed.
    pub(crate) fn remove(&mut self, index: usize) -> bool {
        self.connections[index].take().is_some()
    }

    /// Returns the incarnation of the host at the other end; `None` before its greeting.
    pub(crate) fn incarnation(&self, index: usize) -> Option<u64> {
        self.connections[index].as_ref()?.incarnation
    }

    /// Records the greeting of the host at the other end.
    pub(crate) fn on_greeting(&mut self, index: usize, greeting: &Hello) {
        if let Some(host) = &mut self.connections[index] {
            host.incarnation = Some(greeting.incarnation);
        }
    }

    /// Queues a message; does nothing if the connection has ended.
    pub(crate) fn queue(&mut self, index: usize, message: &Message<'_>) {
        if let Some(host) = &mut self.connections[index] {
            host.connection.queue(message, UNTRACKED);
        }
    }

    /// Reads the received bytes; unused bytes are returned with [`HostConnections::return_input`].
    pub(crate) fn receive(&mut self, index: usize) -> Option<ReceivedBytes> {
        let connection = &mut self.connections[index].as_mut()?.connection;
        let ended = connection.fill().is_err();
        Some(ReceivedBytes { bytes: connection.take_input(), ended })
    }

    /// Returns the buffer to the connection and discards its first `used` bytes.
    pub(crate) fn return_input(&mut self, index: usize, bytes: Vec<u8>, used: usize) {
        if let Some(host) = &mut self.connections[index] {
            host.connection.return_input(bytes, used);
        }
    }

    /// Writes queued messages; returns the indexes of the connections on which writing failed.
    #[must_use]
    pub(crate) fn flush(&mut self) -> Vec<usize> {
        let fails_to_flush = |host: &mut HostConnection| {
            let connection = &mut host.connection;
            (connection.pending() > 0 || connection.connecting()) && connection.flush().is_err()
        };
        let connections = self.connections.iter_mut().enumerate();
        connections
            .filter_map(|(index, host)| host.as_mut().is_some_and(fails_to_flush).then_some(index))
            .collect()
    }
}
