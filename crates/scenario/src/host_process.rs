//! Runs hosts as separate processes.

use crate::error::ScenarioError;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// Ticks of processor time per second, the unit of `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Command line parameters of hosts.
#[derive(Clone, Debug)]
pub(crate) struct HostProgram {
    /// Path of the program.
    pub program: PathBuf,
    /// Path of the settings file.
    pub file: PathBuf,
    /// Address of the endpoint list service.
    pub list_address: SocketAddr,
    /// Seed, to which the number of each host is added.
    pub seed: u64,
    /// Numbers of hosts that do not coalesce writes.
    pub hosts_without_coalescing: Vec<u64>,
    /// Set if hosts ignore the warm-up of nodes and send no retry-after times.
    pub without_overload_protection: bool,
}

/// A running host process, killed on drop.
pub(crate) struct HostProcess {
    child: Child,
    /// Address on which the host listens.
    pub address: SocketAddr,
}

impl HostProcess {
    /// Starts a host and waits for its address.
    pub(crate) fn start(program: &HostProgram, number: usize) -> Result<HostProcess, ScenarioError> {
        let mut command = Command::new(&program.program);
        command.arg("serve").arg(&program.file).arg("--bare");
        command.args(["--number", &number.to_string(), "--listen", "127.0.0.1:0"]);
        command.args([
            "--list",
            &program.list_address.to_string(),
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

    /// Starts a process whose first output line consists of `ready` and its address.
    pub(crate) fn run(mut command: Command) -> Result<HostProcess, ScenarioError> {
        let program = PathBuf::from(command.get_program());
        let start_error = |source| ScenarioError::StartProcess { program: program.clone(), source };
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(start_error)?;
        let mut line = String::new();
        let output = child.stdout.take().map(BufReader::new);
        let read = output.map_or(Ok(0), |mut output| output.read_line(&mut line));
        let address = line.trim().strip_prefix("ready ").and_then(|address| address.parse().ok());
        if let (Ok(_), Some(address)) = (&read, address) {
            return Ok(HostProcess { child, address });
        }
        // Killing fails if the process has already ended; the error is ignored.
        _ = child.kill();
        _ = child.wait();
        read.map_err(start_error)?;
        Err(ScenarioError::NoAddress { program, line: line.trim().to_string() })
    }

    /// Returns the processor time used by the process in seconds, and its resident memory in bytes.
    pub(crate) fn usage(&self) -> Result<(f64, u64), ScenarioError> {
        let pid = self.child.id();
        let read = |file: &str| {
            let text = std::fs::read_to_string(format!("/proc/{pid}/{file}"));
            text.map_err(|source| ScenarioError::ReadUsage { pid, source })
        };
        let (stat, status) = (read("stat")?, read("status")?);
        // The fields after the process name, which may contain spaces; user and system time are the 12th and 13th.
        let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
        let ticks: f64 = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kb = resident.and_then(|text| text.trim().split(' ').next()?.parse::<u64>().ok());
        Ok((ticks / TICKS_PER_SECOND, resident_kb.unwrap_or(0) * 1024))
    }

    fn signal(&self, signal: Signal) -> Result<(), ScenarioError> {
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(|error| ScenarioError::SignalProcess { pid: self.child.id(), source: error.into() })
    }

    /// Suspends or continues the process with a signal.
    pub(crate) fn suspend(&self, stopped: bool) -> Result<(), ScenarioError> {
        self.signal(if stopped { Signal::STOP } else { Signal::CONT })
    }

    /// Terminates the process and waits for its end; returns its exit code, `None` if a signal ended the process.
    pub(crate) fn end(mut self) -> Result<Option<i32>, ScenarioError> {
        self.signal(Signal::TERM)?;
        let pid = self.child.id();
        let status = self.child.wait();
        let status = status.map_err(|source| ScenarioError::WaitForProcess { pid, source })?;
        Ok(status.code())
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // Killing fails if the process has already ended; the error is ignored.
        _ = self.child.kill();
        _ = self.child.wait();
    }
}
