use super::*;

fn fault(kind: FaultKind) -> Fault {
    Fault {
        kind,
        targets: vec![7],
        from: 100.0,
        to: 500.0,
        magnitude: 5.0,
        successors: vec![9],
        extent: 2,
        shard: 3,
    }
}

fn steps(fault: &Fault) -> Vec<(Ms, Step)> {
    fault.steps(|zone| vec![zone as u32, zone as u32 + 1])
}

#[test]
fn a_crashed_node_is_unlisted_and_restarts_warming_up() {
    let expected = [
        (100.0, Step::Stop(7)),
        (500.0, Step::StartWarmingUp(7)),
        (100.0, Step::Unlist(7)),
        (500.0, Step::List(7)),
    ];
    assert_eq!(steps(&fault(FaultKind::Crash)), expected);
}

#[test]
fn successors_start_at_the_drain_notification_or_after_preemption() {
    let successor = |at| [(at, Step::StartWarmingUp(9)), (at, Step::List(9))];
    assert_eq!(steps(&fault(FaultKind::Drain))[3..], successor(100.0));
    assert_eq!(steps(&fault(FaultKind::Preempt))[3..], successor(500.0));
}

#[test]
fn an_ageing_node_becomes_slower_and_stops() {
    let steps = steps(&fault(FaultKind::Ageing));
    assert_eq!(steps[0], (100.0, Step::Slowdown(7, 1.5)));
    assert_eq!(steps[7], (380.0, Step::Slowdown(7, 5.0)));
    assert_eq!(
        steps[8..],
        [(420.0, Step::Stop(7)), (500.0, Step::StartWarmingUp(7)), (500.0, Step::List(7))]
    );
}

#[test]
fn a_zone_restart_affects_all_nodes_of_the_zone() {
    let stopped = steps(&fault(FaultKind::ZoneRestart)).into_iter().filter(|(at, _)| *at == 100.0);
    assert_eq!(stopped.collect::<Vec<_>>(), [(100.0, Step::Stop(7)), (100.0, Step::Stop(8))]);
}

#[test]
fn a_fault_without_an_end_has_no_end_step() {
    let endless = Fault { to: f64::INFINITY, ..fault(FaultKind::Unresponsive) };
    assert_eq!(steps(&endless), [(100.0, Step::Unresponsive(7, true))]);
}
