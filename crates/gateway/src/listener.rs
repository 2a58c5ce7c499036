//! Accepts the connections of clients.

use crate::connections::Connections;
use crate::poll_key::{poll_key, Source};
use magpiewick_transport::{Poll, Registered};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};

/// The listener, until it is closed.
pub(crate) struct Listener {
    socket: Option<Registered<TcpListener>>,
    address: SocketAddr,
}

impl Listener {
    /// Listens on an address.
    pub(crate) fn bind(address: SocketAddr, poll: &Poll) -> io::Result<Listener> {
        let socket = magpiewick_transport::listen(address)?;
        let address = socket.local_addr()?;
        let socket = Some(poll.register(socket, poll_key(Source::Listener, 0))?);
        Ok(Listener { socket, address })
    }

    /// Where clients reach it.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts all connections that wait.
    pub(crate) fn accept_all(&self, connections: &mut Connections) {
        while let Some(socket) = &self.socket {
            match socket.accept() {
                Ok((stream, _)) => connections.accept_client(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return tracing::warn!(%error, "accept_failed"),
            }
        }
    }

    /// Closes the listener; false where it was closed before. Connections that the kernel has completed are accepted
    /// first.
    pub(crate) fn close(&mut self, connections: &mut Connections) -> bool {
        self.accept_all(connections);
        self.socket.take().is_some()
    }
}
