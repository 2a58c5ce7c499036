//! A poller whose sources cannot outlive their registration.

use polling::{AsSource, Event, Events, PollMode, Poller};
use std::io;
use std::ops::{Deref, DerefMut};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time by which a wait may exceed its timeout on a machine that is not stalled.
const WAIT_TOLERANCE: Duration = Duration::from_millis(1);
/// Limit of the waits in a row that exceed their timeouts.
const MAX_WAITS: u32 = 4;

/// A level-triggered poller: unread input is reported again by each wait, so no readiness is lost between
/// calls.
#[derive(Clone)]
pub struct Poll(Arc<Poller>);

/// Result of a wait: the keys of readable and of writable sources, in the poller's order.
#[derive(Default)]
pub struct PollEvents {
    events: Option<Events>,
    /// Keys of the readable sources.
    pub readable: Vec<usize>,
    /// Keys of the writable sources.
    pub writable: Vec<usize>,
}

impl Poll {
    /// Creates a poller without sources.
    pub fn new() -> io::Result<Poll> {
        Ok(Poll(Arc::new(Poller::new()?)))
    }

    /// Registers a source for reading under a key.
    pub fn register<S: AsRawFd + AsSource>(&self, source: S, key: usize) -> io::Result<Registered<S>> {
        // SAFETY: the source must be deleted from the poller before it is dropped. `Registered` owns the source
        // and the poller, hands the source out by reference only, and deletes it in its `Drop`.
        #[allow(unsafe_code)]
        unsafe {
            self.0.add_with_mode(&source, Event::readable(key), PollMode::Level)?;
        }
        Ok(Registered { poll: self.clone(), source, key, interest: Interest { read: true, write: false } })
    }

    /// Waits until a source is ready, another thread calls [`Poll::wake`], or the timeout expires.
    pub fn wait(&self, poll_events: &mut PollEvents, timeout: Option<Duration>) -> io::Result<()> {
        let events = poll_events.events.get_or_insert_with(Events::new);
        poll_events.readable.clear();
        poll_events.writable.clear();
        let mut timeout = timeout;
        for _ in 0..MAX_WAITS {
            let started = Instant::now();
            events.clear();
            match self.0.wait(events, timeout) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            let is_late = timeout.is_some_and(|timeout| started.elapsed() > timeout + WAIT_TOLERANCE);
            if !is_late {
                break;
            }
            // The process was stalled, and its sources were perhaps examined before. Callers treat the sources as
            // examined now: what came during the stall must not seem to come after it.
            timeout = Some(Duration::ZERO);
        }
        for event in events.iter() {
            if event.readable {
                poll_events.readable.push(event.key);
            }
            if event.writable {
                poll_events.writable.push(event.key);
            }
        }
        Ok(())
    }

    /// Ends a wait in another thread.
    pub fn wake(&self) {
        // Where the notification fails, the wait ends at its timeout.
        _ = self.0.notify();
    }
}

/// Events for which a source is polled.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Interest {
    read: bool,
    write: bool,
}

/// A source that stays registered at a poller until it is dropped.
pub struct Registered<S: AsSource> {
    poll: Poll,
    source: S,
    key: usize,
    interest: Interest,
}

impl<S: AsSource> Registered<S> {
    /// Returns the key under which the source is registered.
    pub fn key(&self) -> usize {
        self.key
    }

    /// Sets whether readiness for reading and for writing is reported.
    pub fn set_interest(&mut self, read: bool, write: bool) -> io::Result<()> {
        let interest = Interest { read, write };
        if self.interest == interest {
            return Ok(());
        }
        let mut event = Event::none(self.key);
        (event.readable, event.writable) = (read, write);
        self.poll.0.modify_with_mode(&self.source, event, PollMode::Level)?;
        self.interest = interest;
        Ok(())
    }
}

impl<S: AsSource> Deref for Registered<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.source
    }
}

impl<S: AsSource> DerefMut for Registered<S> {
    fn deref_mut(&mut self) -> &mut S {
        &mut self.source
    }
}

impl<S: AsSource> Drop for Registered<S> {
    fn drop(&mut self) {
        // Deletion fails only where the source is no longer registered.
        _ = self.poll.0.delete(&self.source);
    }
}
