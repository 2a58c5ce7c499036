//! Hosts as processes of their own.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// How hosts are started.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program and its settings file.
    pub program: PathBuf,
    pub file: PathBuf,
    pub list: SocketAddr,
    pub seed: u64,
}

/// A running host; killed when it is dropped.
pub struct HostProcess {
    child: Child,
    pub address: SocketAddr,
}

impl HostProcess {
    /// Starts a host and waits until it tells where it listens.
    pub fn start(p: &Program, number: usize) -> io::Result<HostProcess> {
        let mut command = Command::new(&p.program);
        command.arg("serve").arg(&p.file).arg("--bare");
        command.args(["--number", &number.to_string(), "--listen", "127.0.0.1:0"]);
        command.args(["--list", &p.list.to_string(), "--seed", &(p.seed + number as u64).to_string()]);
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let mut line = String::new();
        let out = child.stdout.take().map(BufReader::new);
        let read = out.map_or(Ok(0), |mut out| out.read_line(&mut line));
        let address = line.trim().strip_prefix("ready ").and_then(|a| a.parse().ok());
        match (read, address) {
            (Ok(_), Some(address)) => Ok(HostProcess { child, address }),
            (read, _) => {
                // It may have ended by itself; then there is nothing to kill.
                _ = child.kill();
                _ = child.wait();
                read?;
                Err(io::Error::other(format!("host {number} said {:?} in place of its address", line.trim())))
            }
        }
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Stops the process where it stands, or lets it go on.
    pub fn stall(&self, stopped: bool) -> io::Result<()> {
        self.signal(if stopped { Signal::STOP } else { Signal::CONT })
    }

    /// Tells it to stop and waits; its exit code, none where it did not end by itself.
    pub fn end(mut self) -> io::Result<Option<i32>> {
        self.signal(Signal::TERM)?;
        Ok(self.child.wait()?.code())
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // It may have ended by itself; then there is nothing to kill.
        _ = self.child.kill();
        _ = self.child.wait();
    }
}
