//! Operator of a soak, which changes the configuration again and again until it is told to stop.

use crate::config_draft::ConfigDraft;
use crate::operator::{CallOutcome, Operator};
use crate::sync::lock;
use fernknot_simulator::rng::Rng;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Range of the pauses between two changes, in milliseconds.
const MIN_PAUSE_MS: usize = 300;
const MAX_PAUSE_MS: usize = 1500;

/// A change that was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentChange {
    pub epoch: u64,
    pub number: u64,
    pub sent_at: Instant,
    pub acknowledged_at: Option<Instant>,
}

/// Changes sent so far, and what was wrong with the responses to them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    pub changes: Vec<SentChange>,
    pub errors: Vec<String>,
}

impl ChangeLog {
    /// Returns the newest acknowledged change.
    pub fn newest(&self) -> Option<SentChange> {
        self.changes
            .iter()
            .filter(|change| change.acknowledged_at.is_some())
            .max_by_key(|change| change.epoch)
            .copied()
    }
}

/// The operator's thread.
pub(crate) struct ChangeSeries {
    pub log: Arc<Mutex<ChangeLog>>,
    stop_requested: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl ChangeSeries {
    /// Starts the operator, whose first change replaces the version `draft`, which was acknowledged just now.
    pub fn start(operator: Operator, draft: ConfigDraft, seed: u64) -> ChangeSeries {
        let now = Instant::now();
        let first = SentChange {
            epoch: draft.epoch,
            number: draft.change.unwrap_or(0),
            sent_at: now,
            acknowledged_at: Some(now),
        };
        let log = Arc::new(Mutex::new(ChangeLog { changes: vec![first], errors: Vec::new() }));
        let stop_requested = Arc::new(AtomicBool::new(false));
        let thread = {
            let (log, stop_requested) = (log.clone(), stop_requested.clone());
            thread::spawn(move || send_changes(&operator, draft, &Rng::new(seed), &log, &stop_requested))
        };
        ChangeSeries { log, stop_requested, thread }
    }

    /// Waits until the last change has its response, and returns all changes.
    pub fn finish(self) -> ChangeLog {
        self.stop_requested.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        lock(&self.log).clone()
    }
}

fn send_changes(
    operator: &Operator,
    mut draft: ConfigDraft,
    rng: &Rng,
    log: &Mutex<ChangeLog>,
    stop_requested: &AtomicBool,
) {
    while !stop_requested.load(Ordering::Relaxed) {
        let pause_ms = MIN_PAUSE_MS + rng.below(MAX_PAUSE_MS - MIN_PAUSE_MS);
        thread::sleep(Duration::from_millis(pause_ms as u64));
        let base = draft.epoch;
        draft.epoch += 1 + rng.below(3) as u64;
        draft.change = Some(draft.change.unwrap_or(0) + 1);
        let sent = SentChange {
            epoch: draft.epoch,
            number: draft.change.unwrap_or(0),
            sent_at: Instant::now(),
            acknowledged_at: None,
        };
        lock(log).changes.push(sent);
        let outcome = operator.replace(&draft.to_bytes(), base);
        let mut log = lock(log);
        if let CallOutcome::Completed { status: 200, .. } = outcome {
            if let Some(change) = log.changes.last_mut() {
                change.acknowledged_at = Some(Instant::now());
            }
        } else {
            log.errors.push(format!("ACKS: version {} on {base}: {}", draft.epoch, describe(&outcome)));
            return;
        }
    }
}

fn describe(outcome: &CallOutcome) -> String {
    match outcome {
        CallOutcome::Completed { status, body, controller } => {
            format!("{controller} returned {status} {}", String::from_utf8_lossy(body))
        }
        CallOutcome::Unclear(results) => format!("no clear response: {}", results.join("; ")),
    }
}
