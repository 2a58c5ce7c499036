//! Drills: hosts as processes of their own, stand-ins, clients and troubles on loopback, and an audit of the
//! seven rules that trusts nobody's counters, only what nodes and clients saw on their sockets.

mod audit;
mod clients;
mod hosts;
mod plant;
mod run;
mod sheet;

pub use audit::{audit, Evidence, Finding, Rule, Verdict};
pub use clients::{Clients, Host, Said, Tally, Try};
pub use plant::plant;
pub use run::{drill, load, Drilled, LoadReport};
pub use sheet::{read as read_sheet, DrillSheet, Mix, Traffic};
