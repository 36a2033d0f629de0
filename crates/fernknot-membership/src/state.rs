//! State of one router's membership protocol: one struct per concern, and the operations that several parts of the
//! protocol share.

use crate::action::Action;
use crate::cause::{Cause, EvidenceSource};
use crate::identity::RouterId;
use crate::local_health::LocalHealth;
use crate::local_router::LocalRouter;
use crate::member_table::{MemberTable, MergeOutcome, StateChange};
use crate::message::MessageBody;
use crate::outbox::Outbox;
use crate::probe::Probes;
use crate::probe_targets::ProbeTargets;
use crate::settings::{INDIRECT_PROBES, MAX_ACCUSERS, MembershipSettings, PARTITION_SHARE};
use crate::status::{Status, VersionedStatus};
use crate::suspicion;
use crate::update_queue::UpdateQueue;
use fernknot::interface::Nanos;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};

/// State of one router's membership protocol.
pub(crate) struct ProtocolState {
    pub settings: MembershipSettings,
    /// State that the local router claims for itself.
    pub local: LocalRouter,
    /// State of all other routers.
    pub members: MemberTable,
    /// Reliability of the local failure detector.
    pub health: LocalHealth,
    /// Selection and schedule of probe targets.
    pub targets: ProbeTargets,
    /// Probe in progress, and probes relayed for others.
    pub probes: Probes,
    /// Members whose status is disseminated.
    pub updates: UpdateQueue,
    /// Pending messages, and the rate limit.
    pub outbox: Outbox,
    /// Actions not yet polled by the host.
    pub actions: VecDeque<Action>,
    /// Earliest time of the next datagram that only carries updates.
    pub next_gossip: Nanos,
    /// Source of all random choices.
    pub rng: ChaCha8Rng,
}

impl ProtocolState {
    /// Number of configured routers, including the local one.
    pub fn router_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Replaces the list of all other routers.
    pub fn set_routers(&mut self, now: Nanos, listed: &BTreeSet<RouterId>) {
        for id in self.members.set_routers(now, listed) {
            self.updates.remove(id);
        }
        self.targets.set_ring(self.members.ids_from(self.local.id));
    }

    /// Cause that names the local router's own observation.
    pub fn local_cause(&self, now: Nanos) -> Cause {
        Cause { reporter: self.local.id, learned_at: now, source: EvidenceSource::LocalProbe }
    }

    /// Applies a reported status of another router if it overrides the known one.
    pub fn learn(&mut self, now: Nanos, member: RouterId, reported: VersionedStatus, cause: Cause) {
        match self.members.merge(&self.settings, now, member, reported, cause) {
            MergeOutcome::Unchanged => {}
            MergeOutcome::AccuserAdded => self.updates.add(member),
            MergeOutcome::Changed(change) => self.spread_change(now, &change, cause),
        }
    }

    /// Disseminates a change, and reports it to the host, the program that drives the protocol, unless only the round
    /// of a suspicion or the incarnation differs.
    fn spread_change(&mut self, now: Nanos, change: &StateChange, cause: Cause) {
        // Low priority, because otherwise every router would forward the start of every other when many start together.
        if change.is_first_start() {
            self.updates.add_low_priority(change.member, self.router_count());
        } else {
            self.updates.add(change.member);
        }
        if !change.is_reported() {
            return;
        }
        self.actions.push_back(Action::StatusChanged {
            member: change.member,
            from: change.before.into(),
            to: change.after.into(),
            incarnation: change.after.incarnation,
            cause,
        });
        if change.after.status.is_suspected() {
            self.confirm_suspicion(change.member);
        }
        if change.before.status == Status::Failed {
            self.detect_healed_partition(now, change);
        }
    }

    /// Probes the suspected member next, to confirm or refute the suspicion, with a probability at which on average six
    /// of all routers do so.
    fn confirm_suspicion(&mut self, member: RouterId) {
        if !self.settings.is_full() {
            return;
        }
        let probability = (2.0 * MAX_ACCUSERS as f64 / self.router_count() as f64).min(1.0);
        if self.rng.random_bool(probability) {
            self.targets.set_urgent_target(member);
        }
    }

    /// Announces a new incarnation when a failed member returns while at least [`PARTITION_SHARE`] of all routers
    /// counted as failed: a network partition has healed, and the routers on the other side count the local router as
    /// failed, too. The announcement refutes that before each of them reports it.
    fn detect_healed_partition(&mut self, now: Nanos, change: &StateChange) {
        let was_partitioned = change.failed_before as f64 >= PARTITION_SHARE * self.router_count() as f64;
        if was_partitioned && self.local.announce(now, self.settings.settling_time()) {
            self.updates.add(self.local.id);
        }
    }

    /// Marks the local router as left, and sends messages that say so to [`INDIRECT_PROBES`] random live routers as
    /// soon as the rate limit allows.
    pub fn leave(&mut self, now: Nanos) {
        if self.local.has_left {
            return;
        }
        self.local.has_left = true;
        self.probes.current = None;
        self.updates.add(self.local.id);
        let mut receivers = self.members.live_ids();
        receivers.shuffle(&mut self.rng);
        receivers.truncate(INDIRECT_PROBES);
        for id in receivers {
            self.outbox.push(id, MessageBody::Gossip);
        }
        self.next_gossip = now;
    }

    /// Whether no message of any other router has arrived for longer than the isolation time-out, which poor local
    /// health lengthens.
    pub fn is_isolated(&self, now: Nanos) -> bool {
        !self.members.is_empty() && self.health.receipt_timed_out(&self.settings, now)
    }

    /// Whether missing messages are evidence against other routers rather than against the local one.
    pub fn may_accuse(&self, now: Nanos) -> bool {
        !self.settings.is_full() || !self.health.is_recovering_from_stall(now) && !self.is_isolated(now)
    }

    /// Confirms suspicions that have timed out as failures; returns whether there were any. While the local router may
    /// not accuse others, it restarts these suspicions instead.
    pub fn confirm_failures(&mut self, now: Nanos) -> bool {
        let is_due = |id: &RouterId| {
            let member = self.members.get(*id);
            member.is_some_and(|member| suspicion::deadline(&self.settings, &self.health, member) <= now)
        };
        let due: Vec<RouterId> = self.members.suspected().map(|member| member.id).filter(is_due).collect();
        let may_accuse = self.may_accuse(now);
        for id in &due {
            let Some(member) = self.members.get_mut(*id) else { continue };
            if may_accuse {
                let failed = member.state.with_status(Status::Failed);
                self.learn(now, *id, failed, self.local_cause(now));
            } else {
                member.suspected_at = now;
            }
        }
        !due.is_empty() && may_accuse
    }

    /// Earliest time at which a suspicion times out.
    pub fn next_suspicion_deadline(&self) -> Option<Nanos> {
        let deadline = |member| suspicion::deadline(&self.settings, &self.health, member);
        self.members.suspected().map(deadline).min()
    }
}
