//! Queue of the requests that a client has sent and that have not been answered.

use magpiewick_http1::{may_begin_request, CompleteRequest, Rejection, RequestReader};

/// Response to a request whose stated body length is wrong, which the bytes after the body reveal.
const WRONG_CONTENT_LENGTH: Rejection =
    Rejection { status: 400, reason: "the length is not that of the body" };
/// Response to a request beyond the buffer limit that cannot be skipped piece by piece.
const TOO_MUCH_UNSKIPPED: Rejection = Rejection { status: 503, reason: "there is no memory for the request" };
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
    /// Bytes after the complete requests that cannot be skipped yet, such as a part of a head.
    unskipped: Vec<u8>,
    /// Reason why the input after the complete requests is not used.
    rejection: Option<Rejection>,
    /// True if input is stored again from the start of the next request on.
    storing: bool,
}

impl Overflow {
    fn push(&mut self, input: &[u8]) {
        if self.rejection.is_some() {
            return;
        }
        if self.storing && !self.requests.in_progress() {
            return self.unskipped.extend_from_slice(input);
        }
        if self.unskipped.is_empty() {
            let used = self.skip(input);
            return self.keep(&input[used..]);
        }
        let mut unskipped = std::mem::take(&mut self.unskipped);
        unskipped.extend_from_slice(input);
        let used = self.skip(&unskipped);
        self.keep(&unskipped[used..]);
    }

    /// Skips requests as far as possible, or to the end of the first where input is stored again. Returns the number of
    /// bytes used.
    fn skip(&mut self, input: &[u8]) -> usize {
        let mut used = 0;
        loop {
            match self.requests.skip(&input[used..]) {
                Ok((read, complete)) => {
                    used += read;
                    if !complete {
                        return used;
                    }
                    self.count += 1;
                    if self.storing {
                        return used;
                    }
                }
                Err(rejection) => {
                    self.rejection = Some(rejection);
                    return used;
                }
            }
        }
    }

    /// Keeps the remainder of the input in a buffer of its size.
    fn keep(&mut self, unskipped: &[u8]) {
        self.unskipped = if self.rejection.is_some() { Vec::new() } else { unskipped.to_vec() };
    }

    /// Rejects the input after the complete requests if more than `limit` bytes of it cannot be skipped.
    fn limit_unskipped(&mut self, limit: usize) {
        if self.unskipped.len() > limit {
            (self.unskipped, self.rejection) = (Vec::new(), Some(TOO_MUCH_UNSKIPPED));
        }
    }

    fn memory_bytes(&self) -> usize {
        self.unskipped.capacity() + self.requests.memory_bytes()
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
    pub fn push(&mut self, input: &[u8]) {
        match &mut self.overflow {
            Some(overflow) => overflow.push(input),
            None => self.input.extend_from_slice(input),
        }
    }

    /// Returns whether the queue holds neither input nor rejected requests.
    pub fn is_empty(&self) -> bool {
        self.buffered() == 0 && !self.requests.in_progress() && self.overflow.is_none()
    }

    /// Returns the memory that the queue takes.
    pub fn memory_bytes(&self) -> usize {
        let overflow = self.overflow.as_ref().map_or(0, Overflow::memory_bytes);
        self.input.capacity() + self.requests.memory_bytes() + overflow
    }

    /// Returns the number of bytes that have not been parsed.
    pub fn buffered(&self) -> usize {
        self.input.len() - self.used
    }

    /// Returns whether the input after the next responses is rejected, so that no further input can be used.
    pub fn is_malformed(&self) -> bool {
        self.overflow.as_ref().is_some_and(|overflow| overflow.rejection.is_some())
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body; true once per request.
    pub fn expects_continue(&mut self) -> bool {
        match &mut self.overflow {
            Some(overflow) => overflow.requests.expects_continue(),
            None => self.requests.expects_continue(),
        }
    }

    /// Limits the stored input to `limit` bytes. Requests beyond the limit are counted and will be rejected in order;
    /// their bodies are dropped as they arrive.
    pub fn limit_buffered(&mut self, limit: usize) {
        if let Some(overflow) = &mut self.overflow {
            if overflow.unskipped.len() > limit {
                overflow.storing = false;
                overflow.push(&[]);
            }
            return;
        }
        if self.memory_bytes() <= limit {
            return;
        }
        self.store_exactly();
        if self.buffered() <= limit {
            return;
        }
        let mut scan = self.requests.clone();
        let mut end = 0;
        while let Ok((read, true)) = scan.skip(&self.input[end..]) {
            if end + read > limit {
                break;
            }
            end += read;
        }
        let mut overflow = Overflow::default();
        if end == 0 {
            // The incomplete request alone exceeds the limit.
            overflow.requests = std::mem::take(&mut self.requests);
        }
        overflow.push(&self.input[end..]);
        self.input = self.input[..end].to_vec();
        self.overflow = Some(overflow);
    }

    /// Stores input again from the start of the next request on, where requests beyond the limit are being dropped.
    pub fn resume_storing(&mut self) {
        if let Some(overflow) = &mut self.overflow {
            overflow.storing = true;
        }
    }

    /// Rejects the input after the complete requests beyond the buffer limit if more than `limit` bytes of it cannot be
    /// skipped, such as a long head. No further input can then be used.
    pub fn limit_unskipped(&mut self, limit: usize) {
        if let Some(overflow) = &mut self.overflow {
            overflow.limit_unskipped(limit);
        }
    }

    /// Releases the memory of parsed input and of spare capacity. The remainder is copied: shrinking a large buffer in
    /// place would leave small blocks between large free ones, which no other large buffer can use.
    fn store_exactly(&mut self) {
        self.input = self.input[self.used..].to_vec();
        self.used = 0;
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
        if overflow.rejection.is_none() && overflow.requests.in_progress() {
            // A part of this request was dropped, so that it is rejected as well once it is complete.
            return None;
        }
        let overflow = self.overflow.take()?;
        if let Some(rejection) = overflow.rejection {
            return Some(self.reject(rejection));
        }
        (self.input, self.used, self.requests) = (overflow.unskipped, 0, overflow.requests);
        Some(self.take_next())
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
