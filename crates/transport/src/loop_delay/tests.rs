use super::*;

#[test]
fn a_delay_is_what_a_loop_overslept_and_the_length_of_its_turn() {
    let mut delay = LoopDelay::start(100.0);
    assert_eq!(delay.on_sleep(101.0, 150.0), 1.0);
    delay.on_wake(170.0);
    assert_eq!(delay.on_sleep(175.0, 200.0), 5.0);
    assert_eq!(delay.longest(), 25.0);
}

#[test]
fn a_loop_that_is_woken_early_has_not_overslept() {
    let mut delay = LoopDelay::start(100.0);
    delay.on_sleep(100.0, 1000.0);
    delay.on_wake(400.0);
    delay.on_sleep(403.0, f64::INFINITY);
    delay.on_wake(900.0);
    delay.on_sleep(900.5, 901.0);
    assert_eq!(delay.longest(), 3.0);
}
