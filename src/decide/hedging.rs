//! Hedging: how many replicas get each part at once, by Zoolander's formulas, and the ageing of measurements.

use super::*;

/// Limit of the share in use of the replicas' capacity, below which another copy may be planned.
const MAX_BUSY_SHARE: f64 = 0.9;
/// Slow-start windows over which the capacity of warm nodes is measured, and the weight of one measurement.
const CAPACITY_WINDOWS: f64 = 3.0;
const CAPACITY_GAIN: f64 = 0.2;
/// Lower bound of a warm node's busy share, which limits the capacity estimated from it.
const MIN_BUSY_SHARE: f64 = 0.2;

/// Returns the probability that any copy is answered in time, from each one's, as in Zoolander, section 4.3.
pub fn service_level(probabilities: &[f64]) -> f64 {
    let add = |(level, missed): (f64, f64), phi: &f64| (level + phi * missed, missed * (1.0 - phi));
    probabilities.iter().fold((0.0, 1.0), add).0
}

/// Returns `target` less M/G/1 queuing delay (`cv2`: squared variation of service time) and network delay.
pub fn reduced_target(target: f64, mean: f64, cv2: f64, busy_share: f64, network: f64) -> f64 {
    if busy_share >= 1.0 {
        return 0.0;
    }
    (target - (1.0 + cv2) / 2.0 * busy_share / (1.0 - busy_share) * mean - network).max(0.0)
}

impl Router {
    /// Plans the copies until the next plan, halves the weight of measurements, and drops old ones.
    pub(super) fn replan(&mut self, now: Nanos) {
        self.replan_at = now + PLAN_INTERVAL;
        self.plan_copies();
        self.groups.halve();
        self.use_cases.iter_mut().for_each(|case| case.latencies.halve());
        let span = self.slow_start.window.times(CAPACITY_WINDOWS);
        self.measure_warm_nodes(now, span);
        for node in self.nodes.values_mut() {
            // A router with little traffic would otherwise forget that a replica is slow before its next use.
            let is_due = now - node.halved_at >= PLAN_INTERVAL.times(MAX_INTERVALS_TO_HALVE);
            if is_due || node.latencies.total() >= MIN_ANSWERS_TO_HALVE {
                node.halved_at = now;
                node.latencies.halve();
                node.failures.halve();
                node.failures_by_kind.values_mut().for_each(FailureRate::halve);
            }
            node.answered_work.forget(now, span);
        }
        let window = self.retry_budget.as_ref().map_or(PLAN_INTERVAL, |budget| budget.window);
        self.forget_unused(now, window.max(SUBSET_SPAN) + PLAN_INTERVAL);
    }

    /// Plans the fewest copies that reach the service level, lowest level first, up to a total limit.
    fn plan_copies(&mut self) {
        let sends = std::mem::take(&mut self.sends_since_replan);
        let total: f64 = sends.values().sum();
        let mut wanted = Vec::new();
        for ((shard, use_case), sent) in &sends {
            if self.use_cases[use_case.0].effect == Effect::Idempotent {
                let (level, copies) = self.min_copies(*shard, *use_case);
                wanted.push((level, *shard, *use_case, copies, *sent));
            }
        }
        wanted.sort_by(|one, other| one.0.total_cmp(&other.0).then((one.1, one.2).cmp(&(other.1, other.2))));
        self.planned_copies.clear();
        let mut remaining = total * MAX_COPY_SHARE;
        let mut planned = 0.0;
        for (_, shard, use_case, copies, sent) in wanted {
            if copies > 1 && remaining > 0.0 {
                let more = (copies - 1) as f64 * sent;
                planned += more.min(remaining);
                remaining -= more;
                self.planned_copies.insert((shard, use_case), copies);
            }
        }
        self.mean_copies = if total > 0.0 { 1.0 + planned / total } else { 1.0 };
    }

    /// Measures busy share and capacity of warm nodes, weighted by answers so that idle nodes do not count.
    fn measure_warm_nodes(&mut self, now: Nanos, span: Nanos) {
        let warm =
            self.nodes.values().filter(|node| node.health == Health::Running && !self.is_cold(now, node));
        let (mut count, mut answered, mut weighted, mut busy) = (0.0, 0.0, 0.0, 0.0);
        for node in warm {
            let own = node.answered_work.within(now, span);
            count += 1.0;
            if own > 0.0 {
                answered += own;
                weighted += own * (own - 1.0).max(0.0);
                busy += own * self.busy_share(node).max(MIN_BUSY_SHARE);
            }
        }
        if answered > 0.0 {
            self.warm_busy_share = busy / answered;
            let usual = (weighted / answered).max(answered / count);
            self.warm_capacity.add(usual / self.warm_busy_share / span.0 as f64, CAPACITY_GAIN);
        }
    }

    /// Returns the busy share that a node reported or, without a report, that its latencies suggest.
    pub(super) fn busy_share(&self, node: &Node) -> f64 {
        let group = &self.groups.get(node.place).latencies;
        let moments = |share| node.latencies.fastest(share).or(group.fastest(share));
        let estimate = moments(FASTEST_SHARE).zip(moments(1.0)).map(|((mean, _), (all, _))| 1.0 - mean / all);
        node.busy_share.or(estimate).unwrap_or(1.0)
    }

    /// Returns the service level of one copy, and the least number of copies that reaches the required level.
    pub(super) fn min_copies(&self, shard: ShardId, use_case: UseCaseId) -> (f64, usize) {
        let case = &self.use_cases[use_case.0];
        let size = case.part_size.get().unwrap_or(1.0);
        let target = case.latency_target.0 as f64 / size;
        let probability = |node: &Node, target| self.completion_probability(node, (use_case, false), target);
        let rated = |id| (probability(&self.nodes[id], target), &self.nodes[id]);
        let mut nodes: Vec<(f64, &Node)> = self.running_replicas(shard).iter().map(rated).collect();
        nodes.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        let mut single_level = 0.0;
        for copies in 1..=nodes.len() {
            let mut probabilities = Vec::new();
            let mut busiest = 0.0f64;
            for (_, node) in &nodes[..copies] {
                let group = &self.groups.get(node.place).latencies;
                let service = node.latencies.fastest(FASTEST_SHARE).or(group.fastest(FASTEST_SHARE));
                let all = node.latencies.fastest(1.0).or(group.fastest(1.0));
                let (Some((mean, cv2)), Some(_)) = (service, all) else { return (1.0, 1) };
                let busy_share = self.busy_share(node) * copies as f64 / self.mean_copies;
                busiest = busiest.max(busy_share);
                let network = self.tick.0 as f64 / size;
                probabilities.push(probability(node, reduced_target(target, mean, cv2, busy_share, network)));
            }
            let level = service_level(&probabilities);
            if copies == 1 {
                single_level = level;
            } else if busiest >= MAX_BUSY_SHARE {
                return (single_level, copies - 1);
            }
            if level >= MIN_SERVICE_LEVEL || copies == nodes.len() {
                return (single_level, copies);
            }
        }
        (single_level, 1)
    }
}
