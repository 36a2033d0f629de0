//! Failure detector: direct probes, indirect probes through other routers (relays), and the evaluation of unanswered
//! ones.

use crate::identity::RouterId;
use crate::link::LinkState;
use crate::member::Member;
use crate::message::MessageBody;
use crate::probe::Probe;
use crate::settings::INDIRECT_PROBES;
use crate::state::ProtocolState;
use crate::status::Status;
use fernknot::interface::Nanos;
use rand::seq::SliceRandom;

/// Direct probe to send.
pub(crate) struct DirectProbe {
    /// Router to ping.
    pub target: RouterId,
    /// Probe number.
    pub number: u32,
}

/// Continues the probe in progress, or begins the next one if it is due.
pub(crate) fn advance(state: &mut ProtocolState, now: Nanos) -> Option<DirectProbe> {
    match state.probes.current.clone() {
        Some(probe) => {
            continue_probe(state, now, &probe);
            None
        }
        None => begin_probe(state, now),
    }
}

/// Time of the next step of [`advance`]. Once the local router has left and no probe is in progress, there is none, and
/// the time is the maximum.
pub(crate) fn next_step_at(state: &ProtocolState) -> Nanos {
    let may_send_at = state.outbox.may_send_at(0.0);
    match &state.probes.current {
        Some(probe) if probe.relays_asked == 0 => indirect_probe_at(state, probe).max(may_send_at),
        Some(probe) => probe_deadline(state, probe),
        None if state.local.has_left => Nanos(u64::MAX),
        None => state.targets.next_turn().max(may_send_at),
    }
}

/// Time at which an unacknowledged probe is retried through relays.
fn indirect_probe_at(state: &ProtocolState, probe: &Probe) -> Nanos {
    probe.sent_at + state.health.lengthen(state.settings.direct_probe_timeout())
}

fn probe_deadline(state: &ProtocolState, probe: &Probe) -> Nanos {
    probe.sent_at + state.health.lengthen(state.settings.probe_period)
}

fn continue_probe(state: &mut ProtocolState, now: Nanos, probe: &Probe) {
    if probe.relays_asked == 0 && now >= indirect_probe_at(state, probe) {
        // Waits until the requests can be sent; pending ones would use up the probe's time-out.
        if state.outbox.may_send(now, 0.0) {
            probe_indirectly(state, probe);
        }
    } else if now >= probe_deadline(state, probe) {
        state.probes.current = None;
        evaluate_probe(state, now, probe);
    }
}

fn begin_probe(state: &mut ProtocolState, now: Nanos) -> Option<DirectProbe> {
    if state.local.has_left || now < state.targets.next_turn() || !state.outbox.may_send(now, 0.0) {
        return None;
    }
    state.targets.schedule_next_turn(&state.settings, now);
    let target = state.targets.pick(&state.settings, now, &state.members, &mut state.rng)?;
    let number = state.probes.start(target, now);
    Some(DirectProbe { target, number })
}

/// Asks other routers to probe the target, and probes it directly once more in case a single datagram was lost.
fn probe_indirectly(state: &mut ProtocolState, probe: &Probe) {
    let relays = pick_relays(state, probe);
    if let Some(current) = &mut state.probes.current {
        // At least 1, so that the probe also reaches its next phase without relays.
        current.relays_asked = relays.len().max(1);
    }
    for relay in relays {
        let request = MessageBody::PingRequest { number: probe.number, target: probe.target };
        state.outbox.push(relay, request);
    }
    state.outbox.push(probe.target, MessageBody::Ping { number: probe.number });
}

/// Picks live routers at random, those with recent messages first: in a mass failure, other routers that still count as
/// live may have failed as well.
fn pick_relays(state: &mut ProtocolState, probe: &Probe) -> Vec<RouterId> {
    let earliest = probe.sent_at - state.settings.isolation_timeout();
    let is_silent = |member: &Member| member.last_received.is_none_or(|at| at < earliest);
    let is_candidate = |member: &&Member| member.state.is_live() && member.id != probe.target;
    let candidates = state.members.iter().filter(is_candidate);
    let mut relays: Vec<(bool, RouterId)> = candidates.map(|member| (is_silent(member), member.id)).collect();
    relays.shuffle(&mut state.rng);
    relays.sort_by_key(|(is_silent, _)| *is_silent);
    relays.truncate(INDIRECT_PROBES);
    relays.into_iter().map(|(_, id)| id).collect()
}

/// Evaluates a probe that was not acknowledged directly.
fn evaluate_probe(state: &mut ProtocolState, now: Nanos, probe: &Probe) {
    let Some(member) = state.members.get(probe.target) else { return };
    if let Some(link) = observed_link(state, now, probe, member) {
        if let Some(member) = state.members.get_mut(probe.target) {
            member.link.observe(link);
        }
        return;
    }
    let known = member.state;
    // If no relay responds, the fault is probably local: the local router may still receive from others while its own
    // datagrams are lost.
    let no_relay_responded = probe.relays_responding == 0 && probe.relays_asked > 1;
    if no_relay_responded {
        state.health.degrade();
    }
    let is_evidence =
        !state.settings.is_full() || state.health.received_since(probe.sent_at) && !no_relay_responded;
    let may_be_starting = !known.is_known() && state.health.has_just_started(&state.settings, now);
    let is_gone = matches!(known.status, Status::Failed | Status::Left);
    if !state.may_accuse(now) || !is_evidence || may_be_starting || is_gone {
        return;
    }
    let is_second_failure = record_failed_probe(state, now, probe.target);
    if state.settings.is_full() && !is_second_failure && known.status == Status::Alive {
        state.targets.set_urgent_target(probe.target);
        return;
    }
    let suspected = known.with_status(Status::Suspected { round: known.status.suspicion_round() });
    state.learn(now, probe.target, suspected, state.local_cause(now));
}

/// Link state shown by a probe that was not acknowledged directly, if a relayed acknowledgement or another message
/// proves that the target is running; otherwise `None`.
fn observed_link(state: &ProtocolState, now: Nanos, probe: &Probe, member: &Member) -> Option<LinkState> {
    let received_since = |since: Nanos| member.last_received.is_some_and(|at| at >= since);
    match probe.relayed_ack {
        Some(true) => Some(LinkState::OutboundOnly),
        Some(false) => {
            let received_recently =
                member.last_received.is_some_and(|at| at + state.settings.settling_time() >= now);
            Some(if received_recently { LinkState::InboundOnly } else { LinkState::Disconnected })
        }
        None => (state.settings.is_full() && received_since(probe.sent_at)).then_some(LinkState::InboundOnly),
    }
}

/// Records a failed probe, and returns whether another probe of the target failed within the last six probe periods. A
/// single failure is only retried: a suspicion for every few lost datagrams would produce more updates than a large
/// fleet can disseminate.
fn record_failed_probe(state: &mut ProtocolState, now: Nanos, target: RouterId) -> bool {
    let earliest = now - state.settings.second_failure_window();
    let member = state.members.get_mut(target);
    member.is_some_and(|member| member.last_failed_probe.replace(now) >= Some(earliest))
}
