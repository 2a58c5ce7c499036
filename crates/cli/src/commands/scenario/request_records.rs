//! The file of request records: one JSON object per line, for each attempt of a client and for each final answer.

use magpiewick_node_protocol::FinalCode;
use magpiewick_scenario::{ClientEvent, ClientRequest, ScenarioReport};
use serde_json::{json, Value};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// Writes all records of a run in the order in which clients made them.
pub(super) fn write(path: &Path, report: &ScenarioReport) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for (at_ms, event) in &report.client_events {
        writeln!(file, "{}", record(*at_ms, event))?;
    }
    file.flush()
}

fn record(at_ms: f64, event: &ClientEvent) -> Value {
    match event {
        ClientEvent::Sent(request) => request_record(at_ms, request),
        ClientEvent::Answered { number, code, retry_after } => json!({
            "at_ms": at_ms, "try": number, "answer": answer_word(*code), "back_ms": retry_after
        }),
        ClientEvent::BlockRead { number, block, idempotency_key } => json!({
            "at_ms": at_ms, "try": number, "block": block, "found": idempotency_key
        }),
        ClientEvent::TimedOut { number } => json!({ "at_ms": at_ms, "try": number, "answer": "none" }),
        ClientEvent::ConnectionLost { number } => {
            json!({ "at_ms": at_ms, "try": number, "answer": "host-died" })
        }
    }
}

fn request_record(at_ms: f64, request: &ClientRequest) -> Value {
    json!({
        "at_ms": at_ms, "try": request.number, "command": request.idempotency_key, "host": request.host_number,
        "band": request.class, "volume": request.volume, "key": request.key, "limit_ms": request.timeout,
        "later": request.is_retry
    })
}

/// The word of a final answer in the file, in which it stays whatever the code is called.
fn answer_word(code: FinalCode) -> &'static str {
    match code {
        FinalCode::Succeeded => "settled",
        FinalCode::Rejected => "bounced",
        FinalCode::Failed => "scrapped",
    }
}
