//! HTTP/1.1 framing without I/O.
//!
//! Readers receive a slice of all unconsumed bytes. Every limit is strict, and no memory is allocated for a
//! length that a message only announces. Messages that two readers could frame differently are rejected, so
//! that no part of a body is ever parsed as a message of its own (request smuggling).

mod chunked_body;
mod head;
mod request;
mod response;
mod write;

pub use head::{AmbiguousHeader, HeadError, HeadReader, Headers};
pub use request::{
    may_begin_request, parse_request_head, BodyFraming, CompleteRequest, Rejection, RequestHead,
    RequestReader,
};
pub use response::{begins_response, BodyEnd, MalformedResponse, Response, ResponseReader, RESPONSE_START};
pub use write::{write_request_head, write_response, OutgoingResponse, CONTINUE_RESPONSE};

/// Maximum length of a message head.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum length of a request body, as specified by the platform.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 << 10;
/// Maximum length of a response body. Some endpoints send 260 KB.
pub const MAX_RESPONSE_BODY_BYTES: usize = 1 << 20;
