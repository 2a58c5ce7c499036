//! What a client has sent and is owed answers for.

use magpiewick_http1::{may_begin_request, CompleteRequest, Rejection, RequestReader};

/// A body whose length was wrong is seen by what stands behind it.
const WRONG_CONTENT_LENGTH: Rejection =
    Rejection { status: 400, reason: "the length is not that of the body" };
/// Used input is given back when there is so much of it.
const COMPACT_THRESHOLD_BYTES: usize = 64 << 10;

/// What is next in a client's queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing came that has no answer.
    Empty,
    /// A part of a request.
    Partial,
    Request(CompleteRequest),
    /// A request was whole but came behind too much: it is refused in its turn.
    Overflowed,
    /// No request, and nothing behind it can be read as one either.
    Rejected(Rejection),
}

/// Requests that came behind more than is kept.
#[derive(Clone, Debug, Default)]
struct Overflow {
    requests: RequestReader,
    /// CompleteRequest requests so far.
    refused: usize,
    /// The part of a request behind them.
    rest: Vec<u8>,
    malformed: Option<Rejection>,
}

impl Overflow {
    fn push(&mut self, input: &[u8]) {
        if self.malformed.is_some() {
            return;
        }
        self.rest.extend_from_slice(input);
        let mut used = 0;
        let outcome = loop {
            match self.requests.read(&self.rest[used..]) {
                Ok((read, whole)) => {
                    used += read;
                    match whole {
                        Some(_) => self.refused += 1,
                        None => break None,
                    }
                }
                Err(refused) => break Some(refused),
            }
        };
        self.rest.drain(..used);
        if outcome.is_some() {
            self.rest = Vec::new();
        }
        self.malformed = outcome;
    }
}

/// All that a client has sent and that has no answer yet, in order. Nothing leaves it but by [`RequestQueue::take_next`]:
/// each whole request that was put in comes out once, to be answered.
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

    /// Whether nothing came that has no answer.
    pub fn is_empty(&self) -> bool {
        self.buffered() == 0 && !self.requests.in_progress() && self.overflow.is_none()
    }

    /// The memory that it takes.
    pub fn memory_bytes(&self) -> usize {
        let overflow = self.overflow.as_ref().map_or(0, |o| o.rest.capacity() + o.requests.memory_bytes());
        self.input.capacity() + self.requests.memory_bytes() + overflow
    }

    /// Bytes that came and were not used.
    pub fn buffered(&self) -> usize {
        self.input.len() - self.used
    }

    /// What comes behind the next answers cannot be read as requests: nothing more of it is of use.
    pub fn is_malformed(&self) -> bool {
        self.overflow.as_ref().is_some_and(|overflow| overflow.malformed.is_some())
    }

    /// Whether the client waits for a word before it sends the body; said once.
    pub fn expects_continue(&mut self) -> bool {
        self.requests.expects_continue()
    }

    /// Keeps whole requests of so many bytes at most; those behind them are counted and will be refused in their turn.
    /// Guards against clients that send on without end; it could harm one whose requests would have been served.
    pub fn bound(&mut self, limit: usize) {
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
            // The request that is under way is itself too large.
            overflow.requests = std::mem::take(&mut self.requests);
        }
        overflow.push(&self.input[end..]);
        self.input.truncate(end);
        self.input.shrink_to_fit();
        self.overflow = Some(overflow);
    }

    /// What is next. A whole request has left the queue before its answer is thought of, so that what is left in it is
    /// what is owed behind that answer.
    pub fn take_next(&mut self) -> Next {
        let (read, whole) = match self.requests.read(&self.input[self.used..]) {
            Ok(read) => read,
            Err(refused) => return self.refuse(refused),
        };
        self.used += read;
        self.compact();
        if let Some(whole) = whole {
            if !may_begin_request(&self.input[self.used..]) {
                return self.refuse(WRONG_CONTENT_LENGTH);
            }
            return Next::Request(whole);
        }
        if let Some(refused) = self.refused_in_turn() {
            return refused;
        }
        match self.is_empty() {
            true => Next::Empty,
            false => Next::Partial,
        }
    }

    /// The next of those that overflowed. Once all of them were refused, what came behind them is an ordinary request
    /// again.
    fn refused_in_turn(&mut self) -> Option<Next> {
        let overflow = self.overflow.as_mut()?;
        if overflow.refused > 0 {
            overflow.refused -= 1;
            return Some(Next::Overflowed);
        }
        let overflow = self.overflow.take()?;
        if let Some(refused) = overflow.malformed {
            return Some(self.refuse(refused));
        }
        (self.input, self.used, self.requests) = (overflow.rest, 0, overflow.requests);
        None
    }

    fn refuse(&mut self, refused: Rejection) -> Next {
        *self = RequestQueue::default();
        Next::Rejected(refused)
    }

    fn compact(&mut self) {
        if self.used == self.input.len() {
            // A burst's room is not kept for ever by a connection that went idle.
            (self.input, self.used) = (Vec::new(), 0);
        } else if self.used >= COMPACT_THRESHOLD_BYTES {
            self.input.drain(..self.used);
            self.used = 0;
        }
    }
}

#[cfg(test)]
mod tests;
