use super::*;
use quickcheck::quickcheck;

#[test]
fn a_sleep_as_long_as_wished_ages_nothing_and_a_stop_does() {
    let mut stall_detector = StallDetector::new(0.0, 2.0);
    stall_detector.sleeps(0.5, 20.0);
    stall_detector.woke(20.5);
    assert_eq!(stall_detector.age(), 0.0);
    stall_detector.sleeps(21.0, 5.0);
    stall_detector.woke(2026.0);
    assert_eq!(stall_detector.age(), 2000.5);
}

#[test]
fn a_turn_that_took_long_ages_what_came_meanwhile() {
    let mut stall_detector = StallDetector::new(0.0, 2.0);
    stall_detector.sleeps(300.0, 20.0);
    stall_detector.woke(301.0);
    assert_eq!(stall_detector.age(), 300.0);
}

quickcheck! {
    /// Whatever came after the last wake and is found now is never taken for much younger than it is, but by
    /// the sleep that the loop asked for.
    fn no_command_is_taken_for_younger(turns: Vec<(u8, u8, u8)>, came: u8) -> bool {
        let (mut stall_detector, mut now) = (StallDetector::new(0.0, 2.0), 0.0);
        turns.iter().all(|(busy, sleep, late)| {
            let (woke, slept) = (now, now + f64::from(*busy));
            stall_detector.sleeps(slept, f64::from(*sleep));
            now = slept + f64::from(*sleep) + f64::from(*late);
            stall_detector.woke(now);
            let came = woke + (now - woke) * f64::from(came) / 255.0;
            stall_detector.age() + 2.0 + f64::from(*sleep) >= now - came
        })
    }
}
