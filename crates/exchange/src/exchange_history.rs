//! The exchanges of one connection to an endpoint, one at a time.

use crate::{CommonResponses, Ms};
use std::collections::VecDeque;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// How every response begins.
const RESPONSE_START: &[u8] = b"HTTP/1.1 ";
/// Responses that are remembered of each connection.
const MAX_REMEMBERED_RESPONSES: usize = 32;

/// A complete response as it arrived on a connection.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedResponse<'a> {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: &'a [u8],
    /// What has arrived after it.
    pub trailing: &'a [u8],
    /// The id of the request that it names.
    pub request_id: Option<&'a str>,
}

/// A digest of the status and body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ResponseDigest(u64);

impl ReceivedResponse<'_> {
    /// By what it is compared with others.
    pub fn digest(&self) -> ResponseDigest {
        let mut hasher = Xxh3::new();
        hasher.update(&self.status.to_le_bytes());
        hasher.update(self.body);
        ResponseDigest(hasher.digest())
    }
}

/// Why a response may belong to another request than the one in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseMismatch {
    /// It names another request.
    #[error("the response names another request")]
    DifferentRequestId,
    /// It is the same as an earlier one on this connection.
    #[error("the response is the same as an earlier one on its connection")]
    DuplicateResponse,
    /// The beginning of another response is in its body, and more came after it: a part of an earlier response came
    /// first, and was filled up with what came next.
    #[error("another response begins in the body")]
    ContainsAnotherResponse,
}

impl ResponseMismatch {
    /// The name under which it is logged and counted.
    pub fn as_str(self) -> &'static str {
        match self {
            ResponseMismatch::DifferentRequestId => "different_request_id",
            ResponseMismatch::DuplicateResponse => "duplicate_response",
            ResponseMismatch::ContainsAnotherResponse => "contains_another_response",
        }
    }
}

/// What is known of the exchanges of one connection.
#[derive(Clone, Debug, Default)]
pub struct ExchangeHistory {
    /// Digests of earlier responses, the latest at the end.
    digests: VecDeque<ResponseDigest>,
    exchanges: u32,
    last_ended_at: Ms,
}

impl ExchangeHistory {
    /// Exchanges that ended with a complete response.
    pub fn exchanges(&self) -> u32 {
        self.exchanges
    }

    /// How long ago the last one ended.
    pub fn idle_for(&self, now: Ms) -> Ms {
        now - self.last_ended_at
    }

    /// Whether a response is that of the request in flight. On a connection that was never used before nothing else
    /// can arrive. On any other, what is left of an earlier exchange may arrive first: a copy of its response, or a
    /// part of one. Where an endpoint gives the same response to two requests on one connection, the second counts as
    /// a mismatch.
    pub fn verify(&self, response: &ReceivedResponse<'_>, request_id: &str) -> Result<(), ResponseMismatch> {
        if response.request_id.is_some_and(|named| named != request_id) {
            return Err(ResponseMismatch::DifferentRequestId);
        }
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

    /// The same, where responses are known that different requests are given: the same content is no sign then, unless
    /// more arrived behind it.
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

    /// An exchange has ended with a response of its own.
    pub fn record(&mut self, now: Ms, response: &ReceivedResponse<'_>) {
        if self.digests.len() == MAX_REMEMBERED_RESPONSES {
            self.digests.pop_front();
        }
        self.digests.push_back(response.digest());
        self.exchanges += 1;
        self.last_ended_at = now;
    }
}

/// Whether another response begins inside a body and goes on after it. A body alone may hold anything.
fn contains_another_response(body: &[u8], trailing: &[u8]) -> bool {
    if trailing.is_empty() {
        return false;
    }
    let length = RESPONSE_START.len();
    if body.windows(length).any(|bytes| bytes == RESPONSE_START) {
        return true;
    }
    (1..length.min(body.len() + 1)).any(|inside| {
        let (start, rest) = RESPONSE_START.split_at(inside);
        body.ends_with(start) && (trailing.starts_with(rest) || rest.starts_with(trailing))
    })
}

#[cfg(test)]
mod tests;
