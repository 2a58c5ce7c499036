//! What the end of an attempt proves; free of I/O.

use magpiewick::Outcome;

/// What was seen of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A whole answer.
    Answer {
        status: u16,
        not_run: bool,
    },
    /// Bytes that are no answer.
    Spoilt,
    /// The connection could not be made, broke or ended.
    Broke,
    /// The time for the connection or for the attempt ran out, or the host gave up.
    Late,
    GivenUp,
    /// The host took it back before it was written whole, whatever the node does.
    TakenBack,
}

impl Sign {
    /// The word that stands for it in logs.
    pub fn word(self) -> &'static str {
        match self {
            Sign::Answer { .. } => "answered",
            Sign::Spoilt => "spoilt",
            Sign::Broke => "broke",
            Sign::Late => "late",
            Sign::GivenUp => "given-up",
            Sign::TakenBack => "taken-back",
        }
    }
}

/// `written`: the kernel took the last byte. Only what the platform names as proof counts as never run.
pub fn outcome(sign: Sign, written: bool) -> Outcome {
    match sign {
        Sign::Answer { status: 200, .. } => Outcome::Succeeded,
        Sign::Answer { status: 503 | 504, not_run: true } => Outcome::Overloaded,
        Sign::Answer { .. } => Outcome::Error,
        Sign::TakenBack if !written => Outcome::DeadlineExceeded,
        _ if !written => Outcome::ConnectFailed,
        Sign::Spoilt | Sign::Broke => Outcome::Reset,
        Sign::Late => Outcome::TimedOut,
        Sign::GivenUp | Sign::TakenBack => Outcome::Cancelled,
    }
}

#[cfg(test)]
mod tests;
