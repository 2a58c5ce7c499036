//! How late the rig itself was: what a busy machine holds up is no fault of a host.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The watch sleeps so long at a time.
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
        let mut noted = Vec::new();
        while !over.load(Ordering::SeqCst) {
            let before = Instant::now();
            std::thread::sleep(NAP);
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
