//! Processor time of this process, by the kernel's scheduler.

use fernknot::interface::Nanos;

/// Scheduler statistics of the main thread, which runs the event loop: nanoseconds on a processor, nanoseconds ready but
/// waiting for one, and the number of time slices.
const SCHEDULER_STATISTICS_PATH: &str = "/proc/self/schedstat";

/// Processor time of the main thread of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessorTimes {
    /// Time on a processor.
    pub running: Nanos,
    /// Time in which the thread was ready to run and waited for a processor.
    pub waiting: Nanos,
}

impl ProcessorTimes {
    /// Reads the times of this process; `None` if the kernel doesn't report them.
    pub fn read() -> Option<ProcessorTimes> {
        Self::parse(&std::fs::read_to_string(SCHEDULER_STATISTICS_PATH).ok()?)
    }

    fn parse(statistics: &str) -> Option<ProcessorTimes> {
        let mut fields = statistics.split_whitespace().map(|field| field.parse().ok().map(Nanos));
        Some(ProcessorTimes { running: fields.next()??, waiting: fields.next()?? })
    }
}
