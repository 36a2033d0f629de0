//! Execution of the consensus member's actions.

use super::state::Controller;
use crate::action::Action;
use crate::active_config::ActiveConfig;
use crate::calls::ChangeOutcome;
use crate::evidence::QuorumEvidence;
use fernknot_consensus::{Action as ConsensusAction, View};
use fernknot_rpc::ControllerMessage;
use fernknot_telemetry::component;
use log::Level;

impl Controller {
    /// Executes all actions of the consensus member.
    pub(super) fn drain_consensus(&mut self) {
        let now = self.now();
        while let Some(action) = self.consensus.poll_action(now) {
            self.handle_consensus_action(action);
        }
        self.consensus.finish_poll();
        if let Some(has_lease) = self.consensus.take_lease_change(now) {
            let text = if has_lease {
                "lease acquired: a majority of the members is reachable"
            } else {
                "lease lost: no majority of the members is reachable"
            };
            self.actions.log(Level::Info, component::CONSENSUS, text);
        }
        if self.holds_lease() {
            self.send_deferred_snapshots();
        }
    }

    fn handle_consensus_action(&mut self, action: ConsensusAction) {
        let evidence = QuorumEvidence::from_consensus(&action);
        match action {
            ConsensusAction::Send { to, message } => {
                self.add_peer(to);
                // The message is dropped if the controller is unreachable: members resend what is needed.
                self.send_to_peer(to, ControllerMessage::Consensus(message));
            }
            ConsensusAction::Persist { write_id, state } => {
                self.actions.push(Action::Store { write_id, state });
            }
            ConsensusAction::Deliver { revision, state, .. } => self.activate_config(revision, &state),
            ConsensusAction::Committed { change_id, .. } => {
                if let Some(usage) = &mut self.usage {
                    usage.proposal_committed(change_id);
                }
                if let Some(evidence) = evidence {
                    self.finish_proposed(change_id, evidence);
                }
            }
            ConsensusAction::Rejected { change_id } => {
                let now = self.now();
                self.changes.requeue_rejected(now, change_id);
                if let Some(usage) = &mut self.usage {
                    usage.proposal_rejected(now, change_id);
                }
            }
            ConsensusAction::ViewActivated { view } => self.view_activated(&view),
            ConsensusAction::ReadIndexConfirmed { read_index } => {
                if let Some(evidence) = evidence
                    && let Some(waiter) = self.read_indexes.complete(read_index)
                {
                    self.quorum_confirmed(waiter, evidence);
                }
            }
            ConsensusAction::ViewLeft => {
                if let Some(usage) = &mut self.usage {
                    usage.reporter.view_left();
                    usage.abandon_proposal();
                }
                self.actions.log(
                    Level::Warn,
                    component::CONSENSUS,
                    "this controller has left the view; rejoining",
                );
            }
            ConsensusAction::IdentityReplaced { .. } => self.identity_replaced(),
            // `ConsensusDriver::poll_action` handles this action and never returns it.
            ConsensusAction::Wake { .. } => {}
        }
    }

    fn finish_proposed(&mut self, change_id: u64, evidence: QuorumEvidence) {
        for origin in self.changes.take_proposed(change_id) {
            self.finish_change(origin, ChangeOutcome::Committed(evidence));
        }
    }

    fn view_activated(&mut self, view: &View) {
        let members: Vec<String> = view.members.iter().map(|member| member.addr.ip().to_string()).collect();
        let text = format!("view {} is active with members {}", view.number.0, members.join(", "));
        self.actions.log(Level::Info, component::CONSENSUS, text);
        let now = self.now();
        self.changes.requeue_all_proposed(now);
        if let Some(usage) = &mut self.usage {
            let is_leader = view.members.first().is_some_and(|leader| leader.addr == self.settings.addr);
            usage.reporter.view_activated(now, view.number.0, is_leader);
            usage.abandon_proposal();
        }
        view.members.iter().for_each(|member| self.add_peer(member.addr));
        self.ownership.mark_stale();
    }

    /// Discards the active configuration with its history, because the consensus member continues with a new identity
    /// and an empty state. Otherwise a retry could be acknowledged from a history that an operator has discarded.
    fn identity_replaced(&mut self) {
        self.active_config = ActiveConfig::empty();
        self.is_newest_state_unreadable = false;
        if let Some(usage) = &mut self.usage {
            usage.reporter.view_left();
            usage.abandon_proposal();
            usage.record_committed(None);
        }
        let text = "joining as a new member: the disk holds an outdated state, or a forced view excluded it";
        self.actions.log(Level::Warn, component::CONSENSUS, text);
    }
}
