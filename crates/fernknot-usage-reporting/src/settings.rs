//! Settings of a role, and the times derived from them.

use fernknot::interface::Nanos;
use fernknot_usage::WindowNumber;

use crate::clock::UnixMillis;

/// Time from the end of a window until its counts are fixed, as a share of the delay by which they are due: late
/// reports of gateways arrive before, and a change of the leader with a retry still fits after it.
const CLOSING_SHARE: f64 = 0.3;
/// Time for which a new leader waits before its first call, as a multiple of the lease: clocks run apart.
const TAKEOVER_WAIT_LEASES: f64 = 1.1;
/// Time limit of a connection to the platform, as a share of the delay by which usage is due.
const CONNECT_TIMEOUT_SHARE: f64 = 0.1;
/// Shortest time limit of an answer, as a share of the delay by which usage is due.
const ANSWER_TIMEOUT_SHARE: f64 = 0.1;
/// Pause before the first retry of a call, as a share of the delay by which usage is due.
const FIRST_PAUSE_SHARE: f64 = 0.02;
/// Longest pause before a retry of a call, as a share of the delay by which usage is due.
const MAX_PAUSE_SHARE: f64 = 0.1;

/// Settings of the role of usage reporter.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportingSettings {
    /// Name of this process, as the platform knows it.
    pub holder: String,
    /// Time within which the holder may not change back to an earlier one.
    pub lease: Nanos,
    /// Length of a window.
    pub window: Nanos,
    /// Time from the end of a window within which its usage has to be reported.
    pub usage_delay: Nanos,
    /// Largest number of calls a second that the platform accepts.
    pub calls_per_s: f64,
}

impl ReportingSettings {
    /// Time from the activation of a view until its leader may act, if another one may have led before.
    pub(crate) fn takeover_wait(&self) -> Nanos {
        self.lease.times(TAKEOVER_WAIT_LEASES)
    }

    /// Time limit of a connection to the platform.
    pub(crate) fn connect_timeout(&self) -> Nanos {
        self.usage_delay.times(CONNECT_TIMEOUT_SHARE)
    }

    /// Shortest time limit of an answer.
    pub(crate) fn min_answer_timeout(&self) -> Nanos {
        self.usage_delay.times(ANSWER_TIMEOUT_SHARE)
    }

    /// Pause before the first retry of a call.
    pub(crate) fn first_pause(&self) -> Nanos {
        self.usage_delay.times(FIRST_PAUSE_SHARE)
    }

    /// Longest pause before a retry of a call.
    pub(crate) fn max_pause(&self) -> Nanos {
        self.usage_delay.times(MAX_PAUSE_SHARE)
    }

    /// Shortest time between the starts of two calls.
    pub(crate) fn min_call_interval(&self) -> Nanos {
        Nanos::from_millis(1000.0 / self.calls_per_s.max(f64::MIN_POSITIVE))
    }

    /// Window that contains a time of day.
    pub fn window_at(&self, time_of_day: UnixMillis) -> WindowNumber {
        WindowNumber(time_of_day.0 / self.window_ms())
    }

    /// Last window that ended long enough ago to be fixed. None if there is none yet.
    pub(crate) fn last_closed(&self, time_of_day: UnixMillis) -> Option<WindowNumber> {
        let delay_ms = self.usage_delay.times(CLOSING_SHARE).as_millis() as u64;
        let ended = time_of_day.0.saturating_sub(delay_ms) / self.window_ms();
        ended.checked_sub(1).map(WindowNumber)
    }

    /// Time of day at which a window is closed.
    pub(crate) fn closes_at(&self, window: WindowNumber) -> UnixMillis {
        let delay_ms = self.usage_delay.times(CLOSING_SHARE).as_millis() as u64;
        UnixMillis(window.next().0.saturating_mul(self.window_ms()).saturating_add(delay_ms))
    }

    fn window_ms(&self) -> u64 {
        (self.window.as_millis() as u64).max(1)
    }
}
