//! Parts common to all event loops of magpiewick: a poller that owns its sources, byte streams, connections
//! that carry frames, and timers. This package makes no scheduling decisions.

mod allocator;
mod connection;
mod errors;
mod loop_delay;
mod poll;
mod read_share;
mod stream;
mod timers;

pub use allocator::release_free_memory;
pub use connection::{Connection, Withdrawn, UNTRACKED};
pub use errors::{
    accept_error, descriptor_limit, error_origin, process_out_of_descriptors, AcceptError, ErrorOrigin,
};
pub use loop_delay::LoopDelay;
pub use poll::{Poll, PollEvents, Registered};
pub use read_share::ReadShare;
pub use stream::{Stream, StreamEnd, MAX_BYTES_PER_FILL};
pub use timers::{Clock, Timers};

use std::io;
use std::net::{SocketAddr, TcpListener};

/// Maximum number of connections that the kernel completes before they are accepted.
pub const BACKLOG: u32 = 1024;

/// Creates a non-blocking listener. Its address can be reused immediately, so that a restarted process is
/// reachable at the address of the previous one.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG as i32)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
