//! End-to-end tests of a platform host on loopback.

mod alike_responses;
mod bad_clients;
mod discovery_faults;
mod endpoint_list_age;
mod node_responses;
mod request_forwarding;
mod resource_limits;
mod response_matching;
mod signals;
mod stalled_host;
mod startup_errors;
#[path = "../support/mod.rs"]
mod support;
mod syscall_faults;
mod termination_races;
mod wrong_lengths;
