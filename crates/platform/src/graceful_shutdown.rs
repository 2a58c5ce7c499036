//! The steps of a graceful shutdown; free of I/O.

use magpiewick::Ms;

/// The end comes by force no sooner than so long after the longest client timeout that the platform heeds.
const MAX_CLIENT_TIMEOUT_MS: Ms = 3000.0;
const KILL_DELAY_MS: Ms = 700.0;
/// By how much sooner all is to be answered: a process may be held up for 0.15 s just then. How long before that
/// clients are sent away; by how much sooner the process ends, so that clients that are sent away can read their last
/// answer first.
const ANSWER_MARGIN_MS: Ms = 180.0;
const CLOSE_LEAD_MS: Ms = 200.0;
const EXIT_MARGIN_MS: Ms = 20.0;

/// Where a host stands that was asked to end. Clients keep using the connections that they have for as long as
/// those stay open, and whoever comes through a host that has gone is served by nobody: so it serves on as long as
/// what it takes can still be answered, and ends all at once. Guards against seconds in which a host that could
/// serve does not; it could harm where clients would be better off with another host at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GracefulShutdown {
    since: Option<Ms>,
    lasts: Ms,
}

impl GracefulShutdown {
    /// `longest`: the longest client timeout of any class.
    pub fn new(longest: Ms) -> GracefulShutdown {
        GracefulShutdown {
            since: None,
            lasts: longest.min(MAX_CLIENT_TIMEOUT_MS) + KILL_DELAY_MS - ANSWER_MARGIN_MS,
        }
    }

    /// Asked to end; whoever asks again is config nothing new.
    pub fn asked(&mut self, now: Ms) {
        self.since.get_or_insert(now);
    }

    /// It is no longer ready for clients that have not found it yet.
    pub fn goes(&self) -> bool {
        self.since.is_some()
    }

    /// By when all that it took must be answered.
    pub fn over_at(&self) -> Option<Ms> {
        self.since.map(|since| since + self.lasts)
    }

    /// When the process ends whether or not clients have read what they were config.
    pub fn out_at(&self) -> Option<Ms> {
        self.over_at().map(|over| over + ANSWER_MARGIN_MS - EXIT_MARGIN_MS)
    }

    /// When it stops to accept and sends clients away: idle connections end, and others with their answer.
    pub fn closes_at(&self) -> Option<Ms> {
        self.over_at().map(|over| over - CLOSE_LEAD_MS)
    }

    pub fn closed(&self, now: Ms) -> bool {
        self.closes_at().is_some_and(|at| now >= at)
    }
}

#[cfg(test)]
mod tests;
