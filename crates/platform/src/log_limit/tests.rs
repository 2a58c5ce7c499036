use super::*;

#[test]
fn a_burst_is_admitted_and_suppressed_lines_are_counted() {
    let mut limit = LogLimit::new(2, 1.0);
    assert_eq!([0.0, 0.0, 0.0, 500.0].map(|at| limit.admit(at)), [Some(0), Some(0), None, None]);
    assert_eq!(limit.admit(1000.0), Some(2));
    assert_eq!(limit.admit(1001.0), None);
    assert_eq!(limit.admit(100_000.0), Some(1));
    assert_eq!(limit.admit(100_000.0), Some(0));
    assert_eq!(limit.admit(100_000.0), None, "a long pause refills no more than the burst");
}
