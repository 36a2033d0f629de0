//! Processing of received datagrams: evidence about the sender, updates, and the protocol message.

use crate::action::Action;
use crate::cause::{Cause, EvidenceSource};
use crate::identity::RouterId;
use crate::link::LinkState;
use crate::message::{Message, MessageBody, RejectReason, Update};
use crate::state::ProtocolState;
use crate::status::{Status, VersionedStatus};
use fernknot::interface::Nanos;

/// Processes a datagram; `from` is `None` if the sender's address is not on the list.
pub(crate) fn receive(
    state: &mut ProtocolState,
    now: Nanos,
    from: Option<RouterId>,
    bytes: &[u8],
) -> Result<(), RejectReason> {
    let from = from.filter(|id| state.members.contains(*id)).ok_or(RejectReason::UnknownSender)?;
    let message = Message::decode(bytes)?;
    state.health.message_received(now);
    state.members.message_received(now, from, &message);
    check_name(state, now, from, &message);
    learn_from_sender(state, now, from, &message);
    restart_suspicion(state, now, from);
    for update in &message.updates {
        apply_update(state, now, from, update);
    }
    answer(state, now, from, message.body);
    Ok(())
}

/// Detects another process with the local router's name. If the local router started later, or at the same time with a
/// higher id, it leaves.
fn check_name(state: &mut ProtocolState, now: Nanos, from: RouterId, message: &Message) {
    if message.name_hash != state.local.name_hash || state.local.has_yielded {
        return;
    }
    let yields = state.local.yields_to(from, message.started_ms);
    state.actions.push_back(Action::DuplicateName { other: from, yields });
    if yields {
        state.local.has_yielded = true;
        state.leave(now);
    }
}

/// Records that the sender is alive in the incarnation that it claims.
fn learn_from_sender(state: &mut ProtocolState, now: Nanos, from: RouterId, message: &Message) {
    let cause = Cause { reporter: from, learned_at: now, source: EvidenceSource::Member };
    state.learn(now, from, VersionedStatus::alive(message.incarnation), cause);
}

/// Starts the next round of a suspicion, for all routers, when the suspected router sends a message. A router that can
/// send but not receive is therefore not confirmed as failed.
fn restart_suspicion(state: &mut ProtocolState, now: Nanos, from: RouterId) {
    let Some(member) = state.members.get(from) else { return };
    let Status::Suspected { round } = member.state.status else { return };
    let is_old = now - member.suspected_at >= state.settings.probe_period;
    if state.settings.is_full() && is_old && round < u8::MAX {
        let next_round = member.state.with_status(Status::Suspected { round: round + 1 });
        state.learn(now, from, next_round, state.local_cause(now));
    }
}

fn apply_update(state: &mut ProtocolState, now: Nanos, from: RouterId, update: &Update) {
    if update.member == state.local.id {
        return refute(state, update.state, update.reporter.unwrap_or(from));
    }
    let is_from_member = update.is_own_claim() && update.member == from;
    let source = if is_from_member { EvidenceSource::Member } else { EvidenceSource::Relayed(from) };
    let cause = Cause { reporter: update.reporter.unwrap_or(update.member), learned_at: now, source };
    state.learn(now, update.member, update.state, cause);
}

/// Adopts a new incarnation if the report overrides the local router's own claim. Repetitions of the report have no
/// further effect, as the incarnation is then higher.
fn refute(state: &mut ProtocolState, reported: VersionedStatus, accuser: RouterId) {
    if !state.local.refute(reported) {
        return;
    }
    state.updates.add(state.local.id);
    if reported.status != Status::Alive {
        state.health.degrade();
    }
    state.actions.push_back(Action::Refuted { accuser, incarnation: state.local.incarnation });
}

fn answer(state: &mut ProtocolState, now: Nanos, from: RouterId, body: MessageBody) {
    match body {
        MessageBody::Ping { number } => state.outbox.push(from, MessageBody::Ack { number }),
        MessageBody::Ack { number } => acknowledge(state, from, number),
        MessageBody::PingRequest { number, target } => relay_probe(state, from, number, target),
        MessageBody::IndirectPing { number, requester } => {
            answer_indirect_ping(state, now, from, number, requester);
        }
        MessageBody::IndirectAck { number, hears_requester, .. } => {
            forward_acknowledgement(state, number, hears_requester);
        }
        MessageBody::RelayedAck { number, hears_requester } => {
            record_relayed_acknowledgement(state, number, hears_requester);
        }
        MessageBody::PingRequestAck { number } => record_responding_relay(state, number),
        MessageBody::Gossip => answer_gossip(state, from),
    }
}

fn acknowledge(state: &mut ProtocolState, from: RouterId, number: u32) {
    if !state.probes.acknowledge(from, number) {
        return;
    }
    state.health.improve();
    if let Some(member) = state.members.get_mut(from) {
        member.link.observe(LinkState::Bidirectional);
    }
}

fn relay_probe(state: &mut ProtocolState, requester: RouterId, requester_number: u32, target: RouterId) {
    state.outbox.push(requester, MessageBody::PingRequestAck { number: requester_number });
    if state.members.contains(target) {
        let number = state.probes.add_relayed(requester, requester_number);
        state.outbox.push(target, MessageBody::IndirectPing { number, requester });
    }
}

fn answer_indirect_ping(
    state: &mut ProtocolState,
    now: Nanos,
    from: RouterId,
    number: u32,
    requester: RouterId,
) {
    let since = now - state.settings.recent_receipt_window();
    let last_received = state.members.get(requester).and_then(|member| member.last_received);
    let hears_requester = last_received.is_some_and(|at| at >= since);
    state.outbox.push(from, MessageBody::IndirectAck { number, requester, hears_requester });
}

fn forward_acknowledgement(state: &mut ProtocolState, number: u32, hears_requester: bool) {
    if let Some((requester, number)) = state.probes.take_relayed(number) {
        state.outbox.push(requester, MessageBody::RelayedAck { number, hears_requester });
    }
}

fn record_relayed_acknowledgement(state: &mut ProtocolState, number: u32, hears_requester: bool) {
    if let Some(probe) = state.probes.current_mut(number) {
        probe.relayed_ack = Some(hears_requester || probe.relayed_ack == Some(true));
    }
}

fn record_responding_relay(state: &mut ProtocolState, number: u32) {
    if let Some(probe) = state.probes.current_mut(number) {
        probe.relays_responding += 1;
    }
}

/// Answers a router that counts as failed: it can refute that only once it learns of it, and every message to it
/// carries its status.
fn answer_gossip(state: &mut ProtocolState, from: RouterId) {
    if state.members.get(from).is_some_and(|member| member.is_failed()) {
        state.outbox.push(from, MessageBody::Gossip);
    }
}
