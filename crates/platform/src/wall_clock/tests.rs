use super::*;

const HOUR: f64 = 3_600_000.0;
const START: f64 = 1_700_000_000_000.0;

#[test]
fn an_endpoint_started_after_the_clock_was_set_back_has_just_started() {
    let mut clock = WallClock::new(START, 0.0);
    // The clock is set back by an hour at 50 s; an endpoint starts at 60 s and is listed at 62 s.
    clock.record(START - HOUR + 62_000.0, 62_000.0);
    assert_eq!(clock.latest_loop_time(START - HOUR + 60_000.0, 62_000.0), 60_000.0);
}

#[test]
fn the_start_of_an_endpoint_after_the_clock_was_set_forward_is_not_in_the_future() {
    let mut clock = WallClock::new(START, 0.0);
    clock.record(START + HOUR + 62_000.0, 62_000.0);
    assert_eq!(clock.latest_loop_time(START + HOUR + 60_000.0, 62_000.0), 62_000.0);
}

#[test]
fn without_a_clock_step_times_are_converted_exactly() {
    let mut clock = WallClock::new(START, 1000.0);
    clock.record(START + 9000.0, 10_000.0);
    assert_eq!(clock.latest_loop_time(START + 500.0, 10_000.0), 1500.0);
    assert_eq!(clock.latest_loop_time(START - HOUR, 10_000.0), 1000.0 - HOUR);
}
