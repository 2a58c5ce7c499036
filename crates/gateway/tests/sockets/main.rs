//! Tests of a host on sockets, whose clients, nodes and list service are played by the test.

mod clients;
mod coalescing;
mod gossip;
mod harness;
mod list_service;
mod nodes;
mod shutdown;
