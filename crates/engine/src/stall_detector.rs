//! Tells how long the process may have stood still, so that a request that came meanwhile is not taken for a
//! fresh one: its client has been waiting. Free of I/O.

use magpiewick::Ms;

/// What a loop saw of time passing.
pub struct StallDetector {
    round: Ms,
    /// When the loop last woke, when it went to sleep again and for how long at most.
    woke: Ms,
    slept: Ms,
    sleep: Ms,
    age: Ms,
}

impl StallDetector {
    pub fn new(now: Ms, round: Ms) -> StallDetector {
        StallDetector { round, woke: now, slept: now, sleep: 0.0, age: 0.0 }
    }

    pub fn sleeps(&mut self, now: Ms, most: Ms) {
        (self.slept, self.sleep) = (now, most);
    }

    /// The loop woke. Guards against machines that stop a process and against turns that take long: what is
    /// found in the sockets may be as old as the last time they were known to be empty. It could harm where a
    /// machine is so busy that every turn is late: requests then count as older than they are, by the turn's
    /// length.
    pub fn woke(&mut self, now: Ms) {
        let late = (self.slept - self.woke) + (now - self.slept - self.sleep).max(0.0);
        self.age = if late > self.round { late } else { 0.0 };
        self.woke = now;
    }

    /// How old a request may be that is found in a socket now.
    pub fn age(&self) -> Ms {
        self.age
    }
}

#[cfg(test)]
mod tests;
