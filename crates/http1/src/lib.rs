//! HTTP/1.1 framing without I/O.
//!
//! Readers are given a slice of all bytes that were not used yet. Every limit is hard, and no memory is allocated for
//! what a message merely announces. Messages that two readers could frame differently are rejected, so that nothing in
//! a body is ever read as a message of its own (request smuggling).

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
pub use response::{MalformedResponse, Response, ResponseReader};
pub use write::{write_request_head, write_response, OutgoingResponse, CONTINUE_RESPONSE};

/// The longest head of a message.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The longest body of a request; the platform says so.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 << 10;
/// The longest body of a response. Some endpoints send 260 KB.
pub const MAX_RESPONSE_BODY_BYTES: usize = 1 << 20;
