//! The one outstanding call to the platform: attempts, time limits and retries.

use crate::holder::ReporterToken;
use crate::settings::ReportingSettings;
use fernknot::interface::Nanos;
use fernknot_ownership::splitmix64;
use fernknot_usage::{FixedWindow, WindowNumber};

/// Status of a call that is acknowledged.
const OK: u16 = 200;
/// Status of a call whose fencing token is lower than one that the platform has seen.
const CONFLICT: u16 = 409;
/// Time limit of an answer, as a multiple of the time that the last answer took.
const ANSWER_TIMEOUT_FACTOR: f64 = 2.0;
/// Factor by which the time limit grows with each attempt in a row that reaches it.
const TIMEOUT_GROWTH: f64 = 1.5;
/// Smallest share of a pause that is waited; the rest is random.
const MIN_PAUSE_SHARE: f64 = 0.5;

/// Identifier of one attempt of a call, never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Content of a call, to be written to the platform's socket at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageCall {
    /// Value of `Duty-Holder`.
    pub holder: String,
    /// Value of `Fence-Token`.
    pub token: ReporterToken,
    /// Window that is reported.
    pub window: WindowNumber,
    /// Body, as JSON; the same bytes for every attempt of every holder.
    pub body: Vec<u8>,
}

/// End of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform answered with this status.
    Answered(u16),
    /// There was no answer, or none that can be read: whether the platform has accepted the call is unknown.
    Unclear,
}

/// Reason why an attempt was not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallFailure {
    /// The platform answered with this status.
    #[error("the platform answered {0}")]
    Status(u16),
    /// The connection could not be opened, or ended without an answer.
    #[error("the connection failed or was closed without an answer")]
    Connection,
    /// The connection or the answer took too long.
    #[error("there was no answer in time")]
    TimedOut,
}

/// Numbers of attempts by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStatistics {
    /// Attempts that were written to the platform's socket.
    pub written: u64,
    /// Attempts that the platform acknowledged.
    pub acknowledged: u64,
    /// Attempts that the platform rejected because it had seen a higher token.
    pub fenced: u64,
    /// Attempts that the platform answered otherwise.
    pub rejected: u64,
    /// Attempts that ended unclear, for any reason but the time limit.
    pub unclear: u64,
    /// Attempts that were given up at their time limit.
    pub timed_out: u64,
}

/// Attempt that was written.
#[derive(Clone, Copy, Debug)]
struct Writing {
    token: ReporterToken,
    at: Nanos,
}

/// Attempt that has no end yet.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    id: CallId,
    window: WindowNumber,
    deadline: Nanos,
    /// None before it is written.
    written: Option<Writing>,
}

/// Attempts of the calls, one at a time.
#[derive(Clone, Debug)]
pub(crate) struct PlatformCalls {
    attempt: Option<Attempt>,
    last_id: u64,
    not_before: Nanos,
    /// Number of attempts in a row that were not acknowledged.
    failures: u32,
    /// Number of attempts in a row that were written and not answered within their time limit.
    timeouts: u32,
    /// Time that the platform took for its last answer.
    last_answer_time: Nanos,
    random: u64,
    statistics: CallStatistics,
    /// End of the last attempt; None if it was acknowledged.
    last_failure: Option<CallFailure>,
}

impl PlatformCalls {
    pub(crate) fn new(seed: u64) -> PlatformCalls {
        PlatformCalls {
            attempt: None,
            last_id: 0,
            not_before: Nanos(0),
            failures: 0,
            timeouts: 0,
            last_answer_time: Nanos(0),
            random: seed,
            statistics: CallStatistics::default(),
            last_failure: None,
        }
    }

    pub(crate) fn last_failure(&self) -> Option<CallFailure> {
        self.last_failure
    }

    pub(crate) fn statistics(&self) -> CallStatistics {
        self.statistics
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.attempt.is_none()
    }

    /// Starts an attempt, if none is outstanding and the pause is over.
    pub(crate) fn start(
        &mut self,
        now: Nanos,
        window: WindowNumber,
        settings: &ReportingSettings,
    ) -> Option<CallId> {
        if self.attempt.is_some() || now < self.not_before {
            return None;
        }
        self.last_id += 1;
        let id = CallId(self.last_id);
        let deadline = now + settings.connect_timeout();
        self.attempt = Some(Attempt { id, window, deadline, written: None });
        self.not_before = now + settings.min_call_interval();
        Some(id)
    }

    /// Time limit of the answer. Follows the time of the last answer and grows with each attempt that reaches it, so that
    /// a slow platform is heard, and a call that is lost is soon made again.
    fn answer_timeout(&self, settings: &ReportingSettings) -> Nanos {
        let expected = self.last_answer_time.times(ANSWER_TIMEOUT_FACTOR).max(settings.min_answer_timeout());
        let growth = TIMEOUT_GROWTH.powi(self.timeouts.min(16) as i32);
        expected.times(growth).min(settings.usage_delay)
    }

    /// Window of an attempt that has not been written yet.
    pub(crate) fn unwritten_window(&self, id: CallId) -> Option<WindowNumber> {
        let attempt = self.attempt.filter(|attempt| attempt.id == id && attempt.written.is_none());
        attempt.map(|attempt| attempt.window)
    }

    /// Records that an attempt is written with this token.
    pub(crate) fn mark_written(&mut self, now: Nanos, token: ReporterToken, settings: &ReportingSettings) {
        let timeout = self.answer_timeout(settings);
        if let Some(attempt) = &mut self.attempt {
            attempt.written = Some(Writing { token, at: now });
            attempt.deadline = now + timeout;
            self.statistics.written += 1;
        }
    }

    /// Gives up the attempt if it has not been written yet. Returns its identifier.
    pub(crate) fn abandon_unwritten(&mut self) -> Option<CallId> {
        self.attempt.take_if(|attempt| attempt.written.is_none()).map(|attempt| attempt.id)
    }

    /// Gives up the attempt if its time limit has passed. Returns its identifier.
    pub(crate) fn expire(&mut self, now: Nanos, settings: &ReportingSettings) -> Option<CallId> {
        let attempt = self.attempt.take_if(|attempt| attempt.deadline <= now)?;
        self.statistics.timed_out += 1;
        self.last_failure = Some(CallFailure::TimedOut);
        self.timeouts += u32::from(attempt.written.is_some());
        self.pause(now, settings);
        Some(attempt.id)
    }

    /// Ends the attempt with this identifier. Returns the window that is acknowledged, or the token that is fenced.
    pub(crate) fn finish(
        &mut self,
        now: Nanos,
        id: CallId,
        outcome: CallOutcome,
        settings: &ReportingSettings,
    ) -> Option<FinishedCall> {
        let attempt = self.attempt.take_if(|attempt| attempt.id == id)?;
        self.last_failure = Some(match outcome {
            CallOutcome::Answered(status) => CallFailure::Status(status),
            CallOutcome::Unclear => CallFailure::Connection,
        });
        if let CallOutcome::Answered(_) = outcome {
            self.timeouts = 0;
            self.last_answer_time = attempt.written.map_or(self.last_answer_time, |writing| now - writing.at);
        }
        match (outcome, attempt.written) {
            (CallOutcome::Answered(OK), Some(_)) => {
                self.failures = 0;
                self.last_failure = None;
                self.statistics.acknowledged += 1;
                return Some(FinishedCall::Acknowledged(attempt.window));
            }
            (CallOutcome::Answered(CONFLICT), Some(Writing { token, .. })) => {
                self.statistics.fenced += 1;
                self.pause(now, settings);
                return Some(FinishedCall::Fenced(token));
            }
            (CallOutcome::Answered(_), Some(_)) => self.statistics.rejected += 1,
            // An answer before the request has no meaning.
            (CallOutcome::Answered(_), None) | (CallOutcome::Unclear, _) => self.statistics.unclear += 1,
        }
        self.pause(now, settings);
        None
    }

    /// Waits before the next attempt, longer after each that was not acknowledged, and by a random share.
    fn pause(&mut self, now: Nanos, settings: &ReportingSettings) {
        let longest = settings.first_pause().times(2f64.powi(self.failures.min(16) as i32));
        let longest = longest.min(settings.max_pause());
        self.failures += 1;
        self.random = splitmix64(self.random);
        let random_share = (self.random >> 32) as f64 / f64::from(u32::MAX);
        let share = MIN_PAUSE_SHARE + (1.0 - MIN_PAUSE_SHARE) * random_share;
        self.not_before = self.not_before.max(now + longest.times(share));
    }

    /// Earliest time of the next attempt, or the time limit of the outstanding one.
    pub(crate) fn next_timeout(&self) -> Nanos {
        self.attempt.map_or(self.not_before, |attempt| attempt.deadline)
    }
}

/// Result of a call that changes more than the pause before the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinishedCall {
    /// The platform has acknowledged this window.
    Acknowledged(WindowNumber),
    /// The platform has seen a higher token than this one.
    Fenced(ReporterToken),
}

/// Returns the body of the report on a window, as JSON with the keys in this order.
pub(crate) fn report_body(fixed: &FixedWindow) -> Vec<u8> {
    let counts = fixed.counts.iter();
    let counts: Vec<String> =
        counts.map(|(tenant, count)| format!("{}:{count}", serde_json::json!(tenant))).collect();
    format!(r#"{{"window":{},"counts":{{{}}}}}"#, fixed.window.0, counts.join(",")).into_bytes()
}
