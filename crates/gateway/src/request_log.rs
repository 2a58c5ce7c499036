//! Log of requests: one span and one final line per request, under the target `request`.

use magpiewick::Ms;
use magpiewick_node_protocol::FinalCode;
use tracing::Span;

/// Log of one request.
pub(crate) struct RequestLog {
    span: Span,
}

impl RequestLog {
    /// Opens the span of a request.
    pub(crate) fn open(host: u32, request_id: u64, volume: &str, class: &str) -> RequestLog {
        RequestLog {
            span: tracing::info_span!(target: "request", "request", host, request_id, volume, class),
        }
    }

    /// Returns the log for a part of the same request.
    pub(crate) fn for_part(&self) -> RequestLog {
        RequestLog { span: self.span.clone() }
    }

    /// Logs the final answer of a request.
    pub(crate) fn finished(
        &self,
        code: FinalCode,
        reason: &str,
        attempts: u32,
        endpoint: Option<u32>,
        elapsed_ms: Ms,
    ) {
        let answer = answer_name(code);
        self.span.in_scope(|| {
            tracing::info!(target: "request", answer, reason, attempts, endpoint, elapsed_ms, "request_finished");
        });
    }

    /// Logs a request that its client no longer waits for.
    pub(crate) fn cancelled(&self, reason: &str, attempts: u32, endpoint: Option<u32>) {
        self.span.in_scope(|| {
            tracing::info!(target: "request", reason, attempts, endpoint, "request_cancelled");
        });
    }

    /// Logs the final answer of a split read.
    pub(crate) fn split_read_finished(&self, code: FinalCode) {
        let answer = answer_name(code);
        self.span.in_scope(|| tracing::info!(target: "request", answer, "split_read_finished"));
    }
}

fn answer_name(code: FinalCode) -> &'static str {
    match code {
        FinalCode::Succeeded => "succeeded",
        FinalCode::Rejected => "rejected",
        FinalCode::Failed => "failed",
    }
}
