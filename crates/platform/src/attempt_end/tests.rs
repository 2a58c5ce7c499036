use super::*;

/// Each row of the platform's table, and what it says of whether the request has run.
#[test]
fn only_what_the_platform_names_proves_that_nothing_ran() {
    let answer = |status, not_run| AttemptEnd::Response { status, not_run };
    for (end, written, expected, never_ran) in [
        (answer(200, false), true, Outcome::Succeeded, false),
        (answer(200, true), true, Outcome::Succeeded, false),
        (answer(500, false), true, Outcome::Error, false),
        (answer(500, true), true, Outcome::Error, false),
        (answer(503, true), true, Outcome::Overloaded, true),
        (answer(504, true), true, Outcome::Overloaded, true),
        (answer(503, false), true, Outcome::Error, false),
        (answer(504, false), false, Outcome::Error, false),
        (answer(429, true), true, Outcome::Error, false),
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
        let found = end.outcome(written);
        assert_eq!((found, found.never_ran()), (expected, never_ran), "{end:?}, written: {written}");
    }
}
