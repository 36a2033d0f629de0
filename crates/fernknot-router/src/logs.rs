//! Lines to standard error that never block the loop: they wait, up to a limit, until it takes them.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::{Drain, Key, LevelFilter, Logger, OwnedKVList, Record, Serializer, o};
use std::collections::VecDeque;
use std::fmt;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Default)]
struct Waiting {
    lines: VecDeque<String>,
    bytes: usize,
    left_out: usize,
}

/// What has been logged and not yet written.
#[derive(Clone)]
pub struct Lines {
    waiting: Arc<Mutex<Waiting>>,
    most: usize,
}

struct Pairs<'a>(&'a mut String);

impl Serializer for Pairs<'_> {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments) -> slog::Result {
        let text = value.to_string().replace('\n', " ");
        self.0.push_str(&format!(" {key}={text}"));
        Ok(())
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), slog::Never> {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line =
            format!("{}.{:03} {} {}", at.as_secs(), at.subsec_millis(), record.level(), record.msg());
        // Writing to a string does not fail.
        let _ = slog::KV::serialize(&record.kv(), record, &mut Pairs(&mut line));
        let _ = slog::KV::serialize(values, record, &mut Pairs(&mut line));
        line.push('\n');
        let mut waiting = self.held();
        if waiting.bytes + line.len() > self.most {
            waiting.left_out += 1;
        } else {
            waiting.bytes += line.len();
            waiting.lines.push_back(line);
        }
        Ok(())
    }
}

impl Lines {
    /// A log of this level and above.
    pub fn new(most: usize, level: slog::Level) -> (Lines, Logger) {
        let lines = Lines { waiting: Arc::default(), most };
        (lines.clone(), Logger::root(LevelFilter::new(lines, level).fuse(), o!()))
    }

    /// The loop's one thread alone takes the lock, which the log's type asks for.
    fn held(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Writes what standard error takes without blocking: a pipe that polls as writable takes a
    /// line of these lengths whole.
    pub fn flush(&self) {
        let mut waiting = self.held();
        while let Some(line) = waiting.lines.front() {
            let stderr = std::io::stderr();
            let mut fds = [PollFd::new(&stderr, PollFlags::OUT)];
            let ready =
                poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|ready| ready > 0);
            if !ready || stderr.lock().write_all(line.as_bytes()).is_err() {
                return;
            }
            waiting.bytes -= line.len();
            waiting.lines.pop_front();
            if waiting.lines.is_empty() && waiting.left_out > 0 {
                let left_out = std::mem::take(&mut waiting.left_out);
                let line = format!("{left_out} lines of the log were left out\n");
                waiting.bytes += line.len();
                waiting.lines.push_back(line);
            }
        }
    }
}
