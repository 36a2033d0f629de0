//! Time at which a node began to execute a request.

use crate::nodes::AttemptKey;
use fernknot::interface::Nanos;

/// Attempts of one request that nodes may have begun to execute, until the request is counted.
#[derive(Default)]
pub struct ExecutionStart {
    /// Attempts that were sent over an open connection and that no node has rejected, with the time of sending.
    sent: Vec<(AttemptKey, Nanos)>,
    is_counted: bool,
}

impl ExecutionStart {
    /// Records that an attempt has been sent over an open connection.
    pub fn record_sent(&mut self, attempt: AttemptKey, now: Nanos) {
        if !self.is_counted && self.sent.iter().all(|(sent, _)| *sent != attempt) {
            self.sent.push((attempt, now));
        }
    }

    /// Records that a node did not execute an attempt.
    pub fn record_rejected(&mut self, attempt: AttemptKey) {
        self.sent.retain(|(sent, _)| *sent != attempt);
    }

    /// Returns the time at which the first attempt was sent that a node may have executed; `None` if there is none, or
    /// if the time has been taken before.
    pub fn take(&mut self) -> Option<Nanos> {
        let first = self.sent.iter().map(|(_, at)| *at).min()?;
        (self.sent, self.is_counted) = (Vec::new(), true);
        Some(first)
    }
}
