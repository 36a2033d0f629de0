//! Table of all other routers, and the rules by which reported statuses change it.

use crate::cause::{Cause, EvidenceSource};
use crate::identity::RouterId;
use crate::member::Member;
use crate::message::Message;
use crate::report::ReportedStatus;
use crate::settings::{MAX_ACCUSERS, MembershipSettings};
use crate::status::{Status, VersionedStatus};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// All other routers of the list, with counts kept up to date because each event-loop iteration reads them.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<RouterId, Member>,
    suspected: BTreeSet<RouterId>,
    live_count: usize,
    failed_count: usize,
}

/// Result of merging a reported status.
pub(crate) enum MergeOutcome {
    /// No change that other routers need to learn.
    Unchanged,
    /// One more router suspects the member, which shortens the suspicion.
    AccuserAdded,
    /// The member's state changed.
    Changed(StateChange),
}

/// Change of one member's state.
pub(crate) struct StateChange {
    /// Member whose state changed.
    pub member: RouterId,
    /// State before the change.
    pub before: VersionedStatus,
    /// State after the change.
    pub after: VersionedStatus,
    /// Number of failed members before the change.
    pub failed_before: usize,
}

impl StateChange {
    /// Whether the change is visible in the operator's view, which hides suspicion rounds.
    pub fn is_reported(&self) -> bool {
        ReportedStatus::from(self.before) != ReportedStatus::from(self.after)
    }

    /// Whether this is the first message about the member, and it reports the member alive.
    pub fn is_first_start(&self) -> bool {
        !self.before.is_known() && self.after.status == Status::Alive
    }
}

impl MemberTable {
    /// Replaces the list of other routers and returns the ids that are no longer on it.
    pub fn set_routers(&mut self, now: Nanos, listed: &BTreeSet<RouterId>) -> Vec<RouterId> {
        let removed: Vec<RouterId> = self.members.keys().filter(|id| !listed.contains(id)).copied().collect();
        for id in &removed {
            self.members.remove(id);
            self.suspected.remove(id);
        }
        for id in listed {
            self.members.entry(*id).or_insert_with(|| Member::new(*id, now));
        }
        self.live_count = self.iter().filter(|member| member.state.is_live()).count();
        self.failed_count = self.iter().filter(|member| member.is_failed()).count();
        removed
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether the router is a member.
    pub fn contains(&self, id: RouterId) -> bool {
        self.members.contains_key(&id)
    }

    pub fn get(&self, id: RouterId) -> Option<&Member> {
        self.members.get(&id)
    }

    pub fn get_mut(&mut self, id: RouterId) -> Option<&mut Member> {
        self.members.get_mut(&id)
    }

    /// All members, in ascending order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Ids in ascending order from `start`, wrapping around at the end.
    pub fn ids_from(&self, start: RouterId) -> Vec<RouterId> {
        let after = self.members.range(start..);
        let before = self.members.range(..start);
        after.chain(before).map(|(id, _)| *id).collect()
    }

    /// Ids of live members, ascending.
    pub fn live_ids(&self) -> Vec<RouterId> {
        self.iter().filter(|member| member.state.is_live()).map(|member| member.id).collect()
    }

    /// Ids of failed members, ascending.
    pub fn failed_ids(&self) -> Vec<RouterId> {
        self.iter().filter(|member| member.is_failed()).map(|member| member.id).collect()
    }

    /// Suspected members, in ascending order of their ids.
    pub fn suspected(&self) -> impl Iterator<Item = &Member> {
        self.suspected.iter().filter_map(|id| self.members.get(id))
    }

    /// Number of live members.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Number of failed members.
    pub fn failed_count(&self) -> usize {
        self.failed_count
    }

    /// Whether the member has neither failed nor left.
    pub fn is_present(&self, id: RouterId) -> bool {
        self.get(id).is_some_and(Member::is_present)
    }

    /// Restarts the time-out of every suspicion.
    pub fn restart_suspicions(&mut self, now: Nanos) {
        for id in &self.suspected {
            if let Some(member) = self.members.get_mut(id) {
                member.suspected_at = now;
            }
        }
    }

    /// Records a message sent by the member itself.
    pub fn message_received(&mut self, now: Nanos, from: RouterId, message: &Message) {
        let Some(member) = self.members.get_mut(&from) else { return };
        member.last_received = Some(now);
        if member.process_started_ms != message.started_ms {
            member.process_first_received = Some(now);
        }
        member.process_started_ms = message.started_ms;
        member.claimed_incarnation = message.incarnation;
    }

    /// Merges a reported status of a member into the table if it overrides the known one.
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
        let treat_as_suspicion = is_relayed_failure(settings, member, reported, cause);
        if treat_as_suspicion && reported.incarnation == member.state.incarnation && member.is_suspected() {
            member.accusers.resize(MAX_ACCUSERS, cause.reporter);
            return MergeOutcome::Unchanged;
        }
        let reported =
            if treat_as_suspicion { reported.with_status(Status::Suspected { round: 0 }) } else { reported };
        if !member.state.merge(reported) {
            return add_accuser(settings, member, reported, cause.reporter);
        }
        let accusers = if treat_as_suspicion { MAX_ACCUSERS } else { 1 };
        track_suspicion(&mut self.suspected, member, now, cause.reporter, accusers);
        count_refutation(settings, member, before, now);
        let change =
            StateChange { member: id, before, after: member.state, failed_before: self.failed_count };
        if change.is_reported() {
            record_change(member, &change, cause);
            self.count_change(&change);
        }
        MergeOutcome::Changed(change)
    }

    fn count_change(&mut self, change: &StateChange) {
        let failed_count = |state: VersionedStatus| usize::from(state.status == Status::Failed);
        self.live_count =
            self.live_count + usize::from(change.after.is_live()) - usize::from(change.before.is_live());
        self.failed_count = self.failed_count + failed_count(change.after) - failed_count(change.before);
    }
}

/// Whether another router forwards a failure of a live member. Such a report counts as a suspicion with the maximum of
/// accusers, because the member may already have refuted it elsewhere: after a network partition heals, each side
/// reports its old view of the other.
fn is_relayed_failure(
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

/// Adds the reporter of an already known suspicion to the accusers, which shortens the suspicion.
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

/// Starts a suspicion or a new round of it, or ends one.
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

/// Counts a refuted suspicion or failure. A new process does not count as a refutation, because the previous process
/// may really have failed.
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
