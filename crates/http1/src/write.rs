//! Messages as bytes. Their parts are the caller's, who has checked them: a line's end in one would frame anew.

/// The reason that goes with a status.
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

fn put(out: &mut Vec<u8>, parts: &[&[u8]]) {
    parts.iter().for_each(|part| out.extend_from_slice(part));
}

fn fields(out: &mut Vec<u8>, fields: &[(&str, &[u8])]) {
    for (name, value) in fields {
        put(out, &[name.as_bytes(), b": ", value, b"\r\n"]);
    }
}

pub fn write_response(out: &mut Vec<u8>, status: u16, named: &[(&str, &[u8])], content: &[u8], close: bool) {
    put(out, &[b"HTTP/1.1 ", status.to_string().as_bytes(), b" ", reason_phrase(status).as_bytes(), b"\r\n"]);
    fields(out, named);
    if close {
        fields(out, &[("Connection", b"close")]);
    }
    fields(out, &[("Content-Length", content.len().to_string().as_bytes())]);
    put(out, &[b"\r\n", content]);
}

/// A request's first line and fields; what else belongs to the head may follow, then an empty line and the body.
pub fn write_request_head(out: &mut Vec<u8>, method: &str, target: &str, named: &[(&str, &[u8])]) {
    put(out, &[method.as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"]);
    fields(out, named);
}

/// The word to a client that keeps its body back until it has one.
pub const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
