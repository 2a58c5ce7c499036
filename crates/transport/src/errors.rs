//! What the errors of socket calls say, so that none is taken for another.

use rustix::io::Errno;
use std::io;

/// What to do after `accept` failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// Nobody waits to be accepted.
    Empty,
    /// This connection or this call failed; the next one may be accepted.
    Next,
    /// No descriptor is left: another connection has to end before the next one can be accepted.
    OutOfDescriptors,
    /// The system is short of something else. FinalStatus a connection does not help; it is tried again later.
    Short,
}

fn errno(error: &io::Error) -> Option<Errno> {
    Errno::from_io_error(error)
}

/// Whether a connect that does not block goes on behind this error. One that a signal interrupts does.
pub fn connect_goes_on(error: &io::Error) -> bool {
    matches!(errno(error), Some(Errno::INPROGRESS | Errno::AGAIN | Errno::INTR))
}

/// Whether a call failed for want of a descriptor.
pub fn out_of_descriptors(error: &io::Error) -> bool {
    matches!(errno(error), Some(Errno::MFILE | Errno::NFILE))
}

/// Whose fault it is that a connection could not be begun, or broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The way to the peer, or the peer.
    Remote,
    /// This host is short of something that a call needs.
    Local,
}

/// Whose fault an error on a connection is.
pub fn reach(error: &io::Error) -> Reach {
    match errno(error) {
        Some(
            Errno::CONNREFUSED
            | Errno::CONNRESET
            | Errno::CONNABORTED
            | Errno::PIPE
            | Errno::NOTCONN
            | Errno::TIMEDOUT
            | Errno::HOSTUNREACH
            | Errno::HOSTDOWN
            | Errno::NETUNREACH
            | Errno::NETDOWN
            | Errno::NETRESET,
        ) => Reach::Remote,
        _ => Reach::Local,
    }
}

/// Linux passes on to `accept` what already happened to a connection, which says nothing of the next one.
pub fn accept_error(error: &io::Error) -> AcceptError {
    if out_of_descriptors(error) {
        return AcceptError::OutOfDescriptors;
    }
    match errno(error) {
        Some(Errno::AGAIN) => AcceptError::Empty,
        Some(
            Errno::INTR
            | Errno::CONNABORTED
            | Errno::PROTO
            | Errno::NOPROTOOPT
            | Errno::OPNOTSUPP
            | Errno::NETDOWN
            | Errno::NETUNREACH
            | Errno::HOSTDOWN
            | Errno::HOSTUNREACH
            | Errno::NONET
            | Errno::PERM
            | Errno::TIMEDOUT,
        ) => AcceptError::Next,
        _ => AcceptError::Short,
    }
}

#[cfg(test)]
mod tests;
