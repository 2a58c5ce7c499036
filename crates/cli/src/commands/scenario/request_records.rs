//! The file of request records: one JSON object per line, for each attempt of a client and for each final answer.

use magpiewick_node_protocol::FinalCode;
use magpiewick_scenario::{Said, ScenarioReport, Try};
use serde_json::{json, Value};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// Writes all records of a run in the order in which clients made them.
pub fn write(path: &Path, report: &ScenarioReport) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for (at_ms, event) in &report.said {
        writeln!(file, "{}", record(*at_ms, event))?;
    }
    file.flush()
}

fn record(at_ms: f64, event: &Said) -> Value {
    match event {
        Said::Took(request) => request_record(at_ms, request),
        Said::Answered { number, verdict, back } => json!({
            "at_ms": at_ms, "try": number, "answer": answer_word(*verdict), "back_ms": back
        }),
        Said::Found { number, block, mark } => json!({
            "at_ms": at_ms, "try": number, "block": block, "found": mark
        }),
        Said::GaveUp { number } => json!({ "at_ms": at_ms, "try": number, "answer": "none" }),
        Said::Lost { number } => json!({ "at_ms": at_ms, "try": number, "answer": "host-died" }),
    }
}

fn request_record(at_ms: f64, request: &Try) -> Value {
    json!({
        "at_ms": at_ms, "try": request.number, "command": request.mark, "host": request.at_host,
        "band": request.class, "volume": request.volume, "key": request.key, "limit_ms": request.limit,
        "later": request.later
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
