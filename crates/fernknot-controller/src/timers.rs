//! Clock of the controller, and the times at which its periodic work is due.

use fernknot::interface::Nanos;

/// Time without an input after which the event loop is considered stalled, in heartbeat intervals.
const MAX_INPUT_GAP_HEARTBEAT_INTERVALS: f64 = 2.0;
/// Interval between synchronisations with peers, in heartbeat intervals.
const PEER_SYNC_HEARTBEAT_INTERVALS: f64 = 0.5;
/// Minimum interval between two publications of nodes that have become ready, in heartbeat intervals of a node.
const PUBLICATION_HEARTBEAT_INTERVALS: f64 = 0.1;

/// Time of the last input, and due times of the periodic work.
#[derive(Debug)]
pub struct Timers {
    now: Nanos,
    heartbeat_interval: Nanos,
    subscriber_heartbeat_interval: Nanos,
    next_subscriber_heartbeat: Nanos,
    next_peer_sync: Nanos,
    /// Time from which nodes that have become ready may be published again.
    next_publication: Nanos,
}

impl Timers {
    /// Creates timers that are due at once. The arguments are the intervals between heartbeats of a node and between
    /// heartbeats to a subscriber.
    pub fn new(now: Nanos, heartbeat_interval: Nanos, subscriber_heartbeat_interval: Nanos) -> Timers {
        Timers {
            now,
            heartbeat_interval,
            subscriber_heartbeat_interval,
            next_subscriber_heartbeat: now,
            next_peer_sync: now,
            next_publication: now,
        }
    }

    /// Time of the last input, on the host's monotonic clock.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Advances the clock, which never goes back. Returns true if the event loop was stalled since the last input.
    pub fn advance(&mut self, now: Nanos) -> bool {
        let is_stalled = now - self.now > self.heartbeat_interval.times(MAX_INPUT_GAP_HEARTBEAT_INTERVALS);
        self.now = self.now.max(now);
        is_stalled
    }

    /// Returns whether a synchronisation with peers is due, and restarts its timer if so.
    pub fn take_peer_sync(&mut self) -> bool {
        let due = self.next_peer_sync <= self.now;
        if due {
            self.next_peer_sync = self.now + self.heartbeat_interval.times(PEER_SYNC_HEARTBEAT_INTERVALS);
        }
        due
    }

    /// Whether heartbeats to subscribers are due.
    pub fn is_subscriber_heartbeat_due(&self) -> bool {
        self.next_subscriber_heartbeat <= self.now
    }

    /// Restarts the timer of the heartbeats to subscribers.
    pub fn restart_subscriber_heartbeat(&mut self) {
        self.next_subscriber_heartbeat = self.now + self.subscriber_heartbeat_interval;
    }

    /// Whether nodes that have become ready may be published now.
    pub fn is_publication_due(&self) -> bool {
        self.next_publication <= self.now
    }

    /// Restarts the interval between publications of nodes.
    pub fn restart_publication(&mut self) {
        self.next_publication = self.now + self.heartbeat_interval.times(PUBLICATION_HEARTBEAT_INTERVALS);
    }

    /// Time from which nodes that have become ready may be published again.
    pub fn next_publication(&self) -> Nanos {
        self.next_publication
    }

    /// Returns the time at which periodic work is next due.
    pub fn next_timeout(&self) -> Nanos {
        self.next_subscriber_heartbeat.min(self.next_peer_sync)
    }
}
