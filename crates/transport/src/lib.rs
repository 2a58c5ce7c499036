//! What every loop of magpiewick needs and what decides nothing: a poller that owns its sources, streams of
//! bytes, connections that carry frames on them, and timers.

mod connection;
mod errors;
mod poll;
mod stream;
mod timers;

pub use connection::{Connection, NOTHING};
pub use errors::{accept_error, out_of_descriptors, reach, AcceptError, Reach};
pub use poll::{Poll, Registered, Woken};
pub use stream::{Ended, Stream};
pub use timers::{Clock, Timers};

use std::io;
use std::net::{SocketAddr, TcpListener};

/// A listener that does not block. The address may be used again at once, as a restarted process must be
/// reachable where the old one was.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
