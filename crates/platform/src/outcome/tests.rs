use super::*;

/// Each row of the platform's table, and what it says of whether the command has run.
#[test]
fn only_what_the_platform_names_proves_that_nothing_ran() {
    let answer = |status, not_run| Sign::Answer { status, not_run };
    for (sign, written, meant, never_ran) in [
        (answer(200, false), true, Outcome::Settled, false),
        (answer(200, true), true, Outcome::Settled, false),
        (answer(500, false), true, Outcome::Error, false),
        (answer(500, true), true, Outcome::Error, false),
        (answer(503, true), true, Outcome::Full, true),
        (answer(504, true), true, Outcome::Full, true),
        (answer(503, false), true, Outcome::Error, false),
        (answer(504, false), false, Outcome::Error, false),
        (answer(429, true), true, Outcome::Error, false),
        (Sign::Broke, false, Outcome::NoConnection, true),
        (Sign::Broke, true, Outcome::Reset, false),
        (Sign::Spoilt, true, Outcome::Reset, false),
        (Sign::Late, false, Outcome::NoConnection, true),
        (Sign::Late, true, Outcome::TimedOut, false),
        (Sign::GivenUp, false, Outcome::NoConnection, true),
        (Sign::GivenUp, true, Outcome::Cancelled, false),
        (Sign::TakenBack, false, Outcome::Moot, true),
        (Sign::TakenBack, true, Outcome::Cancelled, false),
    ] {
        let found = outcome(sign, written);
        assert_eq!((found, found.never_ran()), (meant, never_ran), "{sign:?}, written: {written}");
    }
}
