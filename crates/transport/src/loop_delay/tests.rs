use super::*;

#[test]
fn delay_is_the_excess_sleep_plus_the_duration_of_the_turn() {
    let mut delay = LoopDelay::start(100.0);
    assert_eq!(delay.on_sleep(101.0, 150.0), 1.0);
    delay.on_wake(170.0);
    assert_eq!(delay.on_sleep(175.0, 200.0), 5.0);
    assert_eq!(delay.longest(), 25.0);
}

#[test]
fn early_wakeup_adds_no_delay() {
    let mut delay = LoopDelay::start(100.0);
    delay.on_sleep(100.0, 1000.0);
    delay.on_wake(400.0);
    delay.on_sleep(403.0, f64::INFINITY);
    delay.on_wake(900.0);
    delay.on_sleep(900.5, 901.0);
    assert_eq!(delay.longest(), 3.0);
}
