use super::*;

#[test]
fn nodes_started_within_one_window_form_one_return() {
    let started = |node, warming_up| NodeEvent::Started { node, incarnation: 1, warming_up };
    let stopped = |node| NodeEvent::Stopped { node, incarnation: 1 };
    let events = [
        (0.0, started(1, false)),
        (10.0, started(2, true)),
        (20.0, stopped(1)),
        (30.0, stopped(2)),
        (500.0, started(1, true)),
        (900.0, started(2, true)),
        (950.0, stopped(1)),
        (2000.0, started(1, true)),
    ];
    assert_eq!(grouped_restarts(&events), [(500.0, vec![1, 2]), (2000.0, vec![1])]);
}

#[test]
fn recovery_requires_the_target_over_a_whole_window() {
    // One request every 10 ms: half of the requests succeed during the first 4 s, and all requests after 4 s.
    let weights: Vec<RequestWeight> = (0..1000)
        .map(|i| RequestWeight {
            first_due: f64::from(i) * 10.0,
            total: 1.0,
            earned: if i >= 400 || i % 2 == 0 { 1.0 } else { 0.0 },
        })
        .collect();
    assert_eq!(earned_share(&weights, 0.0, 4000.0), 0.5);
    assert_eq!(time_to_recover(&weights, 1000.0, 10_000.0, 1.0), Some(4000.0));
    assert_eq!(time_to_recover(&weights, 1000.0, 4500.0, 1.0), None);
    assert_eq!(time_to_recover(&weights, 1000.0, 10_000.0, 0.5), Some(1000.0));
}
