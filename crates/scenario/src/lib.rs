//! Scenarios: hosts as processes of their own, emulated services, clients and faults on loopback, and an audit of the
//! seven rules that trusts nobody's counters, only what nodes and clients saw on their sockets.

mod audit;
mod bench;
mod clients;
mod config;
mod hosts;
mod plant;
mod relay;
mod run;
mod storm;

pub use audit::{audit, Evidence, Finding, Rule, Verdict};
pub use bench::{bench, bench_reads, spread, Measured};
pub use clients::{Clients, Host, Said, Session, Tally, Try};
pub use config::{read_all, Again, Habit, Mix, ScenarioConfig, Sheet, Storm, Traffic};
pub use plant::{plant, Planted};
pub use relay::relay;
pub use run::{drill, load, LoadReport, ScenarioReport};
pub use storm::{Return, Storms};
