use super::*;

#[test]
fn a_report_contains_the_units_served_through_other_hosts_since_the_last_report() {
    let mut meter = UsageMeter::default();
    meter.record(1, 10, 3.0);
    assert_eq!(meter.report(1, 10), 0.0);
    meter.record(1, 11, 5.0);
    meter.record(2, 11, 7.0);
    assert_eq!(meter.report(1, 10), 5.0);
    assert_eq!(meter.report(1, 10), 0.0);
    assert_eq!(meter.report(1, 11), 3.0);
}
