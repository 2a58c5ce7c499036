//! Which clients' connections give way, and when; free of I/O.

use magpiewick::Ms;

/// By when a client must have sent its first request whole, or what it began: it is owed an error or an end
/// within 3 s of connecting, and a connection without an open request may be closed after 2 s.
pub const PATIENCE: Ms = 2200.0;
/// How long what a refused client still sends is read and thrown away, so that it can read the refusal first.
pub const LINGER: Ms = 300.0;
/// How much of it: reading 60 MB that nobody wants would cost the processor that commands need.
pub const THROWN: usize = 256 << 10;

/// What is known of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    pub key: usize,
    /// A command is open or an answer is not written whole.
    pub busy: bool,
    /// It has sent a whole request before.
    pub served: bool,
    /// Since when it has been as it is.
    pub since: Ms,
}

/// The one that gives way to a newcomer: never one that is owed something; those that never asked before those
/// that did, the oldest first. Guards against clients that connect and say nothing; it could harm clients that
/// keep many connections and use them rarely: they connect anew.
pub fn gives_way(all: impl Iterator<Item = Standing>) -> Option<usize> {
    let free = all.filter(|s| !s.busy);
    free.min_by(|a, b| a.served.cmp(&b.served).then(a.since.total_cmp(&b.since))).map(|s| s.key)
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    quickcheck! {
        /// A plain model: whoever is owed something stays; then by hand, silent ones first, the oldest of them.
        fn who_gives_way_is_owed_nothing_and_asked_least(all: Vec<(bool, bool, u8)>) -> bool {
            let standing = |(key, (busy, served, since)): (usize, &(bool, bool, u8))| {
                Standing { key, busy: *busy, served: *served, since: f64::from(*since) }
            };
            let all: Vec<Standing> = all.iter().enumerate().map(standing).collect();
            let mut free: Vec<Standing> = all.iter().copied().filter(|s| !s.busy).collect();
            free.sort_by_key(|s| (s.served, s.since as u64, s.key));
            gives_way(all.into_iter()) == free.first().map(|s| s.key)
        }
    }
}
