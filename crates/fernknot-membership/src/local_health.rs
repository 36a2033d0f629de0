//! Lifeguard's local health: how reliable the local router's own failure detector currently is.

use crate::settings::MembershipSettings;
use fernknot::interface::Nanos;

/// Highest (worst) health score, as in Lifeguard.
const MAX_HEALTH_SCORE: u32 = 8;

/// Signs that the local router, rather than others, is at fault: late event-loop iterations, no messages from anybody,
/// failed indirect probes.
pub(crate) struct LocalHealth {
    /// Lifeguard's local health multiplier, from 0 (healthy) to `MAX_HEALTH_SCORE`.
    score: u32,
    scoring_enabled: bool,
    started_at: Nanos,
    last_received: Nanos,
    /// End of the time after a stall during which nobody is suspected.
    stall_recovery_ends_at: Nanos,
    last_iteration_at: Nanos,
    next_wakeup_due: Nanos,
}

impl LocalHealth {
    /// Creates the health of a process that starts now and expects its first event-loop iteration at
    /// `first_wakeup_due`.
    pub fn new(settings: &MembershipSettings, now: Nanos, first_wakeup_due: Nanos) -> LocalHealth {
        LocalHealth {
            score: 0,
            scoring_enabled: settings.is_full(),
            started_at: now,
            last_received: now,
            stall_recovery_ends_at: now,
            last_iteration_at: now,
            next_wakeup_due: first_wakeup_due,
        }
    }

    /// Health score, from 0 (healthy) to `MAX_HEALTH_SCORE`.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Begins an iteration of the host's event loop and returns how late it is.
    pub fn begin_iteration(&mut self, now: Nanos) -> Nanos {
        let late_by = now - self.next_wakeup_due.max(self.last_iteration_at);
        self.last_iteration_at = now;
        late_by
    }

    /// Start of the last iteration of the host's event loop.
    pub fn last_iteration_at(&self) -> Nanos {
        self.last_iteration_at
    }

    /// Sets the time at which the next event-loop iteration is due.
    pub fn expect_wakeup(&mut self, at: Nanos) {
        self.next_wakeup_due = at;
    }

    /// Records the arrival of a message from any other router.
    pub fn message_received(&mut self, now: Nanos) {
        self.last_received = now;
    }

    /// Whether a message from any other router arrived at or after this time.
    pub fn received_since(&self, since: Nanos) -> bool {
        self.last_received >= since
    }

    /// Suppresses suspicions until this time, after a stall of the host (an iteration that began late).
    pub fn recover_from_stall_until(&mut self, until: Nanos) {
        self.stall_recovery_ends_at = self.stall_recovery_ends_at.max(until);
    }

    /// Raises the score after a sign of a local fault.
    pub fn degrade(&mut self) {
        if self.scoring_enabled {
            self.score = (self.score + 1).min(MAX_HEALTH_SCORE);
        }
    }

    /// Lowers the score after an acknowledged probe.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Time-out lengthened by half of `timeout` for each point of the health score.
    pub fn lengthen(&self, timeout: Nanos) -> Nanos {
        timeout.times(1.0 + f64::from(self.score) / 2.0)
    }

    /// Whether no message has arrived for longer than the isolation time-out, lengthened by poor health.
    pub fn receipt_timed_out(&self, settings: &MembershipSettings, now: Nanos) -> bool {
        now - self.last_received > self.lengthen(settings.isolation_timeout())
    }

    /// Whether suspicions are still suppressed after a stall.
    pub fn is_recovering_from_stall(&self, now: Nanos) -> bool {
        now < self.stall_recovery_ends_at
    }

    /// Whether the process started less than the settling time (15 probe periods) ago.
    pub fn has_just_started(&self, settings: &MembershipSettings, now: Nanos) -> bool {
        now < self.started_at + settings.settling_time()
    }
}
