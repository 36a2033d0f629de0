//! What a process costs, as the kernel counts it.

use std::time::{Duration, Instant};

/// Processor time so far and memory now.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub at: Instant,
    /// User and system time of all threads since the start.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Its peak, in bytes.
    pub peak: u64,
    pub descriptors: usize,
}

impl Usage {
    /// None where the process is gone.
    pub fn of(pid: u32) -> Option<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name in parentheses may hold anything; the fields after it are numbers.
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<u64>().ok());
        let ticks = ticks(11)? + ticks(12)?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key))?;
            line.split_whitespace().next()?.parse::<u64>().ok()
        };
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        Some(Usage {
            at: Instant::now(),
            cpu: Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second() as f64),
            resident: line("VmRSS:")? * 1024,
            peak: line("VmHWM:")? * 1024,
            descriptors,
        })
    }

    /// The share of a core used since an earlier look.
    pub fn share_since(&self, earlier: &Usage) -> f64 {
        let span = self.at.saturating_duration_since(earlier.at).as_secs_f64();
        if span > 0.0 { self.cpu.saturating_sub(earlier.cpu).as_secs_f64() / span } else { 0.0 }
    }
}
