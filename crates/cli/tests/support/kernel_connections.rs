//! TCP connections as the kernel lists them.

use std::net::SocketAddr;

/// States of `/proc/net/tcp`.
pub(crate) const ESTABLISHED: &str = "01";
pub(crate) const SYN_SENT: &str = "02";

/// A connection in the kernel's table.
pub(crate) struct KernelConnection<'a> {
    pub local: SocketAddr,
    pub remote: SocketAddr,
    pub state: &'a str,
}

/// How many connections match.
pub(crate) fn count_connections(matches: impl Fn(&KernelConnection<'_>) -> bool) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().skip(1).map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let mut next = || fields.next().unwrap();
        KernelConnection { local: parse_address(next()), remote: parse_address(next()), state: next() }
    });
    rows.filter(|row| matches(row)).count()
}

fn parse_address(text: &str) -> SocketAddr {
    let (ip, port) = text.split_once(':').unwrap();
    let ip = u32::from_str_radix(ip, 16).unwrap().to_le_bytes();
    SocketAddr::from((ip, u16::from_str_radix(port, 16).unwrap()))
}
