//! TCP connections listed by the kernel.

use std::net::SocketAddr;

/// Connection states as written in `/proc/net/tcp`.
pub(crate) const ESTABLISHED: &str = "01";
pub(crate) const SYN_SENT: &str = "02";

/// Entry of the connection table of the kernel.
pub(crate) struct KernelConnection<'a> {
    pub local: SocketAddr,
    pub remote: SocketAddr,
    pub state: &'a str,
}

/// Returns the number of matching connections.
pub(crate) fn count_connections(matches: impl Fn(&KernelConnection<'_>) -> bool) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().skip(1).map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let mut next_field = || fields.next().unwrap();
        KernelConnection {
            local: parse_address(next_field()),
            remote: parse_address(next_field()),
            state: next_field(),
        }
    });
    rows.filter(|row| matches(row)).count()
}

fn parse_address(text: &str) -> SocketAddr {
    let (ip, port) = text.split_once(':').unwrap();
    let ip = u32::from_str_radix(ip, 16).unwrap().to_le_bytes();
    SocketAddr::from((ip, u16::from_str_radix(port, 16).unwrap()))
}
