//! Hundreds of clients that send a part of a request or send it slowly.

use crate::run_alone;
use crate::support::host_settings::Limits;
use crate::support::slow_senders::{SlowSenders, SLOW_REQUESTS};
use crate::support::test_cluster::TestCluster;
use crate::support::usual_clients::run_usual_clients;
use std::time::Duration;

/// Guards against a host that is killed for its memory, or that closes usual clients, while hundreds of others send a
/// part of a request. They are as many as may hold connections for requests: a third of the descriptors.
#[test]
fn hundreds_of_slow_clients_neither_exceed_the_memory_limit_nor_displace_others() {
    let _alone = run_alone();
    let limits = Limits { memory_mb: 32, sockets: 1024, ..Limits::default() };
    let cluster = TestCluster::with_limits(1, limits);
    let slow = SlowSenders::start(cluster.host_address, &SLOW_REQUESTS, 330);
    std::thread::sleep(Duration::from_millis(500));
    let answers = run_usual_clients(&cluster, "usual", 4, 400, Duration::from_secs(5));
    let peak = cluster.host.peak_memory_kb();
    println!("{answers:?}, {} errors to slow clients, peak {peak} KB", slow.answers());
    assert!(peak < limits.memory_mb << 10, "{peak} KB");
    assert!(answers.late.is_empty(), "{answers:?}");
    assert!(answers.served * 10 >= answers.requests * 9, "{answers:?}");
    assert!(slow.answers() > 0, "slow clients get an error");
}
