use super::*;
use quickcheck::quickcheck;

quickcheck! {
    fn waits_grow_up_to_a_bound_and_start_again_after_a_success(seed: u64, failures: u8) -> bool {
        let mut backoff = ReconnectBackoff::new(seed);
        let waits: Vec<Ms> = (0..failures).map(|_| backoff.on_failure(0.0)).collect();
        backoff.on_success();
        waits.iter().all(|wait| *wait <= 1.5 * MAX_WAIT) && backoff.on_failure(0.0) <= 1.5 * INITIAL_WAIT
    }
}
