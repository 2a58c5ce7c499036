use super::*;

#[test]
fn turn_takes_a_limited_number_of_requests_and_none_after_its_rounds() {
    let mut budget = TurnBudget::default();
    let taken = (0..10_000).filter(|_| budget.take_request()).count();
    assert_eq!(taken, MAX_PIPELINED_REQUESTS as usize);
    assert!(!budget.has_request_left());
    budget.begin_turn(0.0);
    assert!(budget.take_request());
    budget.end_rounds();
    assert!(!budget.take_request());
}
