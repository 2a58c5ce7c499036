//! How late the test itself was: delays of a busy machine are no fault of a host.

use crate::support::loopback::{accept, listen};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The interval between two measurements.
const INTERVAL: Duration = Duration::from_millis(4);
/// Shorter delays are not recorded.
const RECORDED_FROM: Duration = Duration::from_millis(4);
/// A delay counts for events within this distance.
const NEAR: Duration = Duration::from_millis(400);

/// When the test was delayed, and for how long.
#[derive(Debug, Default)]
pub(crate) struct TestDelays(Vec<(Instant, Duration)>);

impl TestDelays {
    /// Measures until the run is over.
    pub(crate) fn measure(over: &AtomicBool) -> TestDelays {
        let (listener, echo) = listen();
        accept(listener, |mut stream| {
            let mut byte = [0];
            _ = stream.read_exact(&mut byte).and_then(|()| stream.write_all(&byte));
        });
        let mut recorded = Vec::new();
        while !over.load(Ordering::SeqCst) {
            let before = Instant::now();
            std::thread::sleep(INTERVAL);
            _ = request_echo(echo);
            let delay = before.elapsed().saturating_sub(INTERVAL);
            if delay > RECORDED_FROM {
                recorded.push((Instant::now(), delay));
            }
        }
        TestDelays(recorded)
    }

    /// The extra time that an event then is allowed: twice the test's delay, as two of its threads take part.
    pub(crate) fn allowance(&self, at: Instant) -> Duration {
        let near = |recorded: &Instant| recorded.max(&at).duration_since(*recorded.min(&at)) <= NEAR;
        let delays = self.0.iter().filter(|(recorded, _)| near(recorded)).map(|(_, delay)| *delay);
        2 * delays.max().unwrap_or_default()
    }

    /// The longest delay of all.
    pub(crate) fn longest(&self) -> Duration {
        self.0.iter().map(|(_, delay)| *delay).max().unwrap_or_default()
    }
}

/// The path of an attempt between host and node, without work at its end: a connection, a thread that accepts it, a byte
/// there and back.
fn request_echo(echo: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(echo)?;
    stream.write_all(&[1])?;
    stream.read_exact(&mut [0])
}
