//! Hosts as processes of their own.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// How hosts are started.
#[derive(Clone, Debug)]
pub struct HostProgram {
    /// The program.
    pub program: PathBuf,
    /// Its settings file.
    pub file: PathBuf,
    /// The address of the endpoint list service.
    pub list: SocketAddr,
    /// The seed, to which each host adds its number.
    pub seed: u64,
    /// The numbers of hosts that coalesce nothing.
    pub hosts_without_coalescing: Vec<u64>,
    /// Whether hosts know nothing of nodes that warm up and name no retry-after time.
    pub without_overload_protection: bool,
}

/// A running host; killed when it is dropped.
pub struct HostProcess {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
}

impl HostProcess {
    /// Starts a host and waits until it reports its address.
    pub fn start(program: &HostProgram, number: usize) -> io::Result<HostProcess> {
        let mut command = Command::new(&program.program);
        command.arg("serve").arg(&program.file).arg("--bare");
        command.args(["--number", &number.to_string(), "--listen", "127.0.0.1:0"]);
        command.args([
            "--list",
            &program.list.to_string(),
            "--seed",
            &(program.seed + number as u64).to_string(),
        ]);
        if program.hosts_without_coalescing.contains(&(number as u64)) {
            command.arg("--alone");
        }
        if program.without_overload_protection {
            command.arg("--undamped");
        }
        HostProcess::run(command)
    }

    /// Starts a process whose first line of output is `ready` and its address.
    pub fn run(mut command: Command) -> io::Result<HostProcess> {
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
                Err(io::Error::other(format!("a process said {:?} in place of its address", line.trim())))
            }
        }
    }

    /// Seconds of processor time that it has used, and bytes of memory that it holds.
    pub fn usage(&self) -> io::Result<(f64, u64)> {
        let read = |what: &str| std::fs::read_to_string(format!("/proc/{}/{what}", self.child.id()));
        let stat = read("stat")?;
        // The fields behind the name, which may hold spaces; user and system time are the 12th and 13th.
        let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
        let ticks: f64 = fields.skip(11).take(2).filter_map(|f| f.parse::<f64>().ok()).sum();
        let status = read("status")?;
        let held = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let held = held.and_then(|l| l.trim().split(' ').next()?.parse::<u64>().ok());
        Ok((ticks / 100.0, held.unwrap_or(0) * 1024))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Stops the process with a signal, or continues it.
    pub fn stall(&self, stopped: bool) -> io::Result<()> {
        self.signal(if stopped { Signal::STOP } else { Signal::CONT })
    }

    /// Terminates the process and waits; its exit code, `None` where a signal ended it.
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
