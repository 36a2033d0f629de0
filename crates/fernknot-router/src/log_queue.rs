//! Non-blocking log to standard error: lines are queued up to a limit until standard error accepts them.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::{Drain, Key, LevelFilter, Logger, OwnedKVList, Record, Serializer, o};
use std::collections::VecDeque;
use std::fmt;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Default)]
struct PendingLines {
    lines: VecDeque<String>,
    bytes: usize,
    dropped_lines: usize,
}

/// Queue of the log lines that are not yet written.
#[derive(Clone)]
pub struct LogQueue {
    pending: Arc<Mutex<PendingLines>>,
    max_bytes: usize,
}

struct KeyValueSerializer<'a>(&'a mut String);

impl Serializer for KeyValueSerializer<'_> {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments) -> slog::Result {
        let text = value.to_string().replace('\n', " ");
        self.0.push_str(&format!(" {key}={text}"));
        Ok(())
    }
}

impl Drain for LogQueue {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), slog::Never> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line =
            format!("{}.{:03} {} {}", now.as_secs(), now.subsec_millis(), record.level(), record.msg());
        // Writing to a string cannot fail.
        let _ = slog::KV::serialize(&record.kv(), record, &mut KeyValueSerializer(&mut line));
        let _ = slog::KV::serialize(values, record, &mut KeyValueSerializer(&mut line));
        line.push('\n');
        let mut pending = self.lock_pending();
        if pending.bytes + line.len() > self.max_bytes {
            pending.dropped_lines += 1;
        } else {
            pending.bytes += line.len();
            pending.lines.push_back(line);
        }
        Ok(())
    }
}

impl LogQueue {
    /// Creates a queue, and a logger that writes records of this level and above to it.
    pub fn new(max_bytes: usize, level: slog::Level) -> (LogQueue, Logger) {
        let queue = LogQueue { pending: Arc::default(), max_bytes };
        (queue.clone(), Logger::root(LevelFilter::new(queue, level).fuse(), o!()))
    }

    /// Locks the queue. The logger's type requires a lock; only the thread of the event loop uses it.
    fn lock_pending(&self) -> MutexGuard<'_, PendingLines> {
        self.pending.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Writes queued lines as long as standard error does not block. A pipe that polls as writable accepts a complete
    /// line of the lengths that occur here.
    pub fn flush(&self) {
        let mut pending = self.lock_pending();
        while let Some(line) = pending.lines.front() {
            let stderr = std::io::stderr();
            let mut fds = [PollFd::new(&stderr, PollFlags::OUT)];
            let ready =
                poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|ready| ready > 0);
            if !ready || stderr.lock().write_all(line.as_bytes()).is_err() {
                return;
            }
            pending.bytes -= line.len();
            pending.lines.pop_front();
            if pending.lines.is_empty() && pending.dropped_lines > 0 {
                let dropped_lines = std::mem::take(&mut pending.dropped_lines);
                let line =
                    format!("{dropped_lines} log lines were dropped because standard error was blocked\n");
                pending.bytes += line.len();
                pending.lines.push_back(line);
            }
        }
    }
}
