//! Requests that a majority has to confirm before they are answered.

use super::state::Controller;
use crate::action::PendingCall;
use crate::calls::{NO_QUORUM_REASON, NodeCallOutcome, ReadConfigOutcome, ReadinessOutcome};
use crate::counters as counter;
use crate::evidence::QuorumEvidence;
use crate::read_index::QuorumWaiter;
use crate::seeded_bug::SeededBug;
use fernknot::interface::Nanos;

impl Controller {
    /// Asks a majority of the voters to confirm the view. False where that is of no use: none is reachable, or too many
    /// requests are pending.
    pub(super) fn request_read_index(&mut self, waiter: QuorumWaiter, timeout: Nanos) -> bool {
        if self.seeded_bug == Some(SeededBug::AnswerFromLocalState) {
            self.quorum_confirmed(waiter, QuorumEvidence::from_seeded_bug());
            return true;
        }
        let now = self.now();
        let asked = self.reads.begin(&mut self.consensus, now, waiter, timeout);
        if asked {
            self.counters.add(counter::READ_INDEXES, 1);
        }
        asked
    }

    /// A majority stood in the view after the call of `waiter` came, and all that was committed before is delivered
    /// here.
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

    /// No majority has confirmed in time: nothing is said of what is known here.
    pub(super) fn quorum_unavailable(&mut self, waiter: QuorumWaiter) {
        self.counters.add(counter::READ_INDEXES_UNCONFIRMED, 1);
        match waiter {
            // It ends by its own deadline, or because it is abandoned.
            QuorumWaiter::ConfigChange(_) => {}
            QuorumWaiter::ReadConfig(call) => self.actions.reply(call, ReadConfigOutcome::Unavailable),
            QuorumWaiter::Readiness(call) => self.actions.reply(call, ReadinessOutcome(None)),
            QuorumWaiter::NodeDrain(call) => {
                let outcome = self.reject_drain();
                self.actions.reply(call, outcome);
            }
        }
    }

    /// The node has to call another controller.
    pub(super) fn reject_drain(&mut self) -> NodeCallOutcome {
        self.counters.add(counter::NODE_DRAINS_REJECTED, 1);
        NodeCallOutcome::Unavailable(NO_QUORUM_REASON)
    }
}
