//! Termination signals as bytes on a stream, so that an event loop can poll for them.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use std::io;
use std::os::unix::net::UnixStream;

/// A stream on which each SIGTERM and SIGINT shows as a byte.
pub(crate) fn termination_signals() -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    pipe::register(SIGTERM, write.try_clone()?)?;
    pipe::register(SIGINT, write)?;
    Ok(read)
}
