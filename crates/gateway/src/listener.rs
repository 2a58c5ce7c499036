//! Accepts client connections.

use crate::connections::Connections;
use crate::poll_key::{poll_key, Source};
use magpiewick::Ms;
use magpiewick_engine::AcceptBackoff;
use magpiewick_transport::{accept_error, AcceptError, Poll, Registered};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// The listener, until it is closed.
pub(crate) struct Listener {
    socket: Option<Registered<TcpListener>>,
    address: SocketAddr,
    backoff: AcceptBackoff,
}

impl Listener {
    /// Binds the listener to an address.
    pub(crate) fn bind(address: SocketAddr, poll: &Poll) -> io::Result<Listener> {
        let socket = magpiewick_transport::listen(address)?;
        let address = socket.local_addr()?;
        let socket = Some(poll.register(socket, poll_key(Source::Listener, 0))?);
        Ok(Listener { socket, address, backoff: AcceptBackoff::default() })
    }

    /// Returns the listening address for clients.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts all waiting connections, or pauses after several consecutive failures of the system: the
    /// poller would continue to report the connections, and the loop would spin.
    pub(crate) fn accept_all(&mut self, connections: &mut Connections) {
        while let Some(socket) = &self.socket {
            let error = match socket.accept() {
                Ok((stream, _)) => {
                    self.backoff.reset();
                    connections.accept_client(stream);
                    continue;
                }
                Err(error) => error,
            };
            match accept_error(&error) {
                AcceptError::Empty => return self.backoff.reset(),
                AcceptError::ConnectionFailed => {}
                AcceptError::OutOfDescriptors | AcceptError::OutOfResources => {
                    let Some(pause) = self.backoff.next_pause() else { continue };
                    tracing::warn!(%error, pause_ms = pause, "accept_failed");
                    return self.pause(pause, connections);
                }
            }
        }
    }

    fn pause(&mut self, pause: Ms, connections: &mut Connections) {
        if let Some(socket) = &mut self.socket {
            // A listener that cannot be paused is reported as readable again immediately.
            _ = socket.set_interest(false, false);
        }
        connections.resume_accept_after(pause);
    }

    /// Resumes accepting after a pause.
    pub(crate) fn resume(&mut self, connections: &mut Connections) {
        if let Some(socket) = &mut self.socket {
            _ = socket.set_interest(true, false);
        }
        self.accept_all(connections);
    }

    /// Closes the listener; returns false where it was already closed. Connections that the kernel has
    /// completed are accepted first.
    pub(crate) fn close(&mut self, connections: &mut Connections) -> bool {
        self.accept_all(connections);
        self.socket.take().is_some()
    }
}
