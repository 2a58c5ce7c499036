//! Adapter from the simulator's wire to the engine: frames with events on standard input, frames with actions on
//! standard output.

mod error;
mod event;
mod fields;
mod frame;
mod host;
mod process;
mod reply;

use error::AdapterError;
use process::Process;
use reply::Reply;
use std::io::{self, Write};

fn run() -> Result<(), AdapterError> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut process = Process::default();
    let mut frame = Vec::new();
    let mut reply = Reply::default();
    while frame::read_frame(&mut input, &mut frame)? {
        process.apply_batch(&frame, &mut reply)?;
        let written = output.write_all(reply.close()?).and_then(|()| output.flush());
        written.map_err(|source| AdapterError::Write { source })?;
    }
    Ok(())
}

fn main() {
    if let Err(error) = run() {
        eprintln!("magpiewick-benchlink: {}", error.to_string().replace('\n', " "));
        std::process::exit(1);
    }
}

#[cfg(test)]
mod tests;
