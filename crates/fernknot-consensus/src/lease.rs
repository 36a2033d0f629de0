//! Lease granted by a majority's answers to heartbeats, and detection of a partition from the majority.

use fernknot::interface::Nanos;

use crate::replica::Replica;
use crate::state::peers::Peer;

impl Replica {
    /// Whether a majority has answered a heartbeat in this view within the lease duration, and no change that was
    /// stored here longer ago than that is uncommitted.
    pub fn has_lease(&self, now: Nanos) -> bool {
        let is_active = self.activation.active && !self.is_changing_view();
        if !is_active || self.activation.entered_view.is_none() {
            return false;
        }
        let Some(delivered) = self.replication.delivered_revision() else { return false };
        // A replica that was dropped and has returned may store a change in flight while its delivered state is from
        // before this view.
        if delivered < self.chosen().start() {
            return false;
        }
        let is_recent = |at: Nanos| now - at <= self.settings.lease_duration;
        let supports = |peer: &Peer| {
            peer.heartbeat.view == self.view().number
                && !peer.heartbeat.changing_view
                && !peer.heartbeat.recovering
                && peer.newest_echo_sent_at.is_some_and(is_recent)
        };
        let supporters = self
            .view()
            .voters()
            .filter(|voter| self.is_me(voter) || self.peers.get(voter.id).is_some_and(supports));
        let has_uncommitted = delivered < self.disk.state.revision;
        self.view().is_majority(supporters.count())
            && (!has_uncommitted || is_recent(self.activation.unstable_since))
    }

    /// Whether this replica reaches no majority of the voters, and has run for longer than the suspicion time-out, so
    /// that it can tell.
    pub fn is_partitioned(&self, now: Nanos) -> bool {
        self.clock.can_detect_failures(now) && !self.view().is_majority(self.reachable_voters())
    }
}
