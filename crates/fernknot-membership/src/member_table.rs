//! All other routers as the local one knows them, and how reported statuses change what is known.

use crate::cause::{Cause, EvidenceSource};
use crate::identity::RouterId;
use crate::member::Member;
use crate::message::Message;
use crate::report::ReportedStatus;
use crate::settings::{MAX_ACCUSERS, MembershipSettings};
use crate::status::{Status, VersionedStatus};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// All other routers of the list, with counts that are asked for at each turn.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<RouterId, Member>,
    suspected: BTreeSet<RouterId>,
    live: usize,
    failed: usize,
}

/// What came of a reported status.
pub(crate) enum MergeOutcome {
    /// Nothing that others need to know.
    Unchanged,
    /// One more router suspects the member, which shortens the suspicion.
    AccuserAdded,
    /// The member's state is another one.
    Changed(StateChange),
}

/// A change of one member's state.
pub(crate) struct StateChange {
    /// The member.
    pub member: RouterId,
    /// Its state before.
    pub before: VersionedStatus,
    /// Its state now.
    pub after: VersionedStatus,
    /// Members that counted as failed before the change.
    pub failed_before: usize,
}

impl StateChange {
    /// Whether operators see a change, too.
    pub fn is_reported(&self) -> bool {
        ReportedStatus::from(self.before) != ReportedStatus::from(self.after)
    }

    /// The first that was ever heard of the member is that it lives.
    pub fn is_first_start(&self) -> bool {
        !self.before.is_known() && self.after.status == Status::Alive
    }
}

impl MemberTable {
    /// Takes the list of other routers. The ids of those that are no longer on it.
    pub fn set_routers(&mut self, now: Nanos, listed: &BTreeSet<RouterId>) -> Vec<RouterId> {
        let removed: Vec<RouterId> = self.members.keys().filter(|id| !listed.contains(id)).copied().collect();
        for id in &removed {
            self.members.remove(id);
            self.suspected.remove(id);
        }
        for id in listed {
            self.members.entry(*id).or_insert_with(|| Member::new(*id, now));
        }
        self.live = self.iter().filter(|member| member.state.is_live()).count();
        self.failed = self.iter().filter(|member| member.is_failed()).count();
        removed
    }

    /// How many members there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether the router is a member.
    pub fn contains(&self, id: RouterId) -> bool {
        self.members.contains_key(&id)
    }

    /// The member of this id.
    pub fn get(&self, id: RouterId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// The member of this id, to change it.
    pub fn get_mut(&mut self, id: RouterId) -> Option<&mut Member> {
        self.members.get_mut(&id)
    }

    /// All members, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// In the order of the ids, beginning after this one and wrapping round.
    pub fn ids_from(&self, start: RouterId) -> Vec<RouterId> {
        let after = self.members.range(start..);
        let before = self.members.range(..start);
        after.chain(before).map(|(id, _)| *id).collect()
    }

    /// The ids of members that count as running, ascending.
    pub fn live_ids(&self) -> Vec<RouterId> {
        self.iter().filter(|member| member.state.is_live()).map(|member| member.id).collect()
    }

    /// The ids of members that count as failed, ascending.
    pub fn failed_ids(&self) -> Vec<RouterId> {
        self.iter().filter(|member| member.is_failed()).map(|member| member.id).collect()
    }

    /// The suspected members, in the order of their ids.
    pub fn suspected(&self) -> impl Iterator<Item = &Member> {
        self.suspected.iter().filter_map(|id| self.members.get(id))
    }

    /// Members that count as running.
    pub fn live(&self) -> usize {
        self.live
    }

    /// Members that count as failed.
    pub fn failed(&self) -> usize {
        self.failed
    }

    /// Whether the member has neither failed nor left.
    pub fn is_present(&self, id: RouterId) -> bool {
        self.get(id).is_some_and(Member::is_present)
    }

    /// Every suspicion begins anew.
    pub fn restart_suspicions(&mut self, now: Nanos) {
        for id in &self.suspected {
            if let Some(member) = self.members.get_mut(id) {
                member.suspected_at = now;
            }
        }
    }

    /// A message of the member itself arrived.
    pub fn message_received(&mut self, now: Nanos, from: RouterId, message: &Message) {
        let Some(member) = self.members.get_mut(&from) else { return };
        member.last_heard = Some(now);
        if member.process_started_ms != message.started_ms {
            member.process_first_heard = Some(now);
        }
        member.process_started_ms = message.started_ms;
        member.claimed_incarnation = message.incarnation;
    }

    /// Takes a reported status of a member, if it overrides what is known.
    pub fn merge(
        &mut self,
        settings: &MembershipSettings,
        now: Nanos,
        id: RouterId,
        reported: VersionedStatus,
        cause: Cause,
    ) -> MergeOutcome {
        let Some(member) = self.members.get_mut(&id) else { return MergeOutcome::Unchanged };
        let before = member.state;
        let is_hearsay = is_hearsay_failure(settings, member, reported, cause);
        if is_hearsay && reported.incarnation == member.state.incarnation && member.is_suspected() {
            member.accusers.resize(MAX_ACCUSERS, cause.reporter);
            return MergeOutcome::Unchanged;
        }
        let reported =
            if is_hearsay { reported.with_status(Status::Suspected { round: 0 }) } else { reported };
        if !member.state.merge(reported) {
            return add_accuser(settings, member, reported, cause.reporter);
        }
        let accusers = if is_hearsay { MAX_ACCUSERS } else { 1 };
        track_suspicion(&mut self.suspected, member, now, cause.reporter, accusers);
        count_refutation(settings, member, before, now);
        let change = StateChange { member: id, before, after: member.state, failed_before: self.failed };
        if change.is_reported() {
            record_change(member, &change, cause);
            self.count_change(&change);
        }
        MergeOutcome::Changed(change)
    }

    fn count_change(&mut self, change: &StateChange) {
        let failed = |state: VersionedStatus| usize::from(state.status == Status::Failed);
        self.live = self.live + usize::from(change.after.is_live()) - usize::from(change.before.is_live());
        self.failed = self.failed + failed(change.after) - failed(change.before);
    }
}

/// Whether another router passes on that this live one failed. It is taken for a suspicion with all its accusers, as
/// the member may have refuted it where the update comes from: after a partition heals, each side brings what it knew
/// of the other.
fn is_hearsay_failure(
    settings: &MembershipSettings,
    member: &Member,
    reported: VersionedStatus,
    cause: Cause,
) -> bool {
    settings.is_full()
        && matches!(cause.source, EvidenceSource::Relayed(_))
        && reported.status == Status::Failed
        && member.state.is_live()
        && reported.incarnation >= member.state.incarnation
}

/// A report that changes no state may still name one more accuser, which shortens the suspicion.
fn add_accuser(
    settings: &MembershipSettings,
    member: &mut Member,
    reported: VersionedStatus,
    accuser: RouterId,
) -> MergeOutcome {
    let is_new = reported == member.state
        && member.is_suspected()
        && member.accusers.len() < MAX_ACCUSERS
        && !member.accusers.contains(&accuser);
    if !is_new || !settings.is_full() {
        return MergeOutcome::Unchanged;
    }
    member.accusers.push(accuser);
    MergeOutcome::AccuserAdded
}

/// Begins a suspicion or a round of it, or ends one.
fn track_suspicion(
    suspected: &mut BTreeSet<RouterId>,
    member: &mut Member,
    now: Nanos,
    accuser: RouterId,
    accusers: usize,
) {
    if member.is_suspected() {
        member.accusers = vec![accuser; accusers];
        member.suspected_at = now;
        suspected.insert(member.id);
    } else {
        member.accusers.clear();
        suspected.remove(&member.id);
    }
}

/// Counts a suspicion or failure that was refuted. A new process is no refutation: the one before it may well have
/// been dead.
fn count_refutation(settings: &MembershipSettings, member: &mut Member, before: VersionedStatus, now: Nanos) {
    let was_accused = before.status.is_suspected() || before.status == Status::Failed;
    let is_refuted = was_accused && before.is_known() && member.state.status == Status::Alive;
    if is_refuted && !member.has_just_started(now, settings.probe_period) {
        member.refutations.add(now, settings.settling_time());
    }
}

fn record_change(member: &mut Member, change: &StateChange, cause: Cause) {
    let has_returned = change.before.status == Status::Failed;
    let has_failed = change.after.status == Status::Failed;
    member.failure_changes += u32::from(has_returned || has_failed);
    member.cause = cause;
}
