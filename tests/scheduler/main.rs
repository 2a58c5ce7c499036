//! Tests of the scheduler through its interface: one file per kind of decision, where each test covers a
//! fault or a known failure mode and the defence against it; and generated events checked against a
//! reference model of the rules.

mod admission;
mod coalescing;
mod concurrency_window;
mod endpoint_health;
mod endpoint_selection;
mod endpoint_updates;
mod fair_queueing;
mod gossip;
mod ordering;
mod rate_limit;
mod reference_model;
mod retry_policy;
mod rules;
mod simulation;
mod slow_start;
