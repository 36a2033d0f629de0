//! Requests that require a confirmation by a majority before the reply.

use super::state::Controller;
use crate::action::PendingCall;
use crate::calls::{NO_QUORUM_REASON, NodeCallOutcome, ReadConfigOutcome, ReadinessOutcome};
use crate::counters as counter;
use crate::evidence::QuorumEvidence;
use crate::read_index::QuorumWaiter;
use crate::seeded_bug::SeededBug;
use fernknot::interface::Nanos;

impl Controller {
    /// Asks a majority of the voters to confirm the view. Returns false if no majority is reachable or too many
    /// requests are pending.
    pub(super) fn request_read_index(&mut self, waiter: QuorumWaiter, timeout: Nanos) -> bool {
        if self.seeded_bug == Some(SeededBug::AnswerFromLocalState) {
            self.quorum_confirmed(waiter, QuorumEvidence::from_seeded_bug());
            return true;
        }
        let now = self.now();
        let requested = self.read_indexes.begin(&mut self.consensus, now, waiter, timeout);
        if requested {
            self.counters.add(counter::READ_INDEXES, 1);
        }
        requested
    }

    /// Completes the call of `waiter`: a majority confirmed the view after the call arrived, and everything committed
    /// before has been delivered here.
    pub(super) fn quorum_confirmed(&mut self, waiter: QuorumWaiter, evidence: QuorumEvidence) {
        match waiter {
            QuorumWaiter::ConfigChange(id) => self.resolve_confirmed_change(id, evidence),
            QuorumWaiter::ReadConfig(call) => self.reply_with_config(call, evidence),
            QuorumWaiter::Readiness(call) => {
                let ready = (!self.shutting_down).then_some(evidence);
                self.actions.reply(call, ReadinessOutcome(ready));
            }
            QuorumWaiter::NodeDrain(call) => {
                self.actions.reply(call, NodeCallOutcome::DrainConfirmed(evidence));
            }
        }
    }

    fn reply_with_config(&mut self, call: PendingCall, evidence: QuorumEvidence) {
        let outcome = match self.active_config.config {
            None => ReadConfigOutcome::NeverConfigured(evidence),
            Some(_) => ReadConfigOutcome::Current(self.active_config.body.clone(), evidence),
        };
        self.actions.reply(call, outcome);
    }

    /// Ends the call of `waiter`, which no majority confirmed in time, with a reply that asserts nothing about the
    /// state of the system.
    pub(super) fn quorum_unavailable(&mut self, waiter: QuorumWaiter) {
        self.counters.add(counter::READ_INDEXES_UNCONFIRMED, 1);
        match waiter {
            // The change ends by its own deadline, or when no majority is reachable.
            QuorumWaiter::ConfigChange(_) => {}
            QuorumWaiter::ReadConfig(call) => self.actions.reply(call, ReadConfigOutcome::Unavailable),
            QuorumWaiter::Readiness(call) => self.actions.reply(call, ReadinessOutcome(None)),
            QuorumWaiter::NodeDrain(call) => {
                let outcome = self.reject_drain();
                self.actions.reply(call, outcome);
            }
        }
    }

    /// Rejects a drain or deregistration, so that the node calls another controller.
    pub(super) fn reject_drain(&mut self) -> NodeCallOutcome {
        self.counters.add(counter::NODE_DRAINS_REJECTED, 1);
        NodeCallOutcome::Unavailable(NO_QUORUM_REASON)
    }
}
