//! Exchanges of requests and responses on HTTP/1.1 connections, free of I/O.
//!
//! HTTP/1.1 matches a response to its request by order alone. This package maintains that order on both sides
//! of a host. [`ExchangeHistory`], [`CommonResponses`] and [`ConnectionReusePolicy`] decide which bytes from
//! an endpoint may be the response to the request in flight, and when a connection may carry another
//! exchange. [`RequestQueue`] buffers a client's requests until each has been answered.

mod common_responses;
mod connection_reuse;
mod exchange_history;
mod request_queue;

pub use common_responses::CommonResponses;
pub use connection_reuse::ConnectionReusePolicy;
pub use exchange_history::{ExchangeHistory, ReceivedResponse, ResponseDigest, ResponseMismatch};
pub use request_queue::{NextRequest, RequestQueue};

/// Milliseconds on a monotonic clock.
pub type Ms = f64;
