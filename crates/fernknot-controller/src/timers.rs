//! The clock of the controller and its periodic work.

use fernknot::interface::Nanos;

/// Heartbeat intervals without an input after which the loop is taken to have stood still.
const MAX_GAP_HEARTBEATS: f64 = 2.0;
/// Peers are synchronised every half heartbeat interval.
const PEER_SYNC_HEARTBEATS: f64 = 0.5;

/// The time of the last input, and when the periodic work is due.
#[derive(Debug)]
pub struct Timers {
    now: Nanos,
    heartbeat_interval: Nanos,
    subscriber_heartbeat_interval: Nanos,
    next_subscriber_heartbeat: Nanos,
    next_peer_sync: Nanos,
}

impl Timers {
    /// All is due at once. The intervals are those between heartbeats of a node, and to a subscriber.
    pub fn new(now: Nanos, heartbeat_interval: Nanos, subscriber_heartbeat_interval: Nanos) -> Timers {
        Timers {
            now,
            heartbeat_interval,
            subscriber_heartbeat_interval,
            next_subscriber_heartbeat: now,
            next_peer_sync: now,
        }
    }

    /// The time of the last input.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Moves the clock on, never back. True where the loop stood still since the last input.
    pub fn advance(&mut self, now: Nanos) -> bool {
        let stood_still = now - self.now > self.heartbeat_interval.times(MAX_GAP_HEARTBEATS);
        self.now = self.now.max(now);
        stood_still
    }

    /// Whether peers are to be synchronised now; the timer is then set anew.
    pub fn take_peer_sync(&mut self) -> bool {
        let due = self.next_peer_sync <= self.now;
        if due {
            self.next_peer_sync = self.now + self.heartbeat_interval.times(PEER_SYNC_HEARTBEATS);
        }
        due
    }

    /// Whether subscribers are to be sent a heartbeat now.
    pub fn is_subscriber_heartbeat_due(&self) -> bool {
        self.next_subscriber_heartbeat <= self.now
    }

    /// Sets the timer of the subscribers' heartbeats anew.
    pub fn restart_subscriber_heartbeat(&mut self) {
        self.next_subscriber_heartbeat = self.now + self.subscriber_heartbeat_interval;
    }

    /// When periodic work is due next.
    pub fn next_timeout(&self) -> Nanos {
        self.next_subscriber_heartbeat.min(self.next_peer_sync)
    }
}
