//! The scheduler by its interface alone: one file a decision, each test a fault or a known trap that one
//! defence guards against; and generated events beside a reference model of the rules.

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
