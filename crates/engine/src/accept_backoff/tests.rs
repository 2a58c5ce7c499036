use super::*;

#[test]
fn few_consecutive_failures_cause_no_pause() {
    let mut backoff = AcceptBackoff::default();
    for _ in 0..100 {
        assert!((0..IMMEDIATE_RETRIES).all(|_| backoff.next_pause().is_none()));
        backoff.reset();
    }
}

#[test]
fn pauses_grow_with_consecutive_failures() {
    let mut backoff = AcceptBackoff::default();
    let pauses: Vec<Option<Ms>> = (0..100).map(|_| backoff.next_pause()).collect();
    let first: Vec<Ms> = pauses.iter().flatten().copied().take(6).collect();
    assert_eq!(first, [2.0, 4.0, 8.0, 16.0, 32.0, 50.0]);
    assert_eq!(pauses.last(), Some(&Some(MAX_PAUSE_MS)));
    backoff.reset();
    assert_eq!(backoff.next_pause(), None);
}
