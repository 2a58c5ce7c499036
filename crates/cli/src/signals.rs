//! Delivery of termination signals as bytes on a stream that an event loop can poll.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use std::io;
use std::os::unix::net::UnixStream;

/// Returns a stream that receives one byte for each SIGTERM and SIGINT.
pub(crate) fn termination_signals() -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    pipe::register(SIGTERM, write.try_clone()?)?;
    pipe::register(SIGINT, write)?;
    Ok(read)
}
