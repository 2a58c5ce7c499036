//! Serialization of messages. The caller has validated the parts: a line break in a header would change the
//! framing.

/// Returns the reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        501 => "Not Implemented",
        505 => "HTTP Version Not Supported",
        _ => "Unknown",
    }
}

fn append(out: &mut Vec<u8>, parts: &[&[u8]]) {
    parts.iter().for_each(|part| out.extend_from_slice(part));
}

fn append_headers(out: &mut Vec<u8>, headers: &[(&str, &[u8])]) {
    for (name, value) in headers {
        append(out, &[name.as_bytes(), b": ", value, b"\r\n"]);
    }
}

/// A response to be written.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingResponse<'a> {
    /// Status code.
    pub status: u16,
    /// Headers, without those of the framing.
    pub headers: &'a [(&'a str, &'a [u8])],
    /// Body.
    pub body: &'a [u8],
    /// True if the response announces that the connection is closed after it.
    pub close: bool,
}

/// Writes a response.
pub fn write_response(out: &mut Vec<u8>, response: &OutgoingResponse<'_>) {
    let OutgoingResponse { status, headers, body, close } = *response;
    append(
        out,
        &[b"HTTP/1.1 ", status.to_string().as_bytes(), b" ", reason_phrase(status).as_bytes(), b"\r\n"],
    );
    append_headers(out, headers);
    if close {
        append_headers(out, &[("Connection", b"close")]);
    }
    append_headers(out, &[("Content-Length", body.len().to_string().as_bytes())]);
    append(out, &[b"\r\n", body]);
}

/// Writes the request line and headers. The caller may append further headers, and then appends an empty line
/// and the body.
pub fn write_request_head(out: &mut Vec<u8>, method: &str, target: &str, headers: &[(&str, &[u8])]) {
    append(out, &[method.as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"]);
    append_headers(out, headers);
}

/// Interim response after which a client that expects it sends its body.
pub const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
