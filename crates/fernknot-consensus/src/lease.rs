//! Claims of freshness that rest on the answers to heartbeats: the lease of a majority, and the lack of one.

use fernknot::interface::Nanos;

use crate::replica::Replica;
use crate::state::peers::Peer;

impl Replica {
    /// Whether a majority has answered a heartbeat within the lease duration in this view, and no change older than
    /// that is uncommitted.
    pub fn has_lease(&self, now: Nanos) -> bool {
        let is_active = self.activation.active && !self.is_changing_view();
        if !is_active || self.activation.entered_view.is_none() {
            return false;
        }
        let Some(delivered) = self.replication.delivered_revision() else { return false };
        // What is delivered may be from before this replica was dropped, while it stores a change in flight.
        if delivered < self.chosen().start() {
            return false;
        }
        let is_recent = |at: Nanos| now - at <= self.settings.lease_duration;
        let supports = |peer: &Peer| {
            peer.heartbeat.view == self.view().number
                && !peer.heartbeat.changing_view
                && !peer.heartbeat.recovering
                && peer.last_echoed.is_some_and(is_recent)
        };
        let supporters = self
            .view()
            .voters()
            .filter(|voter| self.is_me(voter) || self.peers.get(voter.id).is_some_and(supports));
        let has_uncommitted = delivered < self.disk.state.revision;
        self.view().is_majority(supporters.count())
            && (!has_uncommitted || is_recent(self.activation.unstable_since))
    }

    /// Whether this replica has listened for long enough and no majority of the voters is reachable.
    pub fn is_partitioned(&self, now: Nanos) -> bool {
        self.clock.has_listened(now) && !self.view().is_majority(self.reachable_voters())
    }
}
