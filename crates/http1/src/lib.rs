//! HTTP/1.1 without I/O. What is read comes as a slice of all bytes that were not used yet; every bound is hard,
//! and what a message promises is never allocated. Strict: what two readers could frame in two ways is refused,
//! so that nothing hidden in a body is ever taken for a message of its own.

mod answer;
mod chunks;
mod head;
mod request;
mod write;

pub use answer::{Answer, Answers, Spoilt};
pub use head::{Ambiguous, BadHead, Fields, Heads};
pub use request::{begins_like_a_request, request, Framing, Refused, Request, Requests, Whole};
pub use write::{write_answer, write_request_head, CONTINUE};

/// The longest head of a message, and the longest body of a request and of an answer. Requests keep to what the
/// platform's pages say of every body; nodes were met whose good answers had some 260 KB.
pub const MOST_HEAD: usize = 16 << 10;
pub const MOST_BODY: usize = 64 << 10;
pub const MOST_ANSWER: usize = 1 << 20;
