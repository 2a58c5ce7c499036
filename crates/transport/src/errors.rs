//! Classification of errors of socket calls.

use rustix::io::Errno;
use std::io;

/// Classification of an error of `accept`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// No connection is waiting.
    Empty,
    /// This connection or this call failed; the next connection may be accepted.
    ConnectionFailed,
    /// No file descriptor is left: a connection has to be closed before the next one can be accepted.
    OutOfDescriptors,
    /// The system lacks another resource. Closing a connection does not help, so accepting must be retried
    /// later.
    OutOfResources,
}

fn errno(error: &io::Error) -> Option<Errno> {
    Errno::from_io_error(error)
}

/// Returns whether a non-blocking connect is still in progress after this error; an interrupting signal does
/// not abort it.
pub(crate) fn connect_in_progress(error: &io::Error) -> bool {
    matches!(errno(error), Some(Errno::INPROGRESS | Errno::AGAIN | Errno::INTR))
}

/// Returns whether a call failed because no file descriptor was left.
fn out_of_descriptors(error: &io::Error) -> bool {
    matches!(errno(error), Some(Errno::MFILE | Errno::NFILE))
}

/// Returns whether a call failed because this process has reached its limit of file descriptors. Closing a
/// descriptor helps only then: where the system has none left, any other process may use the closed one.
pub fn process_out_of_descriptors(error: &io::Error) -> bool {
    errno(error) == Some(Errno::MFILE)
}

/// Returns the system's limit of file descriptors for this process.
pub fn descriptor_limit() -> usize {
    use rustix::process::{getrlimit, Resource};
    getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize)
}

/// Origin of a failed connect or a broken connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorOrigin {
    /// The network or the peer.
    Remote,
    /// This host lacks a resource that the call requires.
    Local,
}

/// Returns the origin of an error on a connection.
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

/// Classifies an error of `accept`. On Linux, `accept` also returns errors of the accepted connection, which
/// do not affect the next connection.
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
