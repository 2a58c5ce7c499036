//! The end of a host: it takes nothing new, answers what it has, and then closes its clients' connections.

use crate::connections::Connections;
use crate::poll_key::{poll_key, Source};
use magpiewick::Ms;
use magpiewick_transport::{Poll, Registered};
use std::io::{self, ErrorKind, Read};
use std::os::unix::net::UnixStream;

/// How long clients are still read from once all answers are written.
const LINGER: Ms = 300.0;

/// The state of the shutdown.
pub(crate) struct GracefulShutdown {
    signal: Registered<UnixStream>,
    requests: usize,
    /// When answers must be written: a client that does not read them cannot keep the host from ending.
    write_by: Option<Ms>,
    /// Set once nothing more is written to clients: until when they are read from.
    lingers_until: Option<Ms>,
}

impl GracefulShutdown {
    /// Each byte on `signal` requests the shutdown once.
    pub(crate) fn new(signal: UnixStream, poll: &Poll) -> io::Result<GracefulShutdown> {
        signal.set_nonblocking(true)?;
        let signal = poll.register(signal, poll_key(Source::ShutdownSignal, 0))?;
        Ok(GracefulShutdown { signal, requests: 0, write_by: None, lingers_until: None })
    }

    /// The signal is readable.
    pub(crate) fn on_signal(&mut self) {
        let mut bytes = [0; 16];
        match self.signal.read(&mut bytes) {
            Ok(count) => self.requests += count.max(1),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.requests += 1,
        }
    }

    /// Whether the host is to end.
    pub(crate) fn is_requested(&self) -> bool {
        self.requests > 0
    }

    /// Whether the host is to end at once.
    pub(crate) fn is_forced(&self) -> bool {
        self.requests > 1
    }

    /// Whether what clients send is ignored.
    pub(crate) fn is_lingering(&self) -> bool {
        self.lingers_until.is_some()
    }

    /// Closes the clients' connections once all answers are written; whether all clients have gone, or had their time.
    /// What they still send is read and ignored: closing a connection with unread bytes would reset it, and answers
    /// that its client has not read yet would be lost.
    pub(crate) fn has_closed_clients(&mut self, connections: &mut Connections, write_timeout: Ms) -> bool {
        let now = connections.now();
        if let Some(until) = self.lingers_until {
            return connections.clients().is_empty() || now >= until;
        }
        let write_by = *self.write_by.get_or_insert(now + write_timeout);
        if connections.clients().all_written() || now >= write_by {
            connections.clients_mut().end_writing();
            self.lingers_until = Some(now + LINGER);
        }
        false
    }
}
