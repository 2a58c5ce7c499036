//! A host as a process of its own.

use super::POLL_INTERVAL;
use super::WAIT_TIMEOUT;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::Instant;

/// The descriptors that a restarted process may open.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// A running host with its settings file; both end with it.
pub(crate) struct HostProcess {
    config: Value,
    file: PathBuf,
    child: Child,
}

impl HostProcess {
    /// Starts a host. `syscall_faults` names socket calls that fail, in the form of `syscall_faults.c`.
    pub(crate) fn start(config: Value, descriptors: usize, syscall_faults: Option<&str>) -> HostProcess {
        let file =
            std::env::temp_dir().join(format!("magpiewick-{}-{}.json", std::process::id(), next_number()));
        std::fs::write(&file, config.to_string()).unwrap();
        let child = spawn(&file, descriptors, syscall_faults);
        HostProcess { config, file, child }
    }

    /// Starts the process again after its end, with a cached endpoint list.
    pub(crate) fn restart_with_list(&mut self, cached: Value) {
        self.config["known"] = cached;
        self.write_config();
        self.restart();
    }

    /// Starts the process again after its end.
    pub(crate) fn restart(&mut self) {
        self.child = spawn(&self.file, DEFAULT_DESCRIPTORS, None);
    }

    /// Names another discovery in the settings file, without a signal.
    pub(crate) fn write_discovery(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = json!(discovery.to_string());
        self.write_config();
    }

    /// Names another discovery in the settings file and has the host reload it.
    pub(crate) fn reload_with_discovery(&mut self, discovery: SocketAddr) {
        self.write_discovery(discovery);
        self.signal("HUP");
    }

    /// Has the host reload a file that is cut off.
    pub(crate) fn reload_truncated_file(&self) {
        std::fs::write(&self.file, "{").unwrap();
        self.signal("HUP");
    }

    fn write_config(&self) {
        std::fs::write(&self.file, self.config.to_string()).unwrap();
    }

    /// Sends a signal by name, as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// Ends the process by force.
    pub(crate) fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }

    /// How the process ended; none while it runs.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Whether the process runs.
    pub(crate) fn is_running(&mut self) -> bool {
        self.exit_status().is_none()
    }

    /// Waits until the process ends by itself.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.exit_status() {
                return status;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("the host did not end");
    }

    /// How many descriptors are open.
    pub(crate) fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// The most resident memory so far, in kilobytes.
    pub(crate) fn peak_memory_kb(&self) -> usize {
        self.status_kb("VmHWM:")
    }

    /// The resident memory in kilobytes.
    pub(crate) fn memory_kb(&self) -> usize {
        self.status_kb("VmRSS:")
    }

    fn status_kb(&self, field: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let value = status.lines().find_map(|line| line.strip_prefix(field)).unwrap();
        value.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Processor time used, in hundredths of a second; none once the process has ended.
    pub(crate) fn cpu_ticks(&self) -> Option<u64> {
        cpu_ticks_of(self.child.id())
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // Whatever a test has found, its process and file must not outlive it.
        self.kill();
        _ = std::fs::remove_file(&self.file);
    }
}

/// Processor time that a process has used, in hundredths of a second; none once it has ended.
pub(crate) fn cpu_ticks_of(process: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let mut fields = stat.rsplit_once(") ")?.1.split(' ').skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn next_number() -> u64 {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    NUMBER.fetch_add(1, Ordering::SeqCst)
}

/// An address that no other host of this or another run has: a port that was free a moment ago on the common loopback
/// address may be taken by the next listener there.
pub(crate) fn unique_host_address() -> SocketAddr {
    static HOSTS: AtomicU64 = AtomicU64::new(0);
    let host = HOSTS.fetch_add(1, Ordering::SeqCst);
    let run = u64::from(std::process::id()) % 250;
    let [run, high, low] = [run, host / 250, host % 250].map(|n| n as u8 + 1);
    SocketAddr::from(([127, run, high, low], 9000))
}

/// The library that makes system calls fail, built once for each run of the tests.
fn syscall_fault_library() -> &'static PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/support/syscall_faults.c");
        let name = format!("syscall-faults-{}.so", std::process::id());
        let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let mut build = Command::new("cc");
        build.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(source).arg("-ldl");
        assert!(build.status().unwrap().success(), "the library does not build");
        library
    })
}

fn spawn(file: &Path, descriptors: usize, syscall_faults: Option<&str>) -> Child {
    let preload = match syscall_faults {
        Some(faults) => format!("LD_PRELOAD={} SYSCALL_FAULTS={faults}", syscall_fault_library().display()),
        None => String::new(),
    };
    let script = format!("ulimit -n {descriptors}; {preload} exec \"$0\" platform");
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", &script, env!("CARGO_BIN_EXE_magpiewick")])
        .env("PROXY_CONFIG", file)
        .stderr(Stdio::null())
        .stdout(Stdio::null());
    command.spawn().unwrap()
}
