//! Responses as they arrive on a connection on which this host sends requests.

use magpiewick_http1::{MalformedResponse, Response, ResponseReader};
use magpiewick_transport::{Stream, StreamEnd};
use thiserror::Error;

/// Why no response can be read from a connection any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ReceiveError {
    /// Bytes that are no response.
    #[error(transparent)]
    Malformed(#[from] MalformedResponse),
    /// The connection ended or broke before a response was complete.
    #[error("the connection ended before a response was complete")]
    ConnectionLost,
}

/// A complete response.
pub(crate) struct CompleteResponse {
    /// The response.
    pub response: Response,
    /// What has arrived after it.
    pub trailing: Vec<u8>,
    /// The connection cannot carry another exchange.
    pub last: bool,
}

/// A byte stream and the reader of its responses.
pub(crate) struct ResponseStream {
    stream: Stream,
    reader: ResponseReader,
}

impl ResponseStream {
    /// A stream on which nothing was exchanged yet.
    pub(crate) fn new(stream: Stream) -> ResponseStream {
        ResponseStream { stream, reader: ResponseReader::default() }
    }

    /// The byte stream, for what is written to it.
    pub(crate) fn stream(&self) -> &Stream {
        &self.stream
    }

    /// The byte stream, for what is written to it.
    pub(crate) fn stream_mut(&mut self) -> &mut Stream {
        &mut self.stream
    }

    /// The memory that its buffers take.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.stream.buffer_capacity() + self.reader.memory_bytes()
    }

    /// Whether neither bytes nor an end have arrived while nothing was requested.
    pub(crate) fn is_quiet(&mut self) -> bool {
        self.stream.is_reusable()
    }

    /// Reads what arrived while nothing was requested; how many bytes that are.
    pub(crate) fn read_unsolicited(&mut self) -> usize {
        _ = self.stream.fill();
        self.stream.input().len()
    }

    /// Bytes that were read and belong to no response yet.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.stream.input().len()
    }

    /// Whether a part of a response has arrived.
    pub(crate) fn has_partial_response(&self) -> bool {
        self.reader.in_progress() || !self.stream.input().is_empty()
    }

    /// Reads what has arrived: a response, if it is complete.
    pub(crate) fn receive(&mut self) -> Result<Option<CompleteResponse>, ReceiveError> {
        let ended = self.stream.fill().err();
        let input = self.stream.take_input();
        let (used, response) = self.reader.read(&input)?;
        let trailing = input[used..].to_vec();
        self.stream.return_input(input, used);
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
