//! Measures how late the machine wakes a thread, as a sign of overload.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time that the thread asks to sleep for.
const SLEEP: Duration = Duration::from_millis(5);

/// A thread that sleeps again and again, and keeps the longest delay of its wake-up.
pub(crate) struct LagMeter {
    longest_us: Arc<AtomicU64>,
    stop_requested: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl LagMeter {
    /// Starts the thread.
    pub fn start() -> LagMeter {
        let (longest_us, stop_requested) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let thread = {
            let (longest_us, stop_requested) = (longest_us.clone(), stop_requested.clone());
            thread::spawn(move || {
                while !stop_requested.load(Ordering::Relaxed) {
                    let started_at = Instant::now();
                    thread::sleep(SLEEP);
                    let lag = started_at.elapsed().saturating_sub(SLEEP);
                    longest_us.fetch_max(lag.as_micros() as u64, Ordering::Relaxed);
                }
            })
        };
        LagMeter { longest_us, stop_requested, thread }
    }

    /// Stops the thread, and returns the longest delay.
    pub fn finish(self) -> Duration {
        self.stop_requested.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        Duration::from_micros(self.longest_us.load(Ordering::Relaxed))
    }
}
