//! What a process costs, as the kernel counts it.

use std::time::{Duration, Instant};

/// Processor time so far and memory now.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// When it was read.
    pub taken_at: Instant,
    /// On a processor since the start, all threads.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Its peak, in bytes.
    pub peak_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Time on a processor of all threads that live, in whole nanoseconds, where the kernel reports it.
fn scheduler_time(pid: u32) -> Option<Duration> {
    let mut sum = 0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        sum += text.split(' ').next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(sum))
}

/// User and system time in ticks, a hundredth of a second each on most machines.
fn tick_time(pid: u32) -> Option<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in parentheses may hold anything; the fields after it are numbers.
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok());
    let ticks = ticks(11)? + ticks(12)?;
    Some(Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second() as f64))
}

impl Usage {
    /// The usage of a process; none where it is gone.
    pub fn of_process(pid: u32) -> Option<Usage> {
        let cpu = scheduler_time(pid).or_else(|| tick_time(pid))?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key))?;
            line.split_whitespace().next()?.parse::<u64>().ok()
        };
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        Some(Usage {
            taken_at: Instant::now(),
            cpu,
            resident_bytes: line("VmRSS:")? * 1024,
            peak_bytes: line("VmHWM:")? * 1024,
            descriptors,
        })
    }

    /// The share of a core used since an earlier look.
    pub fn cpu_share_since(&self, earlier: &Usage) -> f64 {
        let span = self.taken_at.saturating_duration_since(earlier.taken_at).as_secs_f64();
        if span > 0.0 { self.cpu.saturating_sub(earlier.cpu).as_secs_f64() / span } else { 0.0 }
    }
}
