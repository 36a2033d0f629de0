//! Lifeguard's local health: how far the local router may trust its own failure detector.

use crate::settings::MembershipSettings;
use fernknot::interface::Nanos;

/// The highest (worst) health score, as in Lifeguard.
const MAX_SCORE: u32 = 8;

/// Signs that the local router, rather than others, is at fault: late turns, silence all round, failed indirect probes.
pub(crate) struct LocalHealth {
    /// Lifeguard's local health multiplier, from 0 (good) to `MAX_SCORE`.
    score: u32,
    scoring: bool,
    started_at: Nanos,
    last_heard: Nanos,
    /// Nobody is suspected before this time.
    listens_until: Nanos,
    last_turn: Nanos,
    next_turn_due: Nanos,
}

impl LocalHealth {
    /// A process that starts now, and expects its first turn at `first_turn_due`.
    pub fn new(settings: &MembershipSettings, now: Nanos, first_turn_due: Nanos) -> LocalHealth {
        LocalHealth {
            score: 0,
            scoring: settings.is_full(),
            started_at: now,
            last_heard: now,
            listens_until: now,
            last_turn: now,
            next_turn_due: first_turn_due,
        }
    }

    /// The score, from 0 (good) to `MAX_SCORE`.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// A turn of the host's loop begins; by how much it is late.
    pub fn begin_turn(&mut self, now: Nanos) -> Nanos {
        let late_by = now - self.next_turn_due.max(self.last_turn);
        self.last_turn = now;
        late_by
    }

    /// When the last turn of the host's loop began.
    pub fn last_turn(&self) -> Nanos {
        self.last_turn
    }

    /// The next turn is due at this time.
    pub fn expect_turn(&mut self, at: Nanos) {
        self.next_turn_due = at;
    }

    /// A message of any other router arrived.
    pub fn message_received(&mut self, now: Nanos) {
        self.last_heard = now;
    }

    /// Whether any other router was heard at or after this time.
    pub fn heard_since(&self, since: Nanos) -> bool {
        self.last_heard >= since
    }

    /// Suspects nobody before this time.
    pub fn listen_until(&mut self, until: Nanos) {
        self.listens_until = self.listens_until.max(until);
    }

    /// Raises the score: a sign of a fault here.
    pub fn degrade(&mut self) {
        if self.scoring {
            self.score = (self.score + 1).min(MAX_SCORE);
        }
    }

    /// Lowers the score: a probe was acknowledged.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A time-out, lengthened by poor health.
    pub fn lengthen(&self, timeout: Nanos) -> Nanos {
        timeout.times(1.0 + f64::from(self.score) / 2.0)
    }

    /// Whether nobody was heard for longer than poor health explains.
    pub fn hears_nobody(&self, settings: &MembershipSettings, now: Nanos) -> bool {
        now - self.last_heard > self.lengthen(settings.isolation_timeout())
    }

    /// Whether the time of listening after a stall lasts.
    pub fn is_listening(&self, now: Nanos) -> bool {
        now < self.listens_until
    }

    /// Whether the process started less than the settling time ago.
    pub fn has_just_started(&self, settings: &MembershipSettings, now: Nanos) -> bool {
        now < self.started_at + settings.settling_time()
    }
}
