//! What the end of an attempt proves; free of I/O.

use magpiewick::Outcome;

/// What was seen of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer.
    Response {
        status: u16,
        not_run: bool,
    },
    /// Bytes that are no answer.
    MalformedResponse,
    /// The connection could not be made, broke or ended.
    ConnectionLost,
    /// The time for the connection or for the attempt ran out, or the host gave up.
    TimedOut,
    Cancelled,
    /// The host took it back before it was written whole, whatever the node does.
    Withdrawn,
}

impl AttemptEnd {
    /// The word that stands for it in logs.
    pub fn word(self) -> &'static str {
        match self {
            AttemptEnd::Response { .. } => "response",
            AttemptEnd::MalformedResponse => "malformed_response",
            AttemptEnd::ConnectionLost => "connection_lost",
            AttemptEnd::TimedOut => "timed_out",
            AttemptEnd::Cancelled => "cancelled",
            AttemptEnd::Withdrawn => "withdrawn",
        }
    }
}

/// `written`: the kernel took the last byte. Only what the platform names as proof counts as never run.
pub fn outcome(sign: AttemptEnd, written: bool) -> Outcome {
    match sign {
        AttemptEnd::Response { status: 200, .. } => Outcome::Succeeded,
        AttemptEnd::Response { status: 503 | 504, not_run: true } => Outcome::Overloaded,
        AttemptEnd::Response { .. } => Outcome::Error,
        AttemptEnd::Withdrawn if !written => Outcome::DeadlineExceeded,
        _ if !written => Outcome::ConnectFailed,
        AttemptEnd::MalformedResponse | AttemptEnd::ConnectionLost => Outcome::Reset,
        AttemptEnd::TimedOut => Outcome::TimedOut,
        AttemptEnd::Cancelled | AttemptEnd::Withdrawn => Outcome::Cancelled,
    }
}

#[cfg(test)]
mod tests;
