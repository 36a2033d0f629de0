//! What may be sent at all: by idempotence, the retry budget, overload and nodes that warm up.

use super::*;

/// A cold replica gets this part of what the rule would allow.
const COLD_CARE: f64 = 0.8;
/// The part of the ration of retries that copies in the first of two phases may use.
const FIRST_RATION: f64 = 0.5;

impl Router {
    /// Guards a jam, in which all replicas slow together, against second copies.
    pub(super) fn is_shedding(&self, now: Nanos) -> bool {
        self.rejected_at.is_some_and(|at| now - at < self.shortest_goal.times(OVERDUE_GOAL))
    }

    /// Whether one more copy keeps all retries under this share of the parts.
    pub(super) fn may_copy(&self, now: Nanos, share: f64) -> bool {
        let span = RECOMPUTE.times(2.0);
        self.budget_use.all.retries.within(now, span) + 1.0 < share * self.first_sends.within(now, span)
    }

    /// Whether a part may be handed off again now: by its effect, its limit and the ration.
    pub(super) fn may_send_further(&self, now: Nanos, part: &Part) -> bool {
        let Some(multiget) = self.open.get(&part.id.multiget) else { return false };
        let out = part.pending().next().is_some();
        // Guards second phases against copies made in first ones.
        let share = if out && multiget.second.is_some() { FIRST_RATION } else { 1.0 };
        let is_spent = |budget: &RetryBudgetSettings| {
            self.budget_use.remaining(now, part.shard, budget, share, self.tick) < 1.0
        };
        let rationed = self.budget.as_ref().is_some_and(is_spent);
        !rationed && (!out || self.hedging) && self.may_yet(now, part)
    }

    /// Whether a part may still be handed off at all: by its effect and its limit.
    pub(super) fn may_yet(&self, now: Nanos, part: &Part) -> bool {
        let first_run = part.attempts.iter().filter(|sent| may_have_run(sent)).map(|sent| sent.sent).min();
        let allowed = match (part.effect, first_run) {
            (Effect::Idempotent, _) | (_, None) => true,
            (Effect::Deduplicated(window), Some(first)) => now + self.tick < first + window,
            (Effect::NonIdempotent, Some(_)) => false,
        };
        let most = self.use_cases[part.kind.0.0].max_attempts;
        let most = most.map_or(self.max_attempts, |most| most as usize);
        allowed && part.attempts.len() < most && !self.holders(part.shard).is_empty()
    }

    pub(super) fn is_cold(&self, now: Nanos, node: &Node) -> bool {
        node.since.0 > 0 && now - node.since < self.warmup.warm_after + self.warmup.window
    }

    /// The share of its capacity that a replica has at least.
    pub(super) fn warmth(&self, now: Nanos, node: &Node) -> f64 {
        let grown = (now - node.since).0 as f64 / self.warmup.warm_after.0.max(1) as f64;
        if node.since.0 > 0 { (self.warmup.from + (1.0 - self.warmup.from) * grown).min(1.0) } else { 1.0 }
    }

    /// A cold replica takes this router's part of what the rule allows, by what warm ones answer to it and
    /// how busy they are. Where nothing is known of those, it takes one part at a time.
    pub(super) fn has_cold_room(&self, now: Nanos, node: &Node) -> bool {
        if !self.is_cold(now, node) {
            return true;
        }
        let Some((room, most)) = self.cold_room(now, node) else { return node.out.is_empty() };
        // Guards against routers whose part is under one each, all of which could send one at once: it
        // is open for as much of the time as they together may send of what is usually sent.
        let share = COLD_CARE * self.warmup.multiple * self.warmth(now, node) / self.busy_all;
        room >= 0.0 && (most >= 1.0 || room < share.max(most))
    }

    /// The sizes that a cold replica may be sent now, and those that one window allows. The first part
    /// waits for a random while, as all routers hear of a start at once.
    pub(super) fn cold_room(&self, now: Nanos, node: &Node) -> Option<(f64, f64)> {
        let rate = COLD_CARE * self.warmup.multiple * self.warmth(now, node) * self.bears.get()?;
        let most = rate * self.warmup.window.0 as f64;
        let (left, at) = node.cold_room;
        let room = left + rate * (now - at.max(node.since)).0 as f64;
        Some((if most >= 1.0 { room.min(most) } else { room - room.floor().max(0.0) }, most))
    }
}

/// An attempt that is out, or ended in any way that does not prove otherwise, may have run.
pub(super) fn may_have_run(sent: &Attempt) -> bool {
    !matches!(sent.outcome, Some(Outcome::Rejected | Outcome::Unreachable | Outcome::NeverSent))
}
