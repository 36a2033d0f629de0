//! Router under test, and messages of other routers.

#![allow(dead_code, reason = "each test binary uses some of it")]

use fernknot::interface::Nanos;
use fernknot_membership::*;

pub const PROBE_PERIOD_NANOS: u64 = 100_000_000;
pub const SETTINGS: MembershipSettings = MembershipSettings {
    probe_period: Nanos(PROBE_PERIOD_NANOS),
    datagrams_per_s: 100.0,
    max_datagram_bytes: 256,
    variant: Variant::Full,
};

/// Starts the router `local` in a fleet of `routers`.
pub fn start_router(local: u32, routers: u32) -> MembershipProtocol {
    let all = (0..routers).map(RouterId);
    MembershipProtocol::new(7, SETTINGS, RouterId(local), name_hash(local), 5_000, all, Nanos(0))
}

fn name_hash(router: u32) -> u32 {
    router + 100
}

/// Encodes a message of `from`, whose process started at 1,000 ms.
pub fn message(from: u32, incarnation: u64, body: MessageBody, updates: Vec<Update>) -> Vec<u8> {
    message_of_process(from, 1_000, incarnation, body, updates)
}

/// Encodes a message of `from`, whose process started at `started_ms`.
pub fn message_of_process(
    from: u32,
    started_ms: u64,
    incarnation: u64,
    body: MessageBody,
    updates: Vec<Update>,
) -> Vec<u8> {
    encode(name_hash(from), started_ms, incarnation, body, updates)
}

/// Encodes a message of a sender with this name hash.
pub fn encode(
    name_hash: u32,
    started_ms: u64,
    incarnation: u64,
    body: MessageBody,
    updates: Vec<Update>,
) -> Vec<u8> {
    let incarnation = Incarnation(incarnation);
    let mut message = Message { version: MESSAGE_VERSION, name_hash, started_ms, incarnation, body, updates };
    message.encode(SETTINGS.max_datagram_bytes).0
}

/// Encodes a gossip message of `from` at incarnation 9.
pub fn gossip(from: u32, updates: Vec<Update>) -> Vec<u8> {
    message(from, 9, MessageBody::Gossip, updates)
}

pub fn update(member: u32, incarnation: u64, status: Status, reporter: u32) -> Update {
    let state = VersionedStatus { incarnation: Incarnation(incarnation), status };
    Update { member: RouterId(member), state, reporter: Some(RouterId(reporter)) }
}

pub fn suspicion(member: u32, incarnation: u64, reporter: u32) -> Update {
    update(member, incarnation, Status::Suspected { round: 0 }, reporter)
}

/// Returns all actions that are due.
pub fn poll_actions(router: &mut MembershipProtocol, now: Nanos) -> Vec<Action> {
    std::iter::from_fn(|| router.poll_action(now)).collect()
}

/// Advances time by a number of probe periods, five wake-ups in each, and discards sent datagrams. Returns the new time
/// and all actions.
pub fn advance_time(router: &mut MembershipProtocol, from: Nanos, periods: u64) -> (Nanos, Vec<Action>) {
    let (mut now, mut actions) = (from, Vec::new());
    for _ in 0..periods * 5 {
        now = now + Nanos(PROBE_PERIOD_NANOS / 5);
        router.wake(now);
        actions.extend(poll_actions(router, now));
    }
    (now, actions)
}
