use super::*;

const HOUR: f64 = 3_600_000.0;
const START: f64 = 1_700_000_000_000.0;

#[test]
fn a_node_that_starts_after_the_clock_was_set_back_has_just_started() {
    let mut clock = WallClock::new(START, 0.0);
    // An hour back at 50 s; an endpoint starts at 60 s and is listed at 62 s.
    clock.read(START - HOUR + 62_000.0, 62_000.0);
    assert_eq!(clock.latest(START - HOUR + 60_000.0, 62_000.0), 60_000.0);
}

#[test]
fn a_node_that_starts_after_the_clock_was_set_forward_starts_now_at_the_latest() {
    let mut clock = WallClock::new(START, 0.0);
    clock.read(START + HOUR + 62_000.0, 62_000.0);
    assert_eq!(clock.latest(START + HOUR + 60_000.0, 62_000.0), 62_000.0);
}

#[test]
fn without_a_step_a_time_is_what_it_was() {
    let mut clock = WallClock::new(START, 1000.0);
    clock.read(START + 9000.0, 10_000.0);
    assert_eq!(clock.latest(START + 500.0, 10_000.0), 1500.0);
    assert_eq!(clock.latest(START - HOUR, 10_000.0), 1000.0 - HOUR);
}
