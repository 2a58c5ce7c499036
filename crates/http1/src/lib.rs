//! HTTP/1.1 without I/O. What is read comes as a slice of all bytes that were not used yet; every bound is hard,
//! and what a message promises is never allocated. Strict: what two readers could frame in two ways is refused,
//! so that nothing hidden in a body is ever consumed for a message of its own.

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
pub use write::{write_request_head, write_response, CONTINUE_RESPONSE};

/// The longest head of a message, and the longest body of a request and of an answer. RequestReader keep to what the
/// platform's pages say of every body; nodes were met whose good answers had some 260 KB.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
pub const MAX_REQUEST_BODY_BYTES: usize = 64 << 10;
pub const MAX_RESPONSE_BODY_BYTES: usize = 1 << 20;
