use super::*;

const CONFIG: SlowStartConfig = SlowStartConfig {
    initial_capacity: 0.2,
    duration: 1000.0,
    overload_factor: 2.0,
    overload_window: 100.0,
    allowance: 50.0,
};

#[test]
fn capacity_rises_linearly_to_its_full_value() {
    let slow_start = SlowStart::new(Some(500.0));
    let capacity = |now| slow_start.capacity(now, &CONFIG);
    assert_eq!([capacity(500.0), capacity(1500.0), capacity(9000.0)], [0.2, 1.0, 1.0]);
    assert!((capacity(1000.0) - 0.6).abs() < 1e-9);
    assert_eq!(SlowStart::new(None).capacity(0.0, &CONFIG), 1.0);
}

#[test]
fn only_a_warming_node_is_overloaded_and_its_first_window_has_an_allowance() {
    let mut slow_start = SlowStart::new(Some(0.0));
    assert!(!slow_start.is_overloaded_by(0.0, 50.0, 1.0, &CONFIG), "the allowance");
    assert!(slow_start.is_overloaded_by(1.0, 1.0, 1.0, &CONFIG));
    // Halfway through the warm-up, the limit is 2 times 0.6 units per millisecond over 100 ms.
    let mut slow_start = SlowStart::new(Some(0.0));
    assert!(!slow_start.is_overloaded_by(500.0, 119.0, 1.0, &CONFIG));
    assert!(slow_start.is_overloaded_by(500.0, 2.0, 1.0, &CONFIG));
    assert!(!SlowStart::new(None).is_overloaded_by(0.0, 1e9, 1.0, &CONFIG));
}
