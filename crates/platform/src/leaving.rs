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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_host_that_is_asked_to_end_takes_what_still_comes_first() {
        let mut leaving = Leaving::default();
        assert!(!leaving.goes() && !leaving.closed(1e9));
        assert!(!leaving.asked(1000.0));
        assert!(leaving.goes() && !leaving.closed(1400.0) && leaving.closed(1500.0));
        assert!(leaving.asked(1200.0), "a second request ends it at once");
        assert_eq!(leaving.closes_at(), Some(1500.0));
    }
}
