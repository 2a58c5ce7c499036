//! How late the rig itself was: what a busy machine holds up is no fault of a host.

use crate::rig::{accept, listen};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The watch rests so long between its looks.
const NAP: Duration = Duration::from_millis(4);
/// What is shorter is no lateness.
const NOTED: Duration = Duration::from_millis(4);
/// What the rig was late by counts for events so near to it.
const NEAR: Duration = Duration::from_millis(400);

/// The times at which the rig was held up, and for how long.
#[derive(Debug, Default)]
pub struct Lateness(Vec<(Instant, Duration)>);

impl Lateness {
    /// Watches until the run is over.
    pub fn watched(over: &AtomicBool) -> Lateness {
        let (listener, echo) = listen();
        accept(listener, |mut stream| {
            let mut byte = [0];
            _ = stream.read_exact(&mut byte).and_then(|()| stream.write_all(&byte));
        });
        let mut noted = Vec::new();
        while !over.load(Ordering::SeqCst) {
            let before = Instant::now();
            std::thread::sleep(NAP);
            _ = asks_echo(echo);
            let late = before.elapsed().saturating_sub(NAP);
            if late > NOTED {
                noted.push((Instant::now(), late));
            }
        }
        Lateness(noted)
    }

    /// By how much more what happened then may be late: twice what the rig was, as two threads of it take part.
    pub fn near(&self, at: Instant) -> Duration {
        let near = |noted: &Instant| noted.max(&at).duration_since(*noted.min(&at)) <= NEAR;
        let late = self.0.iter().filter(|(noted, _)| near(noted)).map(|(_, late)| *late);
        2 * late.max().unwrap_or_default()
    }

    pub fn most(&self) -> Duration {
        self.0.iter().map(|(_, late)| *late).max().unwrap_or_default()
    }
}

/// The way of an attempt between host and node, with nothing to do at its end: a connection, a thread that takes it, a
/// byte there and back.
fn asks_echo(echo: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(echo)?;
    stream.write_all(&[1])?;
    stream.read_exact(&mut [0])
}
