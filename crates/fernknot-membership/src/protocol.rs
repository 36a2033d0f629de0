//! Public API of the state machine: inputs from the host, actions for the host, and queries of the view.

use crate::action::Action;
use crate::identity::{Incarnation, RouterId};
use crate::local_health::LocalHealth;
use crate::local_router::LocalRouter;
use crate::member::Member;
use crate::member_table::MemberTable;
use crate::message::{MessageBody, RejectReason};
use crate::outbox::Outbox;
use crate::probe::Probes;
use crate::probe_targets::ProbeTargets;
use crate::report::MemberReport;
use crate::settings::MembershipSettings;
use crate::state::ProtocolState;
use crate::update_queue::UpdateQueue;
use crate::{prober, receiver, sender};
use fernknot::interface::Nanos;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};

/// Number of datagrams within the rate limit that gossip leaves to probes and acknowledgements.
const GOSSIP_RESERVE_DATAGRAMS: f64 = 2.0;

/// Number of live and of configured routers, including the local one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveCount {
    /// Number of routers that are alive or only suspected.
    pub live: usize,
    /// Number of configured routers.
    pub total: usize,
}

/// One router's view of the other routers' liveness, and the protocol that keeps it up to date.
pub struct MembershipProtocol {
    state: ProtocolState,
}

impl MembershipProtocol {
    /// Creates the protocol of a router that has just started.
    ///
    /// `seed` and the local id determine all random choices. `name_hash` is a hash of the router's configured name,
    /// `started_ms` the wall clock at the start in milliseconds, and `routers` the list of all routers, in which the
    /// local one is ignored. `now`, here and elsewhere, is the host's monotonic clock.
    pub fn new(
        seed: u64,
        settings: MembershipSettings,
        local: RouterId,
        name_hash: u32,
        started_ms: u64,
        routers: impl IntoIterator<Item = RouterId>,
        now: Nanos,
    ) -> MembershipProtocol {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ u64::from(local.0));
        // Random within the first period, so that routers that start together do not probe in lockstep.
        let first_turn = now + settings.probe_period.times(rng.random());
        let state = ProtocolState {
            settings,
            local: LocalRouter::new(local, name_hash, started_ms),
            members: MemberTable::default(),
            health: LocalHealth::new(&settings, now, first_turn),
            targets: ProbeTargets::new(&settings, first_turn),
            probes: Probes::default(),
            updates: UpdateQueue::default(),
            outbox: Outbox::new(settings.datagrams_per_s, now),
            actions: VecDeque::new(),
            next_gossip: first_turn,
            rng,
        };
        let mut protocol = MembershipProtocol { state };
        protocol.set_routers(now, routers);
        protocol
    }

    // ---- Inputs ----------------------------------------------------------------------------

    /// Replaces the list of all routers after a configuration change. The local router is ignored.
    pub fn set_routers(&mut self, now: Nanos, routers: impl IntoIterator<Item = RouterId>) {
        let local = self.state.local.id;
        let others: BTreeSet<RouterId> = routers.into_iter().filter(|id| *id != local).collect();
        self.state.set_routers(now, &others);
    }

    /// Begins an iteration of the host's event loop. After a stall, during which nothing could be received, the router
    /// first receives for two probe periods before it suspects anybody.
    pub fn wake(&mut self, now: Nanos) {
        let state = &mut self.state;
        let late_by = state.health.begin_iteration(now);
        if !state.settings.is_full() || late_by < state.settings.stall_threshold() {
            return;
        }
        state.health.degrade();
        state.probes.current = None;
        state.health.recover_from_stall_until(now + state.settings.stall_recovery_time());
        state.targets.schedule_next_turn(&state.settings, now);
        state.members.restart_suspicions(now);
    }

    /// Processes a datagram; `from` is `None` if the sender's address is not on the list.
    ///
    /// # Errors
    ///
    /// Returns the [`RejectReason`] of a rejected datagram, which has no effect on the state.
    pub fn receive(&mut self, now: Nanos, from: Option<RouterId>, bytes: &[u8]) -> Result<(), RejectReason> {
        receiver::receive(&mut self.state, now, from, bytes)
    }

    /// Announces that the local router shuts down.
    pub fn leave(&mut self, now: Nanos) {
        self.state.leave(now);
    }

    // ---- Actions ---------------------------------------------------------------------------

    /// Time of the next call of [`wake`](Self::wake) if no datagram arrives before.
    pub fn next_wakeup(&self) -> Nanos {
        let state = &self.state;
        let mut at = prober::next_step_at(state);
        if state.updates.has_fresh() {
            at = at.min(state.next_gossip.max(state.outbox.may_send_at(GOSSIP_RESERVE_DATAGRAMS)));
        }
        if !state.outbox.is_empty() {
            at = at.min(state.outbox.may_send_at(0.0));
        }
        if let Some(deadline) = state.next_suspicion_deadline() {
            at = at.min(deadline);
        }
        at.max(state.health.last_iteration_at() + Nanos(1))
    }

    /// Returns the next action, or `None` when nothing is left to do at `now`.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        loop {
            if let Some(action) = self.state.actions.pop_front() {
                return Some(action);
            }
            if let Some(action) = self.send_pending(now) {
                return Some(action);
            }
            if self.state.confirm_failures(now) {
                continue;
            }
            if let Some(probe) = prober::advance(&mut self.state, now) {
                let body = MessageBody::Ping { number: probe.number };
                return Some(sender::send(&mut self.state, now, probe.target, body));
            }
            if !self.state.actions.is_empty() || self.may_send_pending(now) {
                continue;
            }
            if let Some(action) = self.gossip(now) {
                return Some(action);
            }
            let next_wakeup = self.next_wakeup();
            self.state.health.expect_wakeup(next_wakeup);
            return None;
        }
    }

    fn may_send_pending(&mut self, now: Nanos) -> bool {
        !self.state.outbox.is_empty() && self.state.outbox.may_send(now, 0.0)
    }

    fn send_pending(&mut self, now: Nanos) -> Option<Action> {
        if !self.may_send_pending(now) {
            return None;
        }
        let (to, body) = self.state.outbox.pop()?;
        Some(sender::send(&mut self.state, now, to, body))
    }

    /// Sends fresh updates without waiting for a protocol message: once per probe period, to a random live router.
    fn gossip(&mut self, now: Nanos) -> Option<Action> {
        let state = &mut self.state;
        let is_due = state.updates.has_fresh() && now >= state.next_gossip;
        if !is_due || !state.outbox.may_send(now, GOSSIP_RESERVE_DATAGRAMS) {
            return None;
        }
        state.next_gossip = now + state.settings.probe_period;
        let to = *state.members.live_ids().choose(&mut state.rng)?;
        Some(sender::send(state, now, to, MessageBody::Gossip))
    }

    // ---- View ------------------------------------------------------------------------------

    /// Identifier of the local router.
    pub fn local_id(&self) -> RouterId {
        self.state.local.id
    }

    /// Incarnation of the local router.
    pub fn incarnation(&self) -> Incarnation {
        self.state.local.incarnation
    }

    /// Whether the local router left because another process of the same name started earlier.
    pub fn has_yielded(&self) -> bool {
        self.state.local.has_yielded
    }

    /// Whether the local router announced that it leaves.
    pub fn has_left(&self) -> bool {
        self.state.local.has_left
    }

    /// Lifeguard's local health score, from 0 (healthy) to 8.
    pub fn health_score(&self) -> u32 {
        self.state.health.score()
    }

    /// All other routers, in ascending order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.state.members.iter()
    }

    /// Another router of the list.
    pub fn member(&self, id: RouterId) -> Option<&Member> {
        self.state.members.get(id)
    }

    /// View for operators: all other routers, in ascending order of their ids.
    pub fn member_reports(&self, now: Nanos) -> Vec<MemberReport> {
        self.members().map(|member| MemberReport::new(member, now)).collect()
    }

    /// Number of live and of configured routers, including the local one.
    pub fn live_count(&self) -> LiveCount {
        LiveCount {
            live: self.state.members.live_count() + usize::from(!self.state.local.has_left),
            total: self.state.router_count(),
        }
    }

    /// Whether no message of any other router has arrived for longer than the isolation time-out of three probe
    /// periods, which poor local health lengthens.
    pub fn is_isolated(&self, now: Nanos) -> bool {
        self.state.is_isolated(now)
    }

    /// Whether more than half of the configured routers are live and the local router is not isolated.
    pub fn has_majority(&self, now: Nanos) -> bool {
        let count = self.live_count();
        2 * count.live > count.total && !self.is_isolated(now)
    }

    /// Whether the view is not yet reliable: less than 15 probe periods after a start, or two after a stall of the
    /// host.
    pub fn is_settling(&self, now: Nanos) -> bool {
        self.state.health.has_just_started(&self.state.settings, now)
            || self.state.health.is_recovering_from_stall(now)
    }

    /// Number of routers that share the customers' quotas: the live ones. Without a majority, or with a view that is
    /// still settling, all configured ones, so that the two sides of a partition do not each use the full quota.
    pub fn quota_sharers(&self, now: Nanos) -> usize {
        let count = self.live_count();
        if self.is_settling(now) || !self.has_majority(now) { count.total } else { count.live.max(1) }
    }
}
