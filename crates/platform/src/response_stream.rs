//! Stream of responses on a connection on which this host sends requests.

use magpiewick_http1::{MalformedResponse, Response, ResponseReader};
use magpiewick_transport::{Stream, StreamEnd};
use thiserror::Error;

/// Limit of the bytes that are read behind a complete response to learn whether any follow it.
const MAX_TRAILING_BYTES: usize = 1 << 10;

/// Reason why no further response can be read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ReceiveError {
    /// The bytes received are not an HTTP response.
    #[error(transparent)]
    Malformed(#[from] MalformedResponse),
    /// The connection was closed or reset before a response was complete.
    #[error("the connection ended before a response was complete")]
    ConnectionLost,
}

/// Complete response.
pub(crate) struct CompleteResponse {
    /// Response without the trailing bytes.
    pub response: Response,
    /// Bytes that arrived after the response.
    pub trailing: Vec<u8>,
    /// True if the connection cannot carry another exchange.
    pub last: bool,
}

/// Byte stream with the reader of its responses.
pub(crate) struct ResponseStream {
    stream: Stream,
    reader: ResponseReader,
}

impl ResponseStream {
    /// Creates the state of a stream without exchanges.
    pub(crate) fn new(stream: Stream) -> ResponseStream {
        ResponseStream { stream, reader: ResponseReader::default() }
    }

    /// Returns the byte stream.
    pub(crate) fn stream(&self) -> &Stream {
        &self.stream
    }

    /// Returns the byte stream for writing.
    pub(crate) fn stream_mut(&mut self) -> &mut Stream {
        &mut self.stream
    }

    /// Returns the memory that the buffers take.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.stream.input_capacity() + self.stream.output_capacity() + self.reader.memory_bytes()
    }

    /// Returns whether neither bytes nor the end of the stream have arrived since the last response.
    pub(crate) fn is_quiet(&mut self) -> bool {
        self.stream.is_reusable()
    }

    /// Reads input that arrived without a request, and returns the number of bytes.
    pub(crate) fn read_unsolicited(&mut self) -> usize {
        _ = self.stream.fill();
        self.stream.input().len()
    }

    /// Returns the number of bytes that were read and belong to no response yet.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.stream.input().len()
    }

    /// Returns whether a part of a response has arrived.
    pub(crate) fn has_partial_response(&self) -> bool {
        self.reader.in_progress() || !self.stream.input().is_empty()
    }

    /// Reads at most `max_bytes` of input, and returns a response if it is complete.
    pub(crate) fn receive(&mut self, max_bytes: usize) -> Result<Option<CompleteResponse>, ReceiveError> {
        let mut ended = self.stream.fill_up_to(max_bytes).err();
        let input = self.stream.take_input();
        let (used, response) = self.reader.read(&input)?;
        self.stream.return_input(input, used);
        if response.is_some() && ended.is_none() {
            // Trailing bytes that the limit left unread, or that have just arrived, count as those read before.
            ended = self.stream.fill_up_to(MAX_TRAILING_BYTES).err();
        }
        let trailing = self.stream.input().to_vec();
        let response = match (response, &ended) {
            (None, Some(StreamEnd::Closed)) if trailing.is_empty() => self.reader.on_end_of_stream(),
            (response, _) => response,
        };
        match response {
            Some(response) => {
                let last = !trailing.is_empty() || ended.is_some() || response.close;
                Ok(Some(CompleteResponse { response, trailing, last }))
            }
            None if ended.is_some() => Err(ReceiveError::ConnectionLost),
            None => Ok(None),
        }
    }
}

#[cfg(test)]
mod tests;
