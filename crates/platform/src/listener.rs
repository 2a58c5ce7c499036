//! Listening socket for clients.

use magpiewick::Ms;
use magpiewick_engine::AcceptBackoff;
use magpiewick_transport::{accept_error, AcceptError, Poll, Registered, BACKLOG};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Result of accepting a connection.
#[derive(Debug)]
pub(crate) enum Accepted {
    /// A connection was accepted.
    Connection(TcpStream),
    /// No connection is waiting, or the listener is closed.
    NoneWaiting,
    /// The connection failed; the next one may succeed.
    ConnectionFailed,
    /// The process has no descriptor available.
    OutOfDescriptors(io::Error),
    /// The operating system lacks another resource for the connection.
    OutOfResources(io::Error),
}

/// Connections that may have come while the process was stalled.
#[derive(Clone, Copy, Debug)]
struct StalledConnections {
    /// Earliest time at which they may have come.
    since: Ms,
    /// Number of connections, at most, that came before the stall ended.
    left: u32,
}

/// Listening socket until the host closes it.
pub(crate) struct Listener {
    socket: Option<Registered<TcpListener>>,
    resumes_at: Ms,
    backoff: AcceptBackoff,
    stalled: Option<StalledConnections>,
}

impl Listener {
    /// Listens on an address.
    pub(crate) fn bind(poll: &Poll, key: usize, address: SocketAddr, now: Ms) -> io::Result<Listener> {
        let socket = poll.register(magpiewick_transport::listen(address)?, key)?;
        let backoff = AcceptBackoff::default();
        Ok(Listener { socket: Some(socket), resumes_at: now, backoff, stalled: None })
    }

    /// Records the age that input may have in this turn of the event loop; 0 where the process was not stalled. The
    /// operating system queues connections in order, so that those which came during a stall are accepted first.
    pub(crate) fn note_stall(&mut self, now: Ms, input_age: Ms) {
        if input_age > 0.0 {
            self.stalled = Some(StalledConnections { since: now - input_age, left: BACKLOG });
        }
    }

    /// Returns the earliest time at which the connection that was just accepted may have sent its first bytes.
    pub(crate) fn take_sent_since(&mut self, now: Ms) -> Ms {
        let Some(stalled) = &mut self.stalled else { return now };
        let since = stalled.since;
        stalled.left -= 1;
        if stalled.left == 0 {
            self.stalled = None;
        }
        since
    }

    /// Accepts a waiting connection.
    pub(crate) fn accept(&mut self) -> Accepted {
        let Some(socket) = &mut self.socket else { return Accepted::NoneWaiting };
        match socket.accept() {
            Ok((stream, _)) => {
                self.backoff.reset();
                Accepted::Connection(stream)
            }
            Err(error) => match accept_error(&error) {
                AcceptError::Empty => {
                    self.backoff.reset();
                    self.stalled = None;
                    Accepted::NoneWaiting
                }
                AcceptError::ConnectionFailed => Accepted::ConnectionFailed,
                AcceptError::OutOfDescriptors => Accepted::OutOfDescriptors(error),
                AcceptError::OutOfResources => Accepted::OutOfResources(error),
            },
        }
    }

    /// Handles a failure of the operating system to accept a connection. Returns whether accepting is now paused, which
    /// requires several consecutive failures.
    pub(crate) fn on_accept_failed(&mut self, now: Ms) -> bool {
        let Some(pause) = self.backoff.next_pause() else { return false };
        self.resumes_at = now + pause;
        if let Some(socket) = &mut self.socket {
            _ = socket.set_interest(false, false);
        }
        true
    }

    /// Resumes accepting once a pause is over.
    pub(crate) fn resume_if_due(&mut self, now: Ms) {
        if now < self.resumes_at {
            return;
        }
        if let Some(socket) = &mut self.socket {
            _ = socket.set_interest(true, false);
        }
    }

    /// Returns the end of a pause; none where accepting is not paused.
    pub(crate) fn resumes_at(&self, now: Ms) -> Option<Ms> {
        self.socket.as_ref().filter(|_| self.resumes_at > now).map(|_| self.resumes_at)
    }

    /// Returns whether the socket is open.
    pub(crate) fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// Closes the socket.
    pub(crate) fn close(&mut self) {
        self.socket = None;
    }
}
