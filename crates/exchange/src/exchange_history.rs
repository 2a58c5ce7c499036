//! History of the exchanges on one connection to an endpoint, which carries one exchange at a time.

use crate::{CommonResponses, Ms};
use magpiewick_http1::{begins_response, BodyEnd, RESPONSE_START};
use std::collections::VecDeque;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of remembered responses per connection.
const MAX_REMEMBERED_RESPONSES: usize = 32;

/// A complete response as received on a connection.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedResponse<'a> {
    /// HTTP status code.
    pub status: u16,
    /// Body without its framing.
    pub body: &'a [u8],
    /// Evidence for the end of the body.
    pub body_end: BodyEnd,
    /// Bytes received after the response.
    pub trailing: &'a [u8],
    /// Request id that the response states.
    pub request_id: Option<&'a str>,
}

/// A digest of the status and body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ResponseDigest(u64);

impl ReceivedResponse<'_> {
    /// Returns the digest by which responses are compared.
    pub fn digest(&self) -> ResponseDigest {
        let mut hasher = Xxh3::new();
        hasher.update(&self.status.to_le_bytes());
        hasher.update(self.body);
        ResponseDigest(hasher.digest())
    }
}

/// Reason why a response may not be the complete response to the request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseMismatch {
    /// The response states the id of another request.
    #[error("the response names another request")]
    DifferentRequestId,
    /// The response equals an earlier one on this connection.
    #[error("the response is the same as an earlier one on its connection")]
    DuplicateResponse,
    /// The body contains the start of another response, and more bytes follow the body: the response began
    /// with part of an earlier one, and the following bytes filled up the rest of its length.
    #[error("another response begins in the body")]
    ContainsAnotherResponse,
    /// Bytes that begin no response follow the stated end of the body: the stated length may be too small, and
    /// the bytes the rest of the body.
    #[error("the stated length may be too small")]
    WrongContentLength,
}

impl ResponseMismatch {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ResponseMismatch::DifferentRequestId => "different_request_id",
            ResponseMismatch::DuplicateResponse => "duplicate_response",
            ResponseMismatch::ContainsAnotherResponse => "contains_another_response",
            ResponseMismatch::WrongContentLength => "wrong_content_length",
        }
    }
}

/// Record of the past exchanges of one connection.
#[derive(Clone, Debug, Default)]
pub struct ExchangeHistory {
    /// Digests of earlier responses, the latest at the end.
    digests: VecDeque<ResponseDigest>,
    exchanges: u32,
    last_ended_at: Ms,
}

impl ExchangeHistory {
    /// Returns the number of exchanges that ended with a complete response.
    pub fn exchanges(&self) -> u32 {
        self.exchanges
    }

    /// Returns the time since the last exchange ended.
    pub fn idle_for(&self, now: Ms) -> Ms {
        now - self.last_ended_at
    }

    /// Verifies that a response belongs to the request in flight and is complete. On a connection that was not
    /// used before, no other response can arrive. On any other, bytes of an earlier exchange may arrive first: a
    /// duplicate of its response, or part of one. Where an endpoint gives the same response to two requests on
    /// one connection, the second counts as a mismatch.
    pub fn verify(&self, response: &ReceivedResponse<'_>, request_id: &str) -> Result<(), ResponseMismatch> {
        if response.request_id.is_some_and(|named| named != request_id) {
            return Err(ResponseMismatch::DifferentRequestId);
        }
        self.verify_origin(response)?;
        match may_be_cut(response) {
            true => Err(ResponseMismatch::WrongContentLength),
            false => Ok(()),
        }
    }

    /// Verifies that no byte of a response stems from an earlier exchange.
    fn verify_origin(&self, response: &ReceivedResponse<'_>) -> Result<(), ResponseMismatch> {
        if self.exchanges == 0 {
            return Ok(());
        }
        if self.digests.contains(&response.digest()) {
            return Err(ResponseMismatch::DuplicateResponse);
        }
        if contains_another_response(response.body, response.trailing) {
            return Err(ResponseMismatch::ContainsAnotherResponse);
        }
        Ok(())
    }

    /// Verifies a response like [`ExchangeHistory::verify`], but accepts a duplicate of a response that is
    /// common to different requests, unless more bytes follow it.
    pub fn verify_allowing_common(
        &self,
        response: &ReceivedResponse<'_>,
        request_id: &str,
        common: &CommonResponses,
    ) -> Result<(), ResponseMismatch> {
        match self.verify(response, request_id) {
            Err(ResponseMismatch::DuplicateResponse)
                if response.trailing.is_empty() && common.contains(response) =>
            {
                Ok(())
            }
            verdict => verdict,
        }
    }

    /// Records an exchange that ended with its own response.
    pub fn record(&mut self, now: Ms, response: &ReceivedResponse<'_>) {
        if self.digests.len() == MAX_REMEMBERED_RESPONSES {
            self.digests.pop_front();
        }
        self.digests.push_back(response.digest());
        self.exchanges += 1;
        self.last_ended_at = now;
    }
}

/// Returns whether another response begins inside a body and continues after it. A body without trailing
/// bytes may contain anything.
fn contains_another_response(body: &[u8], trailing: &[u8]) -> bool {
    if trailing.is_empty() {
        return false;
    }
    let length = RESPONSE_START.len();
    if body.windows(length).any(|bytes| bytes == RESPONSE_START) {
        return true;
    }
    (1..length.min(body.len() + 1)).any(|inside| {
        let (start, remainder) = RESPONSE_START.split_at(inside);
        body.ends_with(start) && (trailing.starts_with(remainder) || remainder.starts_with(trailing))
    })
}

/// Returns whether the trailing bytes may be the rest of a body whose stated length is too small. A copy of a
/// response can be told from such a rest, other bytes cannot.
fn may_be_cut(response: &ReceivedResponse<'_>) -> bool {
    let has_rest = !response.trailing.is_empty() && !begins_response(response.trailing);
    has_rest && response.body_end == BodyEnd::Stated
}

#[cfg(test)]
mod tests;
