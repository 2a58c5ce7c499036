use super::*;
use quickcheck::quickcheck;

quickcheck! {
    fn delays_are_bounded_and_restart_after_a_success(seed: u64, failures: u8) -> bool {
        let mut backoff = ReconnectBackoff::new(seed);
        let delays: Vec<Ms> = (0..failures).map(|_| backoff.on_failure(0.0)).collect();
        backoff.on_success();
        delays.iter().all(|delay| *delay <= 1.5 * MAX_DELAY) && backoff.on_failure(0.0) <= 1.5 * INITIAL_DELAY
    }
}
