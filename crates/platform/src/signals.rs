//! Signals as events of the poller.

use magpiewick_transport::{Poll, Registered};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// Signal whose handler writes to a socket that the poller watches.
pub(crate) struct SignalSource(Registered<UnixStream>);

impl SignalSource {
    /// Installs a handler for a signal, and registers the signal under a key.
    pub(crate) fn register(poll: &Poll, signal: i32, key: usize) -> io::Result<SignalSource> {
        let (receiver, sender) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal, sender)?;
        Ok(SignalSource(poll.register(receiver, key)?))
    }

    /// Returns whether the signal was received since the last call.
    pub(crate) fn take(&mut self) -> bool {
        let mut bytes = [0; 64];
        let mut received = false;
        while matches!(self.0.read(&mut bytes), Ok(n) if n > 0) {
            received = true;
        }
        received
    }
}
