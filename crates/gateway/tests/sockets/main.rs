//! A host on sockets whose other ends are held by the test: what it does when they misbehave.

mod clients;
mod coalescing;
mod gossip;
mod harness;
mod list_service;
mod nodes;
mod shutdown;
