//! Graceful shutdown of a host: accepts no new requests, answers the pending ones, and then closes the client
//! connections.

use crate::connections::Connections;
use crate::poll_key::{poll_key, Source};
use magpiewick::Ms;
use magpiewick_transport::{Poll, Registered};
use std::io::{self, ErrorKind, Read};
use std::os::unix::net::UnixStream;

/// Time for which the host still reads from clients after all answers have been written.
const LINGER_TIME: Ms = 300.0;

/// The state of the shutdown.
pub(crate) struct GracefulShutdown {
    signal: Registered<UnixStream>,
    /// Number of times that a shutdown was requested.
    shutdown_requests: usize,
    /// Deadline for writing answers, so that a client that does not read them cannot prevent the host from
    /// exiting.
    write_deadline: Option<Ms>,
    /// Time until which the host still reads from clients; set once writing to them has ended.
    linger_deadline: Option<Ms>,
}

impl GracefulShutdown {
    /// Creates the state; each byte on `signal` requests the shutdown once.
    pub(crate) fn new(signal: UnixStream, poll: &Poll) -> io::Result<GracefulShutdown> {
        signal.set_nonblocking(true)?;
        let signal = poll.register(signal, poll_key(Source::ShutdownSignal, 0))?;
        Ok(GracefulShutdown { signal, shutdown_requests: 0, write_deadline: None, linger_deadline: None })
    }

    /// Reads the bytes from the signal.
    pub(crate) fn on_signal(&mut self) {
        let mut bytes = [0; 16];
        match self.signal.read(&mut bytes) {
            Ok(count) => self.shutdown_requests += count.max(1),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.shutdown_requests += 1,
        }
    }

    /// Returns whether a shutdown was requested.
    pub(crate) fn is_requested(&self) -> bool {
        self.shutdown_requests > 0
    }

    /// Returns whether an immediate exit was requested.
    pub(crate) fn is_forced(&self) -> bool {
        self.shutdown_requests > 1
    }

    /// Returns whether input from clients is ignored.
    pub(crate) fn is_lingering(&self) -> bool {
        self.linger_deadline.is_some()
    }

    /// Closes the client connections once all answers are written; returns whether all clients have
    /// disconnected or the time for this has passed. Input from clients is still read and ignored: closing a
    /// connection with unread bytes would reset it, and the client would lose answers that it has not read
    /// yet.
    pub(crate) fn has_closed_clients(&mut self, connections: &mut Connections, write_timeout: Ms) -> bool {
        let now = connections.now();
        if let Some(deadline) = self.linger_deadline {
            return connections.clients().is_empty() || now >= deadline;
        }
        let write_deadline = *self.write_deadline.get_or_insert(now + write_timeout);
        if connections.clients().all_written() || now >= write_deadline {
            connections.clients_mut().end_writing();
            self.linger_deadline = Some(now + LINGER_TIME);
        }
        false
    }
}
