//! Drills: hosts as processes of their own, stand-ins, clients and troubles on loopback, and an audit of the
//! seven rules that trusts nobody's counters, only what nodes and clients saw on their sockets.

mod audit;
mod bench;
mod clients;
mod hosts;
mod plant;
mod relay;
mod run;
mod sheet;
mod storm;

pub use audit::{audit, Evidence, Finding, Rule, Verdict};
pub use bench::{bench, bench_reads, spread, Measured};
pub use clients::{Clients, Host, Said, Session, Tally, Try};
pub use plant::{plant, Planted};
pub use relay::relay;
pub use run::{drill, load, Drilled, LoadReport};
pub use sheet::{read_all, Again, DrillSheet, Habit, Mix, Sheet, Storm, Traffic};
pub use storm::{Return, Storms};
