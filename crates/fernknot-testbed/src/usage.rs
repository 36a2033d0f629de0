//! Resource usage of a process, as the kernel reports it.

use std::time::{Duration, Instant};

/// Resource usage of a process at one time.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Time of the measurement.
    pub measured_at: Instant,
    /// Processor time since the start of the process. If the kernel provides `schedstat`, this is the time of the live
    /// threads only, without threads that have ended.
    pub cpu_time: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory since the start of the process, in bytes.
    pub peak_bytes: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// Returns the processor time of all live threads, to the nanosecond; none if the kernel does not report it.
fn scheduler_time(pid: u32) -> Option<Duration> {
    let mut sum = 0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        sum += text.split(' ').next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(sum))
}

/// Returns the user and system time of a process, in steps of a clock tick (10 ms on most machines).
fn tick_time(pid: u32) -> Option<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name in parentheses may contain spaces and parentheses; the fields after it do not.
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok());
    let ticks = ticks(11)? + ticks(12)?;
    Some(Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second() as f64))
}

impl Usage {
    /// Returns the usage of a process; none if it has ended.
    pub fn of_process(pid: u32) -> Option<Usage> {
        let cpu_time = scheduler_time(pid).or_else(|| tick_time(pid))?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key))?;
            line.split_whitespace().next()?.parse::<u64>().ok()
        };
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        Some(Usage {
            measured_at: Instant::now(),
            cpu_time,
            resident_bytes: line("VmRSS:")? * 1024,
            peak_bytes: line("VmHWM:")? * 1024,
            descriptors,
        })
    }

    /// Returns the processor time since an earlier measurement, as a share of a core: 1 for one fully used core.
    pub fn cpu_share_since(&self, earlier: &Usage) -> f64 {
        let elapsed_s = self.measured_at.saturating_duration_since(earlier.measured_at).as_secs_f64();
        if elapsed_s > 0.0 {
            self.cpu_time.saturating_sub(earlier.cpu_time).as_secs_f64() / elapsed_s
        } else {
            0.0
        }
    }
}
