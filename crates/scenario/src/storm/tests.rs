use super::*;

#[test]
fn nodes_that_come_back_within_a_second_are_one_return() {
    let started = |node, cold| Seen::Started { node, life: 1, cold };
    let stopped = |node| Seen::Stopped { node, life: 1 };
    let seen = [
        (0.0, started(1, false)),
        (10.0, started(2, true)),
        (20.0, stopped(1)),
        (30.0, stopped(2)),
        (500.0, started(1, true)),
        (900.0, started(2, true)),
        (950.0, stopped(1)),
        (2000.0, started(1, true)),
    ];
    assert_eq!(returns(&seen), [(500.0, vec![1, 2]), (2000.0, vec![1])]);
}

#[test]
fn the_payoff_is_back_when_a_whole_window_is() {
    // One request each 10 ms; from 4 s on all are served, before that half of them.
    let all: Vec<(Ms, f64, f64)> = (0..1000)
        .map(|i| (f64::from(i) * 10.0, 1.0, if i >= 400 || i % 2 == 0 { 1.0 } else { 0.0 }))
        .collect();
    assert_eq!(payoff(&all, 0.0, 4000.0), 0.5);
    assert_eq!(recovered(&all, 1000.0, 10_000.0, 1.0), Some(4000.0));
    assert_eq!(recovered(&all, 1000.0, 4500.0, 1.0), None);
    assert_eq!(recovered(&all, 1000.0, 10_000.0, 0.5), Some(1000.0));
}
