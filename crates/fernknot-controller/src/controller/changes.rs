//! Handling of configuration changes, from the call to the outcome.

use super::state::Controller;
use crate::action::SubscriberId;
use crate::calls::{ChangeOutcome, ReplaceConfig, status};
use crate::change::{ForwardedCallId, RequestOrigin};
use crate::counters as counter;
use crate::evidence::QuorumEvidence;
use crate::pending_changes::Leadership;
use crate::read_index::QuorumWaiter;
use crate::seeded_bug::SeededBug;
use fernknot::interface::Nanos;
use fernknot_consensus::Revision;
use fernknot_rpc::{ControllerMessage, ControllerToGateway};
use fernknot_schema::{SystemConfig, json_digest};
use fernknot_telemetry::component;
use log::Level;
use std::net::SocketAddrV4;

/// Time limit for the outcome of a call, known or unknown: operators try another controller after a second without a
/// reply.
pub(super) const CALL_TIMEOUT: Nanos = Nanos(800_000_000);
/// Time limit of a forwarded change at the leader, as a share of [`CALL_TIMEOUT`].
const LEADER_TIMEOUT_SHARE: f64 = 0.9;
/// Reason in the reply if too many changes are pending.
const BACKLOG_REASON: &str = "too many changes at once";

impl Controller {
    /// Admits a change. Returns its outcome if that is known at once.
    pub(super) fn admit_change(
        &mut self,
        origin: RequestOrigin,
        request: ReplaceConfig,
        timeout: Nanos,
    ) -> Option<ChangeOutcome> {
        let now = self.now();
        let admitted = self.changes.admit(now, origin, request, now + timeout);
        (!admitted).then_some(ChangeOutcome::Unknown(BACKLOG_REASON))
    }

    /// Admits a change that another controller forwarded. The configuration is validated again, because a message may
    /// be corrupted in ways that the transport's checksums do not detect, and only a valid configuration may be
    /// proposed.
    pub(super) fn admit_forwarded_change(
        &mut self,
        from: SocketAddrV4,
        call: ForwardedCallId,
        base_epoch: u64,
        body: Vec<u8>,
    ) {
        let origin = RequestOrigin::Peer(from, call);
        let outcome = match SystemConfig::parse(&body, &self.settings.digest_key) {
            Ok(config) => {
                let request = ReplaceConfig {
                    base_epoch,
                    epoch: config.routing.epoch,
                    digest: json_digest(&body),
                    body,
                };
                self.admit_change(origin, request, CALL_TIMEOUT.times(LEADER_TIMEOUT_SHARE))
            }
            Err(_) => Some(ChangeOutcome::Unknown("garbled on its way to the leader")),
        };
        if let Some(outcome) = outcome {
            self.finish_change(origin, outcome);
        }
    }

    /// Handles the leader's reply to a change that this controller forwarded.
    pub(super) fn handle_change_outcome(
        &mut self,
        from: SocketAddrV4,
        call: ForwardedCallId,
        reply_status: u16,
        reason: String,
    ) {
        let is_current_incarnation = call.incarnation == self.settings.seed
            || self.seeded_bug == Some(SeededBug::AcceptAnyIncarnation);
        if !is_current_incarnation {
            return;
        }
        if let Some(origin) = self.changes.leader_replied(self.now(), from, call.call, reply_status) {
            let evidence = QuorumEvidence::from_peer();
            self.finish_change(origin, ChangeOutcome::from_status(reply_status, reason, evidence));
        }
    }

    /// Sends the outcome of a change to its origin.
    pub(super) fn finish_change(&mut self, origin: RequestOrigin, outcome: ChangeOutcome) {
        let (reply_status, reason) = outcome.status_and_reason();
        match reply_status {
            status::OK => self.counters.add(counter::CHANGES_COMMITTED, 1),
            status::SERVICE_UNAVAILABLE => {}
            _ => {
                self.counters.add(counter::CHANGES_REJECTED, 1);
                let text = format!("rejected a configuration change with status {reply_status}: {reason}");
                self.actions.log(Level::Info, component::ROUTING_CONFIG, text);
            }
        }
        match origin {
            RequestOrigin::Caller(call) => self.actions.reply(call, outcome),
            RequestOrigin::Peer(to, ForwardedCallId { incarnation, call }) => {
                let status = reply_status;
                self.send_to_peer(to, ControllerMessage::ChangeOutcome { incarnation, call, status, reason });
            }
        }
    }

    pub(super) fn resolve_confirmed_change(&mut self, id: u64, evidence: QuorumEvidence) {
        let resolved = self.changes.resolve_confirmed(id, &self.active_config.state, evidence);
        if let Some((origin, outcome)) = resolved {
            self.finish_change(origin, outcome);
        }
    }

    /// Advances every queued change by one step where possible, and carries out the resulting steps.
    pub(super) fn advance_changes(&mut self) {
        if !self.consensus.is_started() {
            return;
        }
        let now = self.now();
        let leadership = self.leadership();
        self.changes.requeue_unless_forwarded_to(leadership.remote);
        let steps = self.changes.advance(now, &self.active_config, leadership, self.settings.seed);
        for (origin, outcome) in steps.finished {
            self.finish_change(origin, outcome);
        }
        for (leader, message) in steps.forwarded {
            self.send_to_peer(leader, message);
        }
        for (id, deadline) in steps.awaiting_quorum {
            if !self.request_read_index(QuorumWaiter::ConfigChange(id), deadline - now) {
                self.changes.requeue(now, id);
            }
        }
        if let Some(proposal) = steps.proposal {
            self.consensus.propose(now, proposal.change_id, proposal.base, proposal.state);
        }
    }

    fn leadership(&self) -> Leadership {
        let leader = self.consensus.leader().map(|leader| leader.addr);
        let remote =
            leader.filter(|leader| *leader != self.settings.addr && self.peers.is_connected(*leader));
        let is_proposing = self.usage.as_ref().is_some_and(|usage| usage.is_proposing(self.now()));
        Leadership { is_local: self.consensus.is_leader(), remote, is_proposing }
    }

    /// Activates a state that the consensus member delivered: finishes the changes that it lists as committed, and
    /// sends it to the subscribers that lack it. A state that can't be parsed is logged, and ends the lease until one can.
    pub(super) fn activate_config(&mut self, revision: Revision, state: &[u8]) {
        let successor = self.active_config.successor(revision, state, &self.settings.digest_key);
        self.is_newest_state_unreadable = successor.is_err();
        let config = match successor {
            Ok(config) => config,
            Err(error) => {
                return self.actions.log(Level::Error, component::ROUTING_CONFIG, error.to_string());
            }
        };
        if config.state.epoch != self.active_config.state.epoch {
            let text = format!(
                "configuration version {} is active, {} routes",
                config.state.epoch,
                config.route_count()
            );
            self.actions.log(Level::Info, component::ROUTING_CONFIG, text);
        }
        let previous = std::mem::replace(&mut self.active_config, config);
        self.activate_usage(previous.usage.as_ref());
        for (origin, evidence) in self.changes.take_committed(&self.active_config.state) {
            self.finish_change(origin, ChangeOutcome::Committed(evidence));
        }
        let behind = self.subscribers.behind(self.active_config.config_revision);
        self.send_config(behind);
    }

    /// Sends the active configuration to these subscribers, if there is one.
    pub(super) fn send_config(&mut self, to: Vec<SubscriberId>) {
        if to.is_empty() {
            return;
        }
        let Some(config) = self.active_config.config.clone() else { return };
        let revision = self.active_config.config_revision;
        self.subscribers.mark_sent(&to, revision);
        let SystemConfig { routing: config, access } = config;
        self.actions.notify(
            to,
            match access {
                None => ControllerToGateway::Config { revision, config },
                Some(access) => ControllerToGateway::ConfigWithAccessControl { revision, config, access },
            },
        );
    }
}
