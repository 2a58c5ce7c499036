//! Queue of the requests that a client has sent and that have not been answered.

use magpiewick_http1::{may_begin_request, CompleteRequest, Rejection, RequestReader};

/// Response to a request whose stated body length is wrong, which the bytes after the body reveal.
const WRONG_CONTENT_LENGTH: Rejection =
    Rejection { status: 400, reason: "the length is not that of the body" };
/// Number of parsed input bytes at which they are removed from the buffer.
const COMPACT_THRESHOLD_BYTES: usize = 64 << 10;

/// Next item of a client's queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// The queue is empty.
    Empty,
    /// The queue holds an incomplete request.
    Partial,
    /// A complete request.
    Complete(CompleteRequest),
    /// A complete request beyond the buffer limit, which is rejected in order.
    Overflowed,
    /// The input is no valid request, and nothing after it can be parsed.
    Rejected(Rejection),
}

/// Requests beyond the buffer limit: they are counted, but not stored.
#[derive(Clone, Debug, Default)]
struct Overflow {
    requests: RequestReader,
    /// Number of complete requests.
    count: usize,
    /// Bytes of the incomplete request after the complete ones.
    partial: Vec<u8>,
    /// Reason why the input after the complete requests is no valid request.
    malformed: Option<Rejection>,
}

impl Overflow {
    fn push(&mut self, input: &[u8]) {
        if self.malformed.is_some() {
            return;
        }
        self.partial.extend_from_slice(input);
        let mut used = 0;
        let outcome = loop {
            match self.requests.read(&self.partial[used..]) {
                Ok((read, request)) => {
                    used += read;
                    match request {
                        Some(_) => self.count += 1,
                        None => break None,
                    }
                }
                Err(rejection) => break Some(rejection),
            }
        };
        self.partial.drain(..used);
        if outcome.is_some() {
            self.partial = Vec::new();
        }
        self.malformed = outcome;
    }
}

/// Input of a client that has not been answered, in order. Input leaves only through
/// [`RequestQueue::take_next`], which returns each complete request once.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    input: Vec<u8>,
    /// Number of input bytes that have been parsed.
    used: usize,
    requests: RequestReader,
    overflow: Option<Overflow>,
}

impl RequestQueue {
    /// Adds bytes that were read from the client.
    pub fn push(&mut self, input: Vec<u8>) {
        if let Some(overflow) = &mut self.overflow {
            overflow.push(&input);
        } else if self.buffered() == 0 {
            (self.input, self.used) = (input, 0);
        } else {
            self.input.extend_from_slice(&input);
        }
    }

    /// Returns whether the queue holds neither input nor rejected requests.
    pub fn is_empty(&self) -> bool {
        self.buffered() == 0 && !self.requests.in_progress() && self.overflow.is_none()
    }

    /// Returns the memory that the queue takes.
    pub fn memory_bytes(&self) -> usize {
        let overflow = self.overflow.as_ref().map_or(0, |o| o.partial.capacity() + o.requests.memory_bytes());
        self.input.capacity() + self.requests.memory_bytes() + overflow
    }

    /// Returns the number of bytes that have not been parsed.
    pub fn buffered(&self) -> usize {
        self.input.len() - self.used
    }

    /// Returns whether the input after the next responses is malformed, so that no further input can be used.
    pub fn is_malformed(&self) -> bool {
        self.overflow.as_ref().is_some_and(|overflow| overflow.malformed.is_some())
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body; true once per request.
    pub fn expects_continue(&mut self) -> bool {
        self.requests.expects_continue()
    }

    /// Limits the stored complete requests to `limit` bytes. Requests beyond the limit are counted and will
    /// be rejected in order.
    pub fn limit_buffered(&mut self, limit: usize) {
        if self.overflow.is_some() || self.buffered() <= limit {
            return;
        }
        let mut scan = self.requests.clone();
        let mut end = self.used;
        while let Ok((read, Some(_))) = scan.read(&self.input[end..]) {
            if end + read - self.used > limit {
                break;
            }
            end += read;
        }
        let mut overflow = Overflow::default();
        if end == self.used {
            // The incomplete request alone exceeds the limit.
            overflow.requests = std::mem::take(&mut self.requests);
        }
        overflow.push(&self.input[end..]);
        self.input.truncate(end);
        self.input.shrink_to_fit();
        self.overflow = Some(overflow);
    }

    /// Removes and returns the next item. A complete request leaves the queue before it is answered, so the
    /// queue then holds only what follows that request.
    pub fn take_next(&mut self) -> NextRequest {
        let (read, request) = match self.requests.read(&self.input[self.used..]) {
            Ok(read) => read,
            Err(rejection) => return self.reject(rejection),
        };
        self.used += read;
        self.compact();
        if let Some(request) = request {
            if !may_begin_request(&self.input[self.used..]) {
                return self.reject(WRONG_CONTENT_LENGTH);
            }
            return NextRequest::Complete(request);
        }
        if let Some(next) = self.next_overflowed() {
            return next;
        }
        match self.is_empty() {
            true => NextRequest::Empty,
            false => NextRequest::Partial,
        }
    }

    /// Returns the next item beyond the buffer limit. Once all of these requests have been rejected, the
    /// input after them is processed as usual.
    fn next_overflowed(&mut self) -> Option<NextRequest> {
        let overflow = self.overflow.as_mut()?;
        if overflow.count > 0 {
            overflow.count -= 1;
            return Some(NextRequest::Overflowed);
        }
        let overflow = self.overflow.take()?;
        if let Some(rejection) = overflow.malformed {
            return Some(self.reject(rejection));
        }
        (self.input, self.used, self.requests) = (overflow.partial, 0, overflow.requests);
        None
    }

    fn reject(&mut self, rejection: Rejection) -> NextRequest {
        *self = RequestQueue::default();
        NextRequest::Rejected(rejection)
    }

    fn compact(&mut self) {
        if self.used == self.input.len() {
            // Releases the buffer, so that an idle connection keeps no memory from a burst.
            (self.input, self.used) = (Vec::new(), 0);
        } else if self.used >= COMPACT_THRESHOLD_BYTES {
            self.input.drain(..self.used);
            self.used = 0;
        }
    }
}

#[cfg(test)]
mod tests;
