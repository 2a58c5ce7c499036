//! Memory of the process by owner, compared with the memory that the operating system counts.

use magpiewick::Ms;

/// File that states the memory use of this process.
const STATUS_FILE: &str = "/proc/self/status";
/// Field of the status file with the memory that is not backed by a file, in KiB.
const ANONYMOUS_FIELD: &str = "RssAnon:";
/// Minimum time between two samples.
const SAMPLE_INTERVAL_MS: Ms = 100.0;
/// Minimum time between two releases of free memory, each of which takes milliseconds.
const RELEASE_INTERVAL_MS: Ms = 500.0;
/// Growth of the peak, as a part of the memory limit, at which a sample is reported before the next regular report.
const REPORTED_GROWTH: f64 = 1.0 / 16.0;

/// Bytes that the owners of buffers hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MemoryByOwner {
    /// Buffer through which the input of clients is read.
    pub read_buffers: usize,
    /// Queued input of clients: partial requests, and requests behind an open one.
    pub pipelined_input: usize,
    /// Open requests.
    pub open_requests: usize,
    /// Responses to clients that are not written completely.
    pub queued_responses: usize,
    /// Requests to endpoints and responses from them.
    pub upstream: usize,
    /// Responses from discovery.
    pub discovery: usize,
    /// Tables with entries for names that clients choose, such as volumes and keys.
    pub tables: usize,
}

impl MemoryByOwner {
    /// Returns the bytes of all owners together.
    pub(crate) fn total(&self) -> usize {
        let clients = self.read_buffers + self.pipelined_input + self.open_requests + self.queued_responses;
        clients + self.upstream + self.discovery + self.tables
    }
}

/// Times at which the memory use is sampled and reported, and free memory is released.
pub(crate) struct MemoryReporter {
    limit_bytes: usize,
    next_sample_at: Ms,
    next_release_at: Ms,
    releases: u64,
    reported_peak: usize,
}

impl MemoryReporter {
    /// Creates a reporter. `limit_bytes`: memory limit of the process.
    pub(crate) fn new(limit_bytes: usize) -> MemoryReporter {
        MemoryReporter {
            limit_bytes,
            next_sample_at: 0.0,
            next_release_at: 0.0,
            releases: 0,
            reported_peak: 0,
        }
    }

    /// Returns the anonymous memory of the process if a sample is due.
    pub(crate) fn sample(&mut self, now: Ms) -> Option<usize> {
        if now < self.next_sample_at {
            return None;
        }
        self.next_sample_at = now + SAMPLE_INTERVAL_MS;
        anonymous_bytes()
    }

    /// Returns whether a sample exceeds the reported peak noticeably.
    pub(crate) fn is_new_peak(&self, resident: usize) -> bool {
        let growth = resident.saturating_sub(self.reported_peak);
        growth as f64 > self.limit_bytes as f64 * REPORTED_GROWTH
    }

    /// Returns whether the allocator's free memory may be released again, and counts the release.
    pub(crate) fn begin_release(&mut self, now: Ms) -> bool {
        let is_due = now >= self.next_release_at;
        if is_due {
            self.next_release_at = now + RELEASE_INTERVAL_MS;
            self.releases += 1;
        }
        is_due
    }

    /// Logs the memory of the process by owner. `remainder`: memory of no owner, such as the program's tables, copies
    /// that exist during a single call, and memory that the allocator retains.
    pub(crate) fn report(&mut self, owners: &MemoryByOwner, resident: Option<usize>) {
        let resident = resident.unwrap_or(0);
        self.reported_peak = self.reported_peak.max(resident);
        let remainder = resident.saturating_sub(owners.total());
        let (limit, releases) = (self.limit_bytes, self.releases);
        tracing::info!(limit, resident, remainder, releases, owners = ?owners, "memory_reported");
    }
}

/// Returns the memory of this process that is not backed by a file, as the operating system counts it; none where the
/// system does not tell it.
pub(crate) fn anonymous_bytes() -> Option<usize> {
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(ANONYMOUS_FIELD))?;
    let kib: usize = value.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}

#[cfg(test)]
mod tests;
