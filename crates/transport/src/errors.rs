//! Classifies the errors of socket calls.

use rustix::io::Errno;
use std::io;

/// What to do after `accept` failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// No connection waits to be accepted.
    Empty,
    /// This connection or this call failed; the next one may be accepted.
    ConnectionFailed,
    /// No descriptor is left: another connection has to end before the next one can be accepted.
    OutOfDescriptors,
    /// The system is short of something else. Closing a connection does not help; it is tried again later.
    OutOfResources,
}

fn errno(error: &io::Error) -> Option<Errno> {
    Errno::from_io_error(error)
}

/// Whether a non-blocking connect is still under way after this error, as after an interrupting signal.
pub(crate) fn connect_goes_on(error: &io::Error) -> bool {
    matches!(errno(error), Some(Errno::INPROGRESS | Errno::AGAIN | Errno::INTR))
}

/// Whether a call failed because no descriptor was left.
fn out_of_descriptors(error: &io::Error) -> bool {
    matches!(errno(error), Some(Errno::MFILE | Errno::NFILE))
}

/// Whether a call failed because this process has as many descriptors as it may. Where the system has none left at
/// all, closing one of this process frees it for any other.
pub fn process_out_of_descriptors(error: &io::Error) -> bool {
    errno(error) == Some(Errno::MFILE)
}

/// How many descriptors the system allows this process.
pub fn descriptor_limit() -> usize {
    use rustix::process::{getrlimit, Resource};
    getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize)
}

/// Whose fault it is that a connection could not be begun, or broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorOrigin {
    /// The way to the peer, or the peer.
    Remote,
    /// This host is short of something that a call needs.
    Local,
}

/// Whose fault an error on a connection is.
pub fn error_origin(error: &io::Error) -> ErrorOrigin {
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
        ) => ErrorOrigin::Remote,
        _ => ErrorOrigin::Local,
    }
}

/// What to do after `accept` failed. Linux reports errors of the accepted connection through `accept`; they say
/// nothing about the next connection.
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
        ) => AcceptError::ConnectionFailed,
        _ => AcceptError::OutOfResources,
    }
}

#[cfg(test)]
mod tests;
