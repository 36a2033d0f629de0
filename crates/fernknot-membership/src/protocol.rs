//! The public face of the state machine: inputs from the host, actions for it, and questions about the view.

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

/// Datagrams that gossip leaves to probes and acknowledgements within the rate limit.
const GOSSIP_SPARE: f64 = 2.0;

/// Routers of the list, the local one among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveCount {
    /// Those that count as running.
    pub live: usize,
    /// All of them.
    pub total: usize,
}

/// One router's view of the other routers' liveness, and the protocol that keeps it up to date.
pub struct MembershipProtocol {
    state: ProtocolState,
}

impl MembershipProtocol {
    /// A router that has just started.
    ///
    /// `seed` and the local id determine all random choices. `name_hash` is a hash of the router's configured name,
    /// `started_ms` the wall clock at the start in milliseconds, and `routers` the list of all routers, in which the
    /// local one is passed over. `now`, here and elsewhere, is the host's monotonic clock.
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
        // At random within the first period, so that routers that start together do not probe in step.
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

    /// Takes the list of all routers, from a changed configuration. The local one is passed over.
    pub fn set_routers(&mut self, now: Nanos, routers: impl IntoIterator<Item = RouterId>) {
        let local = self.state.local.id;
        let others: BTreeSet<RouterId> = routers.into_iter().filter(|id| *id != local).collect();
        self.state.set_routers(now, &others);
    }

    /// A turn of the host's event loop begins. After a stall, in which nothing could be received, the router suspects
    /// nobody for what it missed, and listens first.
    pub fn wake(&mut self, now: Nanos) {
        let state = &mut self.state;
        let late_by = state.health.begin_turn(now);
        if !state.settings.is_full() || late_by < state.settings.stall_threshold() {
            return;
        }
        state.health.degrade();
        state.probes.current = None;
        state.health.listen_until(now + state.settings.listening_time());
        state.targets.schedule_next_turn(&state.settings, now);
        state.members.restart_suspicions(now);
    }

    /// Takes a datagram of another router; `from` is `None` where its address is not on the list.
    ///
    /// # Errors
    ///
    /// The datagram is rejected, and changes nothing, for any [`RejectReason`].
    pub fn receive(&mut self, now: Nanos, from: Option<RouterId>, bytes: &[u8]) -> Result<(), RejectReason> {
        receiver::receive(&mut self.state, now, from, bytes)
    }

    /// The local router shuts down, and announces that.
    pub fn leave(&mut self, now: Nanos) {
        self.state.leave(now);
    }

    // ---- Actions ---------------------------------------------------------------------------

    /// When to call [`wake`](Self::wake) next, if nothing is received before.
    pub fn next_wakeup(&self) -> Nanos {
        let state = &self.state;
        let mut at = prober::next_step_at(state);
        if state.updates.has_fresh() {
            at = at.min(state.next_gossip.max(state.outbox.may_send_at(GOSSIP_SPARE)));
        }
        if !state.outbox.is_empty() {
            at = at.min(state.outbox.may_send_at(0.0));
        }
        if let Some(deadline) = state.next_suspicion_deadline() {
            at = at.min(deadline);
        }
        at.max(state.health.last_turn() + Nanos(1))
    }

    /// The next action, until there is none.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        loop {
            if let Some(action) = self.state.actions.pop_front() {
                return Some(action);
            }
            if let Some(action) = self.send_waiting(now) {
                return Some(action);
            }
            if self.state.confirm_failures(now) {
                continue;
            }
            if let Some(probe) = prober::advance(&mut self.state, now) {
                let body = MessageBody::Ping { number: probe.number };
                return Some(sender::send(&mut self.state, now, probe.target, body));
            }
            if !self.state.actions.is_empty() || self.may_send_waiting(now) {
                continue;
            }
            if let Some(action) = self.gossip(now) {
                return Some(action);
            }
            let next_wakeup = self.next_wakeup();
            self.state.health.expect_turn(next_wakeup);
            return None;
        }
    }

    fn may_send_waiting(&mut self, now: Nanos) -> bool {
        !self.state.outbox.is_empty() && self.state.outbox.may_send(now, 0.0)
    }

    fn send_waiting(&mut self, now: Nanos) -> Option<Action> {
        if !self.may_send_waiting(now) {
            return None;
        }
        let (to, body) = self.state.outbox.pop()?;
        Some(sender::send(&mut self.state, now, to, body))
    }

    /// Fresh updates do not wait for a protocol message: once a period they go to a random live router.
    fn gossip(&mut self, now: Nanos) -> Option<Action> {
        let state = &mut self.state;
        let is_due = state.updates.has_fresh() && now >= state.next_gossip;
        if !is_due || !state.outbox.may_send(now, GOSSIP_SPARE) {
            return None;
        }
        state.next_gossip = now + state.settings.probe_period;
        let to = *state.members.live_ids().choose(&mut state.rng)?;
        Some(sender::send(state, now, to, MessageBody::Gossip))
    }

    // ---- The view --------------------------------------------------------------------------

    /// The local router.
    pub fn local_id(&self) -> RouterId {
        self.state.local.id
    }

    /// The local router's incarnation.
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

    /// Lifeguard's local health score, from 0 (good) to 8.
    pub fn health_score(&self) -> u32 {
        self.state.health.score()
    }

    /// All other routers, in the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.state.members.iter()
    }

    /// Another router of the list.
    pub fn member(&self, id: RouterId) -> Option<&Member> {
        self.state.members.get(id)
    }

    /// The view for operators: all other routers, in the order of their ids.
    pub fn member_reports(&self, now: Nanos) -> Vec<MemberReport> {
        self.members().map(|member| MemberReport::new(member, now)).collect()
    }

    /// How many routers count as running, the local one among them, and how many there are.
    pub fn live_count(&self) -> LiveCount {
        LiveCount {
            live: self.state.members.live() + usize::from(!self.state.local.has_left),
            total: self.state.router_count(),
        }
    }

    /// Whether nobody was heard for longer than poor local health explains.
    pub fn is_isolated(&self, now: Nanos) -> bool {
        self.state.is_isolated(now)
    }

    /// Whether more than half of the configured routers run and are within reach.
    pub fn has_majority(&self, now: Nanos) -> bool {
        let count = self.live_count();
        2 * count.live > count.total && !self.is_isolated(now)
    }

    /// Whether the view is not yet reliable, after a start or a stall.
    pub fn is_settling(&self, now: Nanos) -> bool {
        self.state.health.has_just_started(&self.state.settings, now) || self.state.health.is_listening(now)
    }

    /// Among how many routers to share limits that count for all of them together: the live ones. In a minority, or
    /// with a view that is settling, all of them, so that the two sides of a partition do not take the full limit each.
    pub fn quota_sharers(&self, now: Nanos) -> usize {
        let count = self.live_count();
        if self.is_settling(now) || !self.has_majority(now) { count.total } else { count.live.max(1) }
    }
}
