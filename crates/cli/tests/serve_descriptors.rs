//! `magpiewick serve` with a low limit on open descriptors.

#[path = "support/mod.rs"]
mod support;

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use support::host_process::cpu_ticks_of;

/// Number of descriptors that the system allows. More connections than this wait to be accepted.
const DESCRIPTORS: usize = 40;
const CONNECTIONS: usize = 100;

/// Running host that is killed on drop.
struct Host {
    process: Child,
    address: SocketAddr,
}

impl Host {
    fn start() -> Host {
        let settings = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/plants.hcl");
        let serve = "exec \"$0\" serve \"$1\" --bare --number 0 --listen 127.0.0.1:0 --list 127.0.0.1:1";
        let mut process = Command::new("/bin/sh")
            .args(["-c", &format!("ulimit -n {DESCRIPTORS}; {serve}"), env!("CARGO_BIN_EXE_magpiewick")])
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(process.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("ready ").unwrap().parse().unwrap();
        Host { process, address }
    }

    /// Returns the processor time used, in hundredths of a second.
    fn cpu_ticks(&self) -> u64 {
        cpu_ticks_of(self.process.id()).unwrap()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        _ = self.process.kill();
        _ = self.process.wait();
    }
}

/// Guards against a loop that repeats failing accepts while no descriptor has become free.
#[test]
fn host_without_free_descriptors_does_not_spin_and_serves_once_some_are_free() {
    let host = Host::start();
    let waiting_clients: Vec<TcpStream> =
        (0..CONNECTIONS).map(|_| TcpStream::connect(host.address).unwrap()).collect();
    std::thread::sleep(Duration::from_millis(300));
    let before = host.cpu_ticks();
    std::thread::sleep(Duration::from_secs(1));
    let used = host.cpu_ticks() - before;
    assert!(used < 20, "{used} hundredths of a second");
    drop(waiting_clients);
    let mut client = TcpStream::connect(host.address).unwrap();
    client.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(client.read(&mut [0]).unwrap(), 1, "no greeting");
}
