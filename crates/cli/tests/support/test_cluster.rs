//! A host with its nodes and discovery.

use super::discovery::{instance, Discovery};
use super::host_process::{unique_host_address, HostProcess};
use super::host_settings::{default_settings, Limits};
use super::http_client::HttpClient;
use super::kernel_connections::{count_connections, ESTABLISHED};
use super::node::Node;
use super::{POLL_INTERVAL, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// One host, a node for each shard, and a discovery that lists them.
pub(crate) struct TestCluster {
    pub nodes: Vec<Arc<Node>>,
    pub node_addresses: Vec<SocketAddr>,
    pub discovery: Arc<Discovery>,
    pub discovery_address: SocketAddr,
    pub host_address: SocketAddr,
    pub host: HostProcess,
}

impl TestCluster {
    /// A ready host with so many nodes.
    pub(crate) fn start(nodes: usize) -> TestCluster {
        TestCluster::with_limits(nodes, Limits::default())
    }

    /// A ready host under other limits.
    pub(crate) fn with_limits(nodes: usize, limits: Limits) -> TestCluster {
        TestCluster::build(nodes, limits, |_| {}, None)
    }

    /// A ready host some of whose system calls fail, in the form of `syscall_faults.c`.
    pub(crate) fn with_syscall_faults(nodes: usize, faults: &str) -> TestCluster {
        TestCluster::build(nodes, Limits::default(), |_| {}, Some(faults))
    }

    /// A ready host with changed settings.
    pub(crate) fn with_settings(nodes: usize, change: impl Fn(&mut Value)) -> TestCluster {
        TestCluster::build(nodes, Limits::default(), change, None)
    }

    fn build(
        nodes: usize,
        limits: Limits,
        change: impl Fn(&mut Value),
        syscall_faults: Option<&str>,
    ) -> TestCluster {
        let (nodes, node_addresses): (Vec<_>, Vec<_>) = (0..nodes).map(|_| Node::start()).unzip();
        let list = |(shard, address): (usize, &SocketAddr)| {
            instance(&format!("s-{shard}"), *address, shard, "SERVING")
        };
        let instances = node_addresses.iter().enumerate().map(list).collect();
        let (discovery, discovery_address) = Discovery::start(instances);
        let host_address = unique_host_address();
        let mut settings = default_settings();
        change(&mut settings);
        let config = json!({
            "name": "n0", "listen": host_address.to_string(), "discovery": discovery_address.to_string(),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": {"generation": 0, "reset": true, "instances": []}, "settings": settings,
        });
        let host = HostProcess::start(config, limits.descriptors, syscall_faults);
        let cluster = TestCluster { nodes, node_addresses, discovery, discovery_address, host_address, host };
        cluster.wait_until_ready();
        cluster
    }

    /// Kills the host, starts it again with the current list as its cached one, and waits until it is ready.
    pub(crate) fn restart_host(&mut self) {
        self.restart_host_without_wait();
        self.wait_until_ready();
    }

    /// Kills the host and starts it again with the current list as its cached one.
    pub(crate) fn restart_host_without_wait(&mut self) {
        self.host.kill();
        self.host.restart_with_list(self.discovery.snapshot());
    }

    fn wait_until_ready(&self) {
        self.wait_until("the host is ready", |cluster| cluster.readiness() == Some(200));
    }

    /// The status of the host's readiness check; none where it does not respond.
    pub(crate) fn readiness(&self) -> Option<u16> {
        let check = b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
        Some(HttpClient::connect(self.host_address).ok()?.request(check)?.status())
    }

    /// A client's connection to the host.
    pub(crate) fn client(&self) -> HttpClient {
        HttpClient::connect(self.host_address).unwrap()
    }

    /// How many connections of clients the host has, by the kernel's table.
    pub(crate) fn client_connections(&self) -> usize {
        count_connections(|c| c.local == self.host_address && c.state == ESTABLISHED)
    }

    /// Waits until a condition is met.
    pub(crate) fn wait_until(&self, what: &str, met: impl Fn(&TestCluster) -> bool) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !met(self) {
            assert!(Instant::now() < until, "{what}: not by now, {} clients", self.client_connections());
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
