use super::*;
use quickcheck::quickcheck;

#[test]
fn a_stall_increases_the_request_age_and_a_timely_wake_up_does_not() {
    let mut stall_detector = StallDetector::new(0.0, 2.0);
    stall_detector.on_sleep(0.5, 20.0);
    stall_detector.on_wake(20.5);
    assert_eq!(stall_detector.max_request_age(), 0.0);
    stall_detector.on_sleep(21.0, 5.0);
    stall_detector.on_wake(2026.0);
    assert_eq!(stall_detector.max_request_age(), 2000.5);
}

#[test]
fn a_long_iteration_increases_the_request_age() {
    let mut stall_detector = StallDetector::new(0.0, 2.0);
    stall_detector.on_sleep(300.0, 20.0);
    stall_detector.on_wake(301.0);
    assert_eq!(stall_detector.max_request_age(), 300.0);
}

quickcheck! {
    /// The estimated age of a request that arrived after the last wake-up falls short of its actual age by no more
    /// than the tolerance and the requested sleep.
    fn request_age_is_underestimated_by_at_most_tolerance_and_sleep(iterations: Vec<(u8, u8, u8)>, arrival: u8) -> bool {
        let (mut stall_detector, mut now) = (StallDetector::new(0.0, 2.0), 0.0);
        iterations.iter().all(|(busy, sleep, late)| {
            let (woke_at, slept_at) = (now, now + f64::from(*busy));
            stall_detector.on_sleep(slept_at, f64::from(*sleep));
            now = slept_at + f64::from(*sleep) + f64::from(*late);
            stall_detector.on_wake(now);
            let arrived_at = woke_at + (now - woke_at) * f64::from(arrival) / 255.0;
            stall_detector.max_request_age() + 2.0 + f64::from(*sleep) >= now - arrived_at
        })
    }
}
