use super::*;
use quickcheck::quickcheck;

#[test]
fn a_stall_ages_requests_and_a_sleep_in_time_does_not() {
    let mut stall_detector = StallDetector::new(0.0, 2.0);
    stall_detector.on_sleep(0.5, 20.0);
    stall_detector.on_wake(20.5);
    assert_eq!(stall_detector.max_request_age(), 0.0);
    stall_detector.on_sleep(21.0, 5.0);
    stall_detector.on_wake(2026.0);
    assert_eq!(stall_detector.max_request_age(), 2000.5);
}

#[test]
fn a_long_turn_ages_requests_that_arrived_meanwhile() {
    let mut stall_detector = StallDetector::new(0.0, 2.0);
    stall_detector.on_sleep(300.0, 20.0);
    stall_detector.on_wake(301.0);
    assert_eq!(stall_detector.max_request_age(), 300.0);
}

quickcheck! {
    /// A request that arrived after the last wake is never taken for much younger than it is, except by
    /// the sleep that the loop asked for.
    fn a_request_is_never_taken_for_younger_than_it_is(turns: Vec<(u8, u8, u8)>, arrival: u8) -> bool {
        let (mut stall_detector, mut now) = (StallDetector::new(0.0, 2.0), 0.0);
        turns.iter().all(|(busy, sleep, late)| {
            let (woke, slept) = (now, now + f64::from(*busy));
            stall_detector.on_sleep(slept, f64::from(*sleep));
            now = slept + f64::from(*sleep) + f64::from(*late);
            stall_detector.on_wake(now);
            let arrived = woke + (now - woke) * f64::from(arrival) / 255.0;
            stall_detector.max_request_age() + 2.0 + f64::from(*sleep) >= now - arrived
        })
    }
}
