//! The steps of an orderly end; free of I/O.

use magpiewick::Ms;

/// For 0.2 to 0.4 s after the signal new connections still come and old ones are used: a little more, so that
/// the last of them is taken and answered.
const STILL_COME: Ms = 500.0;

/// Where a host stands that was asked to end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Leaving {
    since: Option<Ms>,
}

impl Leaving {
    /// Asked to end; true where it was asked before and is to end at once.
    pub fn asked(&mut self, now: Ms) -> bool {
        self.since.replace(self.since.unwrap_or(now)).is_some()
    }

    /// Answers ask for the connection's end, and it is no longer ready.
    pub fn goes(&self) -> bool {
        self.since.is_some()
    }

    /// When it stops to accept; connections without an open command end then.
    pub fn closes_at(&self) -> Option<Ms> {
        self.since.map(|since| since + STILL_COME)
    }

    pub fn closed(&self, now: Ms) -> bool {
        self.closes_at().is_some_and(|at| now >= at)
    }
}
