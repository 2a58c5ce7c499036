//! What the end of an attempt proves; free of I/O.

use crate::response_stream::ReceiveError;
use magpiewick::Outcome;
use magpiewick_http1::Response;
use std::fmt;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// With a complete response.
    Response {
        /// Its status.
        status: u16,
        /// The endpoint says that the request was not run.
        not_run: bool,
    },
    /// With bytes that are no response.
    MalformedResponse,
    /// The connection could not be established, broke or ended.
    ConnectionLost,
    /// The time for the connection or for the attempt is over.
    TimedOut,
    /// This host gave it up.
    Cancelled,
    /// This host withdrew it before it was written completely, whatever the endpoint does.
    Withdrawn,
}

impl AttemptEnd {
    /// The outcome of an attempt that ended so. `written`: the system took its last byte. Only what the platform names
    /// as proof counts as never run.
    pub(crate) fn outcome(self, written: bool) -> Outcome {
        match self {
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

    /// The name under which it is logged and counted.
    pub(crate) fn as_str(self) -> &'static str {
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

impl fmt::Display for AttemptEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl From<&Response> for AttemptEnd {
    fn from(response: &Response) -> AttemptEnd {
        let not_run = response.header("x-not-run") == Some("1");
        AttemptEnd::Response { status: response.status, not_run }
    }
}

impl From<ReceiveError> for AttemptEnd {
    fn from(error: ReceiveError) -> AttemptEnd {
        match error {
            ReceiveError::Malformed(_) => AttemptEnd::MalformedResponse,
            ReceiveError::ConnectionLost => AttemptEnd::ConnectionLost,
        }
    }
}

#[cfg(test)]
mod tests;
