//! Composition of datagrams: a protocol message and the updates piggybacked on it.

use crate::action::Action;
use crate::identity::RouterId;
use crate::member::Member;
use crate::message::{MESSAGE_VERSION, Message, MessageBody, Update};
use crate::state::ProtocolState;
use fernknot::interface::Nanos;
use rand::Rng;

/// Number of updates, besides the mandatory ones, to which a message is filled before it is truncated to the size of a
/// datagram.
const MAX_UPDATES_PER_DATAGRAM: usize = 18;

/// Composes a datagram and counts it and its updates as sent.
pub(crate) fn send(state: &mut ProtocolState, now: Nanos, to: RouterId, body: MessageBody) -> Action {
    state.outbox.count_sent(now);
    let mut updates = mandatory_updates(state, to);
    let mandatory = updates.len();
    let queued = queued_updates(state, to);
    updates.extend(queued.iter().filter_map(|id| update_of(state, *id)));
    add_random_members(state, now, to, &mut updates);
    let mut message = Message {
        version: MESSAGE_VERSION,
        name_hash: state.local.name_hash,
        started_ms: state.local.started_ms,
        incarnation: state.local.incarnation,
        body,
        updates,
    };
    let (bytes, encoded_updates) = message.encode(state.settings.max_datagram_bytes);
    mark_sent(state, &queued, encoded_updates.saturating_sub(mandatory));
    Action::Send { to, bytes }
}

/// Returns the local router's own departure, and the receiver's status if it differs from the receiver's own claim,
/// because only the receiver can refute it.
fn mandatory_updates(state: &ProtocolState, to: RouterId) -> Vec<Update> {
    let departure = state.local.has_left.then(|| state.local.update());
    let receiver = state.members.get(to);
    let disputed =
        receiver.filter(|member| member.last_received.is_some() && !member.agrees_with_own_claim());
    departure.into_iter().chain(disputed.map(Member::update)).collect()
}

/// Returns the next routers of the queue, without those whose update is already in the message.
fn queued_updates(state: &ProtocolState, to: RouterId) -> Vec<RouterId> {
    let is_departure = |id: RouterId| state.local.has_left && id == state.local.id;
    let picked = state.updates.pick(MAX_UPDATES_PER_DATAGRAM);
    picked.into_iter().filter(|id| *id != to && !is_departure(*id)).collect()
}

fn update_of(state: &ProtocolState, id: RouterId) -> Option<Update> {
    if id == state.local.id { Some(state.local.update()) } else { state.members.get(id).map(Member::update) }
}

/// Adds random live members for a receiver that has just started and does not know the others yet.
fn add_random_members(state: &mut ProtocolState, now: Nanos, to: RouterId, updates: &mut Vec<Update>) {
    let window = state.settings.settling_time();
    let is_new = state.members.get(to).is_some_and(|member| member.has_just_started(now, window));
    if !state.settings.is_full() || !is_new {
        return;
    }
    let ring = state.targets.ring();
    for _ in updates.len()..MAX_UPDATES_PER_DATAGRAM.min(ring.len()) {
        let id = ring[state.rng.random_range(0..ring.len())];
        let live = state.members.get(id).filter(|member| member.state.is_live() && id != to);
        updates.extend(live.map(Member::update));
    }
}

/// Counts one send of each queued update that fitted into the datagram, and of the departure, which every message
/// contains once the local router has left.
fn mark_sent(state: &mut ProtocolState, queued: &[RouterId], fitted: usize) {
    let routers = state.router_count();
    for id in queued.iter().take(fitted) {
        state.updates.mark_sent(*id, routers);
    }
    if state.local.has_left {
        state.updates.mark_sent(state.local.id, routers);
    }
}
