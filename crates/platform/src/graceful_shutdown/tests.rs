use super::*;

#[test]
fn a_shutdown_leaves_time_to_serve_to_answer_and_to_exit() {
    let mut shutdown = GracefulShutdown::new(1200.0);
    assert!(!shutdown.has_begun() && !shutdown.is_closed(1e9));
    shutdown.begin(1000.0);
    assert!(shutdown.has_begun() && !shutdown.is_closed(2500.0) && shutdown.is_closed(2540.0));
    assert_eq!(shutdown.answer_by(), Some(2720.0));
    shutdown.begin(1200.0);
    assert_eq!(shutdown.answer_by(), Some(2720.0), "a second request changes nothing");
    assert!(shutdown.exit_at().is_some_and(|at| at > 2720.0 && at < 2900.0), "before the process is killed");
}

#[test]
fn client_timeouts_above_the_platform_limit_do_not_delay_the_shutdown() {
    let mut shutdown = GracefulShutdown::new(60_000.0);
    shutdown.begin(0.0);
    assert!(shutdown.answer_by().is_some_and(|at| at < MAX_CLIENT_TIMEOUT_MS + KILL_DELAY_MS));
}
