use super::*;

#[test]
fn a_host_that_is_asked_to_end_serves_as_long_as_it_can_answer() {
    let mut shutdown = GracefulShutdown::new(1200.0);
    assert!(!shutdown.goes() && !shutdown.closed(1e9));
    shutdown.asked(1000.0);
    assert!(shutdown.goes() && !shutdown.closed(2500.0) && shutdown.closed(2540.0));
    assert_eq!(shutdown.over_at(), Some(2720.0));
    shutdown.asked(1200.0);
    assert_eq!(shutdown.over_at(), Some(2720.0), "a second request changes nothing");
    assert!(shutdown.out_at().is_some_and(|at| at > 2720.0 && at < 2900.0), "before the end by force");
}

#[test]
fn it_does_not_wait_for_time_limits_that_the_platform_does_not_heed() {
    let mut shutdown = GracefulShutdown::new(60_000.0);
    shutdown.asked(0.0);
    assert!(shutdown.over_at().is_some_and(|at| at < MAX_CLIENT_TIMEOUT_MS + KILL_DELAY_MS));
}
