//! Replica selection: which node an attempt of a part goes to.

use super::*;

/// Weight, in answers, of the rates of a replica's group of places in the replica's own rates.
const PRIOR_ANSWERS: f64 = 3.0;
/// Difference in completion probability below which replicas count as equal.
const PROBABILITY_MARGIN: f64 = 0.08;
/// Share of the time left by which a replica in another zone must be faster, as traffic between zones costs.
const OTHER_ZONE_DELAY_SHARE: f64 = 0.25;

impl Router {
    /// Returns the share of a replica's answers within `target` (ns per size): Phi in Zoolander, section 4.3.
    pub(super) fn completion_probability(&self, node: &Node, kind: WorkKind, target: f64) -> f64 {
        let group = self.groups.get(node.place);
        let prior = (group.latencies.count_below(target) + 1.0) / (group.latencies.total() + 1.0);
        let in_time = (node.latencies.count_below(target) + PRIOR_ANSWERS * prior)
            / (node.latencies.total() + PRIOR_ANSWERS);
        let failures = node.failures.share(group.failures.share(0.0, 1.0), PRIOR_ANSWERS);
        let kind = node.failures_by_kind.get(&kind).copied().unwrap_or_default();
        in_time * (1.0 - kind.share(failures, PRIOR_ANSWERS))
    }

    /// Returns the expected delay of a part in nanoseconds, by the replica's work in flight and `more` work.
    pub(super) fn expected_delay(&self, now: Nanos, node: &Node, more: f64) -> f64 {
        let group = self.groups.get(node.place).time_per_work.get();
        let usual = group.unwrap_or(self.shortest_target.0 as f64 * DELAY_STEP_SHARE * 2.0);
        // A replica that has just started is slower than the warm ones that were measured.
        let unmeasured = usual / self.capacity_share(now, node);
        // A new attempt would not be answered sooner than those that are stuck.
        let stuck = node.stuck_since().map_or(0.0, |sent_at| (now - sent_at).0 as f64);
        let work = node.work_in_flight(now - self.shortest_target) + more;
        (node.time_per_work.get().unwrap_or(unmeasured) * work).max(stuck)
    }

    /// Returns the replica most likely to answer within `left` less queuing; of nearly equal ones, the first
    /// by subset, delay, zone and rotation. `add` is work planned for replicas but not sent to them yet.
    pub(super) fn choose_node(&self, now: Nanos, part: &Part, left: Nanos, add: &Loads) -> Option<Candidate> {
        let replicas = self.running_replicas(part.shard);
        let subset = self.subset_size(now, part.shard, replicas.len());
        let rotation = if part.attempts.is_empty() { self.rotation(part.shard) } else { 0 };
        let delay_step = self.shortest_target.0 as f64 * DELAY_STEP_SHARE;
        let evaluate = |(index, id): (usize, &NodeId)| {
            let node = &self.nodes[id];
            let work = part.size + add.get(id).copied().unwrap_or(0.0);
            let is_tried =
                |sent: &Attempt| sent.node == *id && (sent.outcome.is_none() || self.is_recent(now, sent));
            if part.attempts.iter().any(is_tried) || !self.slow_start_allows(now, node) {
                return None;
            }
            let delay = self.expected_delay(now, node, work);
            let usual = node.latencies.fastest(1.0).map_or(0.0, |(mean, _)| mean) * part.size;
            let target = left.0 as f64 - (delay - usual).max(0.0);
            let probability = self.completion_probability(node, part.kind, target.max(0.0) / part.size);
            let order = if index < subset { (index + subset - rotation % subset) % subset } else { index };
            let is_remote = self.is_remote(id);
            let zone_delay = if is_remote { left.0 as f64 * OTHER_ZONE_DELAY_SHARE } else { 0.0 };
            let key = (index >= subset, ((delay + zone_delay) / delay_step) as u64, is_remote, order);
            Some((probability, key, Candidate { node: *id, delay: Nanos(delay as u64), probability }))
        };
        let choose_among = |count| {
            let candidates: Vec<_> = replicas.iter().take(count).enumerate().filter_map(&evaluate).collect();
            let best = candidates.iter().map(|(probability, _, _)| *probability).fold(0.0, f64::max);
            let equal = candidates.into_iter().filter(|(p, _, _)| *p >= best - PROBABILITY_MARGIN);
            equal.min_by_key(|(_, key, _)| *key).map(|(_, _, candidate)| candidate)
        };
        // The subset is left where none of it is likely enough to answer in time.
        let kept = (subset < replicas.len()).then(|| choose_among(subset)).flatten();
        kept.filter(|kept| kept.probability >= MIN_SERVICE_LEVEL).or_else(|| choose_among(replicas.len()))
    }

    /// Returns the number of replicas that share a shard's parts: as many as get answers often enough to keep
    /// their measurements recent.
    fn subset_size(&self, now: Nanos, shard: ShardId, replicas: usize) -> usize {
        let sends = self.first_sends.of_shard_within(now, shard, SUBSET_SPAN);
        sends.map_or(replicas, |sends| (sends / PARTS_PER_REPLICA) as usize).clamp(1, replicas.max(1))
    }

    /// Whether an attempt was sent so recently that another one at its node would probably fail, too.
    pub(super) fn is_recent(&self, now: Nanos, sent: &Attempt) -> bool {
        now - sent.sent_at < self.shortest_target.times(MIN_OVERDUE_SHARE)
    }
}
