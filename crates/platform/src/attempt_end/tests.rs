use super::*;

/// Covers each row of the platform's table of attempt ends, and whether the request may have run.
#[test]
fn only_ends_defined_by_the_platform_prove_that_a_request_did_not_run() {
    let response = |status, not_run| AttemptEnd::Response { status, not_run };
    for (end, written, expected, never_ran) in [
        (response(200, false), true, Outcome::Succeeded, false),
        (response(200, true), true, Outcome::Succeeded, false),
        (response(500, false), true, Outcome::Error, false),
        (response(500, true), true, Outcome::Error, false),
        (response(503, true), true, Outcome::Overloaded, true),
        (response(504, true), true, Outcome::Overloaded, true),
        (response(503, false), true, Outcome::Error, false),
        (response(504, false), false, Outcome::Error, false),
        (response(429, true), true, Outcome::Error, false),
        (AttemptEnd::ConnectionLost, false, Outcome::ConnectFailed, true),
        (AttemptEnd::ConnectionLost, true, Outcome::Reset, false),
        (AttemptEnd::MalformedResponse, true, Outcome::Reset, false),
        (AttemptEnd::TimedOut, false, Outcome::ConnectFailed, true),
        (AttemptEnd::TimedOut, true, Outcome::TimedOut, false),
        (AttemptEnd::Cancelled, false, Outcome::ConnectFailed, true),
        (AttemptEnd::Cancelled, true, Outcome::Cancelled, false),
        (AttemptEnd::Withdrawn, false, Outcome::DeadlineExceeded, true),
        (AttemptEnd::Withdrawn, true, Outcome::Cancelled, false),
    ] {
        let actual = end.outcome(written);
        assert_eq!((actual, actual.never_ran()), (expected, never_ran), "{end:?}, written: {written}");
    }
}
