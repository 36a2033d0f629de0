//! Measures how late the machine wakes a thread, and how long it takes to store a small file, as signs of overload.

use std::fs::File;
use std::io::{Seek, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time that the thread that measures wake-ups asks to sleep for.
const SLEEP: Duration = Duration::from_millis(5);
/// Pause between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Longest delays on the machine during a soak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    /// Longest delay of a thread's wake-up.
    pub wake_up: Duration,
    /// Longest time that a write to disk and its sync took.
    pub disk_sync: Duration,
}

/// Threads that measure delays again and again, and keep the longest.
pub(crate) struct LagMeter {
    wake_up_us: Arc<AtomicU64>,
    disk_sync_us: Arc<AtomicU64>,
    stop_requested: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl LagMeter {
    /// Starts the threads. `file` lies on the disk to measure; none measures no disk.
    pub fn start(file: Option<File>) -> LagMeter {
        let (wake_up_us, disk_sync_us) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let stop_requested = Arc::<AtomicBool>::default();
        let wake_ups = repeat(&stop_requested, &wake_up_us, || {
            let started_at = Instant::now();
            thread::sleep(SLEEP);
            started_at.elapsed().saturating_sub(SLEEP)
        });
        let syncs = file.map(|mut file| {
            repeat(&stop_requested, &disk_sync_us, move || {
                thread::sleep(WRITE_PAUSE);
                let started_at = Instant::now();
                let stored =
                    file.rewind().and_then(|()| file.write_all(b"lag")).and_then(|()| file.sync_all());
                stored.map_or(Duration::ZERO, |()| started_at.elapsed())
            })
        });
        let threads = [wake_ups].into_iter().chain(syncs).collect();
        LagMeter { wake_up_us, disk_sync_us, stop_requested, threads }
    }

    /// Stops the threads, and returns the longest delays.
    pub fn finish(self) -> Lag {
        self.stop_requested.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| _ = thread.join());
        let longest = |us: &AtomicU64| Duration::from_micros(us.load(Ordering::Relaxed));
        Lag { wake_up: longest(&self.wake_up_us), disk_sync: longest(&self.disk_sync_us) }
    }
}

/// Starts a thread that measures until it is told to stop.
fn repeat(
    stop_requested: &Arc<AtomicBool>,
    longest_us: &Arc<AtomicU64>,
    mut measure: impl FnMut() -> Duration + Send + 'static,
) -> JoinHandle<()> {
    let (stop_requested, longest_us) = (stop_requested.clone(), longest_us.clone());
    thread::spawn(move || {
        while !stop_requested.load(Ordering::Relaxed) {
            longest_us.fetch_max(measure().as_micros() as u64, Ordering::Relaxed);
        }
    })
}
