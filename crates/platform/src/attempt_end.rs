//! Conclusions that the end of an attempt allows about its request; free of I/O.

use crate::response_stream::ReceiveError;
use magpiewick::Outcome;
use magpiewick_http1::Response;
use std::fmt;

/// End of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// A complete response arrived.
    Response {
        /// HTTP status.
        status: u16,
        /// True if the endpoint reports that the request was not run.
        not_run: bool,
    },
    /// Bytes arrived that are not an HTTP response.
    MalformedResponse,
    /// The connection could not be established, was reset or was closed.
    ConnectionLost,
    /// The connect timeout or the timeout of the attempt expired.
    TimedOut,
    /// This host cancelled the attempt.
    Cancelled,
    /// This host withdrew the attempt before its request was written completely, regardless of the endpoint's
    /// behaviour.
    Withdrawn,
}

impl AttemptEnd {
    /// Returns the outcome of an attempt with this end. `written`: whether the operating system accepted the last byte
    /// of the request. A request counts as never run only where the platform's protocol guarantees that.
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

    /// Returns the name used in log lines and metrics.
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
