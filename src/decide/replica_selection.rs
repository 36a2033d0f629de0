//! Replica selection: which node an attempt of a part goes to.

use super::*;

/// The weight, in answers, of the average replica in a replica's own record.
const PRIOR: f64 = 3.0;
/// Replicas whose share of answers in time differs by less are equal.
const PHI_STEP: f64 = 0.08;
/// One in another zone goes before an equal one only if it is quicker by this share of the time left.
const OTHER_ZONE_GAIN: f64 = 0.25;

impl Router {
    /// The share of a replica's answers within `target`, over sizes; one not heard from counts as average.
    pub(super) fn phi(&self, node: &Node, kind: WorkKind, target: f64) -> f64 {
        let group = self.groups.get(node.place);
        let average = (group.latencies.under(target) + 1.0) / (group.latencies.total() + 1.0);
        let in_time = (node.latencies.under(target) + PRIOR * average) / (node.latencies.total() + PRIOR);
        let failures = node.failures.share(group.failures.share(0.0, 1.0), PRIOR);
        let kind = node.kinds.get(&kind).copied().unwrap_or_default();
        in_time * (1.0 - kind.share(failures, PRIOR))
    }

    /// How long a part would take at a replica, by what it holds for all that is known.
    pub(super) fn delay(&self, now: Nanos, node: &Node, more: f64) -> f64 {
        let pace = self.groups.get(node.place).pace.get();
        let usual = pace.unwrap_or(self.shortest_goal.0 as f64 * DELAY_STEP * 2.0);
        // Guards a replica that has just started against the work of one that is warm.
        let unheard = usual / self.warmth(now, node);
        // What is overdue there has waited so long already; the next one would not be quicker.
        let stuck = node.stuck_since().map_or(0.0, |sent| (now - sent).0 as f64);
        (node.pace.get().unwrap_or(unheard) * (node.holds(now - self.shortest_goal) + more)).max(stuck)
    }

    /// The replica for a part: the highest share of answers within what is left of the target, cut by the
    /// delay that its work in flight adds to the usual; equals by delay, zone and turn.
    pub(super) fn choose(&self, now: Nanos, part: &Part, left: Nanos, planned: &Loads) -> Option<Candidate> {
        let holders = self.holders(part.shard);
        let first = part.attempts.is_empty();
        let turn = self.turns.get(&part.shard).filter(|_| first).copied().unwrap_or(0);
        let step = self.shortest_goal.0 as f64 * DELAY_STEP;
        let offer = |(index, id): (usize, &NodeId)| {
            let node = &self.nodes[id];
            let more = part.size + planned.get(id).copied().unwrap_or(0.0);
            let tried =
                |sent: &Attempt| sent.node == *id && (sent.outcome.is_none() || self.is_fresh(now, sent));
            if part.attempts.iter().any(tried) || !self.has_cold_room(now, node) {
                return None;
            }
            let delay = self.delay(now, node, more);
            let usual = node.latencies.fastest(1.0).map_or(0.0, |(mean, _)| mean) * part.size;
            let target = left.0 as f64 - (delay - usual).max(0.0);
            let phi = self.phi(node, part.kind, target.max(0.0) / part.size);
            let order = (index + holders.len() - turn % holders.len()) % holders.len();
            let far = self.zone.is_some() && node.zone != self.zone;
            // Bytes between zones are paid for: another zone has to be quicker by a share of the time left.
            let lag = if far { left.0 as f64 * OTHER_ZONE_GAIN } else { 0.0 };
            let key = (((delay + lag) / step) as u64, far, order);
            Some((phi, key, Candidate { node: *id, delay: Nanos(delay as u64), phi }))
        };
        let offers: Vec<_> = holders.iter().enumerate().filter_map(offer).collect();
        let best = offers.iter().map(|(phi, _, _)| *phi).fold(0.0, f64::max);
        let equal = offers.into_iter().filter(|(phi, _, _)| *phi >= best - PHI_STEP);
        equal.min_by_key(|(_, key, _)| *key).map(|(_, _, offer)| offer)
    }

    /// What failed so lately would fail again.
    pub(super) fn is_fresh(&self, now: Nanos, sent: &Attempt) -> bool {
        now - sent.sent < self.shortest_goal.times(OVERDUE_GOAL)
    }

    /// Those that run. Guards them against taking the turns of one that drains or is gone.
    pub(super) fn holders(&self, shard: ShardId) -> Vec<NodeId> {
        self.by_place.all_in(self.places_of(shard), |id| self.nodes[id].health == Health::Running)
    }
}
