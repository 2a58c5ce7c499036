//! Tests of ordering: requests with the same key run one after the other.

use crate::simulation::*;
use magpiewick::*;

#[test]
fn a_locked_key_does_not_block_other_keys_of_its_volume() {
    let mut simulation = Simulation::new(config());
    let [first, second, other] =
        [1, 1, 2].map(|key| simulation.submit(Request { class: 1, key: Some(key), ..request() }));
    assert_eq!([first, second, other].map(|id| simulation.attempts(id)), [1, 0, 1]);
    simulation.outcome(first, Outcome::Reset);
    assert_eq!(simulation.attempts(second), 0);
}
