//! Ages of requests at each step from their arrival to the last byte of the answer; free of I/O.

use hdrhistogram::Histogram;
use magpiewick::Ms;
use std::fmt;

/// Longest age that is told apart from longer ones.
const MAX_AGE_US: u64 = 60_000_000;
/// Significant decimal digits of an age.
const AGE_DIGITS: u8 = 2;
/// Number of steps.
const STEPS: usize = 5;
/// Names of the steps in reports.
const STEP_NAMES: [&str; STEPS] = ["read", "parsed", "queued", "answered", "flushed"];

/// Times of the steps of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RequestTimes {
    /// Earliest time at which the last bytes of the request may have arrived.
    pub arrived_at: Ms,
    /// Time at which its last bytes were read.
    pub read_at: Ms,
    /// Time at which it was taken from its connection and parsed.
    pub parsed_at: Ms,
    /// Time at which the engine received it.
    pub queued_at: Ms,
    /// Time after its arrival for which the client waits.
    pub client_timeout: Ms,
}

/// Request with its answer, which is perhaps not written completely.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AnsweredRequest {
    /// Id assigned by the client.
    pub id: String,
    pub times: RequestTimes,
    pub answered_at: Ms,
}

/// Ages of a request at its steps, in the order of [`STEP_NAMES`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StepAges([Ms; STEPS]);

impl StepAges {
    /// Returns the ages of a request whose answer is written completely.
    pub(crate) fn new(request: &AnsweredRequest, flushed_at: Ms) -> StepAges {
        let RequestTimes { arrived_at, read_at, parsed_at, queued_at, .. } = request.times;
        let steps = [read_at, parsed_at, queued_at, request.answered_at, flushed_at];
        StepAges(steps.map(|at| (at - arrived_at).max(0.0)))
    }

    /// Returns the age at the last step.
    pub(crate) fn flushed(&self) -> Ms {
        self.0[STEPS - 1]
    }
}

impl fmt::Display for StepAges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, age) in STEP_NAMES.iter().zip(self.0) {
            write!(f, "{name}={age:.1} ")?;
        }
        f.write_str("ms")
    }
}

/// Distribution of the ages at each step since the last report.
pub(crate) struct RequestStages {
    steps: [Histogram<u32>; STEPS],
}

impl RequestStages {
    /// Creates distributions without any request.
    pub(crate) fn new() -> RequestStages {
        // The bounds are constants that the constructor accepts.
        let step = |_| Histogram::new_with_bounds(1, MAX_AGE_US, AGE_DIGITS).expect("valid bounds");
        RequestStages { steps: std::array::from_fn(step) }
    }

    /// Adds a request whose answer is written completely.
    pub(crate) fn add(&mut self, ages: &StepAges) {
        for (step, age) in self.steps.iter_mut().zip(ages.0) {
            step.saturating_record((age * 1000.0) as u64);
        }
    }

    /// Returns a summary of the requests since the last call, and forgets them.
    pub(crate) fn take_summary(&mut self) -> StagesSummary {
        let summarize = |step: &Histogram<u32>| {
            let ms = |us: u64| us as f64 / 1000.0;
            StepSummary {
                median: ms(step.value_at_quantile(0.5)),
                p99: ms(step.value_at_quantile(0.99)),
                longest: ms(step.max()),
            }
        };
        let summary =
            StagesSummary { requests: self.steps[0].len(), steps: self.steps.each_ref().map(summarize) };
        self.steps.iter_mut().for_each(Histogram::reset);
        summary
    }
}

/// Ages at one step.
#[derive(Clone, Copy, Debug, PartialEq)]
struct StepSummary {
    median: Ms,
    p99: Ms,
    longest: Ms,
}

/// Ages at all steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StagesSummary {
    /// Number of requests.
    pub requests: u64,
    steps: [StepSummary; STEPS],
}

impl fmt::Display for StagesSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, step) in STEP_NAMES.iter().zip(self.steps) {
            write!(f, "{name}={:.1}/{:.1}/{:.1} ", step.median, step.p99, step.longest)?;
        }
        f.write_str("ms")
    }
}

#[cfg(test)]
mod tests;
