//! Hosts as processes of their own.

use crate::error::ScenarioError;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// The unit of processor time under `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// How hosts are started.
#[derive(Clone, Debug)]
pub(crate) struct HostProgram {
    /// The program.
    pub program: PathBuf,
    /// Its settings file.
    pub file: PathBuf,
    /// The address of the endpoint list service.
    pub list_address: SocketAddr,
    /// The seed, to which each host adds its number.
    pub seed: u64,
    /// The numbers of hosts that coalesce nothing.
    pub hosts_without_coalescing: Vec<u64>,
    /// Whether hosts know nothing of nodes that warm up and name no retry-after time.
    pub without_overload_protection: bool,
}

/// A running host; killed when it is dropped.
pub(crate) struct HostProcess {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
}

impl HostProcess {
    /// Starts a host and waits until it reports its address.
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

    /// Starts a process whose first line of output is `ready` and its address.
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
        // It may have ended by itself; then there is nothing to kill.
        _ = child.kill();
        _ = child.wait();
        read.map_err(start_error)?;
        Err(ScenarioError::NoAddress { program, line: line.trim().to_string() })
    }

    /// Seconds of processor time that it has used, and bytes of memory that it holds.
    pub(crate) fn usage(&self) -> Result<(f64, u64), ScenarioError> {
        let pid = self.child.id();
        let read = |file: &str| {
            let text = std::fs::read_to_string(format!("/proc/{pid}/{file}"));
            text.map_err(|source| ScenarioError::ReadUsage { pid, source })
        };
        let (stat, status) = (read("stat")?, read("status")?);
        // The fields behind the name, which may hold spaces; user and system time are the 12th and 13th.
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

    /// Stops the process with a signal, or continues it.
    pub(crate) fn stall(&self, stopped: bool) -> Result<(), ScenarioError> {
        self.signal(if stopped { Signal::STOP } else { Signal::CONT })
    }

    /// Terminates the process and waits; its exit code, `None` where a signal ended it.
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
        // It may have ended by itself; then there is nothing to kill.
        _ = self.child.kill();
        _ = self.child.wait();
    }
}
