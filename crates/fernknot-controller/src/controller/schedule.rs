//! Polling of the controller by its host, and the work that is due by time.

use super::state::Controller;
use crate::action::Action;
use crate::calls::{ChangeOutcome, NO_QUORUM_REASON};
use crate::counters as counter;
use crate::peers::LinkAction;
use fernknot::interface::Nanos;

impl Controller {
    /// Returns the next action for the host, or None if there is none.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        if self.actions.is_empty() {
            self.advance_clock(now);
            self.run_due_work();
        }
        self.actions.pop()
    }

    /// Returns the time at which [`poll_action`](Controller::poll_action) has to be called again if no input arrives.
    pub fn next_timeout(&self) -> Nanos {
        let optional = [
            self.consensus.next_timeout(),
            self.changes.next_timeout(self.now()),
            self.peers.next_timeout(),
            self.read_indexes.next_timeout(),
            self.next_usage_timeout(),
            self.nodes.has_unpublished().then(|| self.timers.next_publication()),
        ];
        optional.into_iter().flatten().fold(self.timers.next_timeout(), Nanos::min)
    }

    fn next_usage_timeout(&self) -> Option<Nanos> {
        let usage = self.usage.as_ref()?;
        usage.next_timeout(self.now(), self.lease_state(), !self.changes.has_proposal())
    }

    fn run_due_work(&mut self) {
        self.drain_consensus();
        self.expire_waiters();
        if !self.changes.is_empty() {
            self.advance_changes();
            self.drain_consensus();
        }
        self.advance_usage();
        if self.timers.take_peer_sync() {
            self.sync_peers();
        }
        self.announce_nodes_to_peers();
        self.publish_node_updates();
        let heartbeat_due = self.timers.is_subscriber_heartbeat_due();
        if self.ownership.take_stale() || heartbeat_due {
            self.refresh_assignment();
        }
        if heartbeat_due {
            self.timers.restart_subscriber_heartbeat();
            self.send_heartbeats();
        }
        self.poll_peers();
    }

    /// Ends read index requests and changes whose deadline has passed. If this controller is partitioned, ends all
    /// read index requests and the changes of local callers, so that callers try another controller at once.
    fn expire_waiters(&mut self) {
        let now = self.now();
        if !self.read_indexes.is_empty() || !self.changes.is_empty() {
            let partitioned = self.is_partitioned();
            for waiter in self.read_indexes.take_expired(&mut self.consensus, now, partitioned) {
                self.quorum_unavailable(waiter);
            }
            if partitioned {
                for origin in self.changes.abandon_local() {
                    self.counters.add(counter::CHANGES_UNKNOWN, 1);
                    self.finish_change(origin, ChangeOutcome::Unknown(NO_QUORUM_REASON));
                }
            }
        }
        for origin in self.changes.expire(now) {
            self.counters.add(counter::CHANGES_UNKNOWN, 1);
            let reason = "no end in time; it may be repeated unchanged";
            self.finish_change(origin, ChangeOutcome::Unknown(reason));
        }
    }

    fn poll_peers(&mut self) {
        let now = self.now();
        while let Some(action) = self.peers.poll_action(now) {
            self.actions.push(match action {
                LinkAction::Connect(to) => Action::Connect { to },
                LinkAction::AbortConnect(to) => Action::AbortConnect { to },
            });
        }
    }
}
