//! The requests that a client has sent and that have no response yet.

use magpiewick_http1::{may_begin_request, CompleteRequest, Rejection, RequestReader};

/// The response to a body whose length was wrong, which shows in what follows it.
const WRONG_CONTENT_LENGTH: Rejection =
    Rejection { status: 400, reason: "the length is not that of the body" };
/// Used input is dropped when there is so much of it.
const COMPACT_THRESHOLD_BYTES: usize = 64 << 10;

/// What is next in a client's queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// There is no input without a response.
    Empty,
    /// A part of a request.
    Partial,
    /// A complete request.
    Complete(CompleteRequest),
    /// A complete request came behind too many others: it is rejected in its turn.
    Overflowed,
    /// It is no request, and nothing after it can be read as one either.
    Rejected(Rejection),
}

/// Requests that came behind more than is kept: they are counted, not kept.
#[derive(Clone, Debug, Default)]
struct Overflow {
    requests: RequestReader,
    /// Complete requests so far.
    count: usize,
    /// The part of a request after them.
    partial: Vec<u8>,
    /// What comes after them is no request.
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

/// All that a client has sent and that has no response yet, in order. Nothing leaves it but by
/// [`RequestQueue::take_next`]: each complete request that was put in comes out once.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    input: Vec<u8>,
    /// How much of the input was used.
    used: usize,
    requests: RequestReader,
    overflow: Option<Overflow>,
}

impl RequestQueue {
    /// Takes in what was read from the client.
    pub fn push(&mut self, input: Vec<u8>) {
        if let Some(overflow) = &mut self.overflow {
            overflow.push(&input);
        } else if self.buffered() == 0 {
            (self.input, self.used) = (input, 0);
        } else {
            self.input.extend_from_slice(&input);
        }
    }

    /// Whether there is no input without a response.
    pub fn is_empty(&self) -> bool {
        self.buffered() == 0 && !self.requests.in_progress() && self.overflow.is_none()
    }

    /// The memory that it takes.
    pub fn memory_bytes(&self) -> usize {
        let overflow = self.overflow.as_ref().map_or(0, |o| o.partial.capacity() + o.requests.memory_bytes());
        self.input.capacity() + self.requests.memory_bytes() + overflow
    }

    /// Bytes that arrived and were not used.
    pub fn buffered(&self) -> usize {
        self.input.len() - self.used
    }

    /// Whether what follows the next responses is no request: no further input is of use.
    pub fn is_malformed(&self) -> bool {
        self.overflow.as_ref().is_some_and(|overflow| overflow.malformed.is_some())
    }

    /// Whether the client waits for `100 Continue` before it sends the body; true once.
    pub fn expects_continue(&mut self) -> bool {
        self.requests.expects_continue()
    }

    /// Keeps at most so many bytes of complete requests; those after them are counted and will be rejected in their
    /// turn.
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
            // The request that has begun is itself too large.
            overflow.requests = std::mem::take(&mut self.requests);
        }
        overflow.push(&self.input[end..]);
        self.input.truncate(end);
        self.input.shrink_to_fit();
        self.overflow = Some(overflow);
    }

    /// What is next. A complete request leaves the queue before it is answered, so that what is left in the queue is
    /// what is owed after that response.
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

    /// The next of those that overflowed. Once all were rejected, what came after them is ordinary input again.
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
            // An idle connection keeps no memory of a burst.
            (self.input, self.used) = (Vec::new(), 0);
        } else if self.used >= COMPACT_THRESHOLD_BYTES {
            self.input.drain(..self.used);
            self.used = 0;
        }
    }
}

#[cfg(test)]
mod tests;
