use super::*;

#[test]
fn numbers_of_a_fleet_that_is_always_new_stay_few() {
    let mut numbers = EndpointNumbers::default();
    let mut highest = 0;
    for second in 0..10_000 {
        let now = f64::from(second) * 1000.0;
        let number = numbers.get_or_assign(now, &format!("s-{second}"));
        assert_eq!(numbers.get(&format!("s-{second}")), Some(number));
        highest = highest.max(number);
        if second >= 10 {
            numbers.release(now, &format!("s-{}", second - 10));
        }
    }
    assert!((70..=72).contains(&highest), "{highest}");
}
