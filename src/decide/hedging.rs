//! Hedging: how many replicas each part is sent to at once, and how measurements age.

use super::*;

/// No number of copies is taken that would keep its replicas this busy.
const BUSIEST: f64 = 0.9;
/// A replica's own are halved once of so many answers or so many recomputations old.
const ENOUGH: f64 = 6.0;
const KEPT: f64 = 3.0;
/// What warm replicas bear is measured over so many windows of the cold rule.
const COLD_SPANS: f64 = 3.0;
/// Weight of one recomputation in that measure, and how busy replicas are held to be at the least.
const BEARS_GAIN: f64 = 0.2;
const LEAST_BUSY: f64 = 0.2;

/// The estimate of the paper, section 4.3: the chance that one of the copies answers in time.
pub fn service_level(phis: &[f64]) -> f64 {
    let add = |(level, missed): (f64, f64), phi: &f64| (level + phi * missed, missed * (1.0 - phi));
    phis.iter().fold((0.0, 1.0), add).0
}

/// The paper's target cut by M/G/1 queuing and the network.
pub fn cut_target(target: f64, mean: f64, cv2: f64, busy: f64, network: f64) -> f64 {
    if busy >= 1.0 {
        return 0.0;
    }
    (target - (1.0 + cv2) / 2.0 * busy / (1.0 - busy) * mean - network).max(0.0)
}

impl Router {
    /// Takes the least number of copies, where the estimate is lowest first, and ages what is measured.
    pub(super) fn replan(&mut self, now: Nanos) {
        self.replan_at = now + RECOMPUTE;
        self.plan_copies();
        self.groups.halve();
        self.use_cases.iter_mut().for_each(|case| case.latencies.halve());
        let span = self.warmup.window.times(COLD_SPANS);
        self.measure_warm_nodes(now, span);
        for node in self.nodes.values_mut() {
            // Guards a router that hears little against forgetting a bad replica before it is seen twice.
            if node.latencies.total() >= ENOUGH || now - node.halved_at >= RECOMPUTE.times(KEPT) {
                node.halved_at = now;
                node.latencies.halve();
                node.failures.halve();
                node.kinds.values_mut().for_each(FailureRate::halve);
            }
            node.served.forget(now, span);
        }
        let longest = self.budget.as_ref().map_or(RECOMPUTE, |rule| rule.window).max(RECOMPUTE) + RECOMPUTE;
        self.forget_unused(now, longest);
    }

    fn plan_copies(&mut self) {
        let sends = std::mem::take(&mut self.sends);
        let all: f64 = sends.values().sum();
        let mut wanted = Vec::new();
        for ((shard, use_case), sent) in &sends {
            if self.use_cases[use_case.0].effect == Effect::Idempotent {
                let (alone, copies) = self.least_copies(*shard, *use_case);
                wanted.push((alone, *shard, *use_case, copies, *sent));
            }
        }
        wanted.sort_by(|one, other| one.0.total_cmp(&other.0).then((one.1, one.2).cmp(&(other.1, other.2))));
        self.plan.clear();
        let mut left = all * COPY_SHARE;
        let mut extra = 0.0;
        for (_, shard, use_case, copies, sent) in wanted {
            if copies > 1 && left > 0.0 {
                let more = (copies - 1) as f64 * sent;
                extra += more.min(left);
                left -= more;
                self.plan.insert((shard, use_case), copies);
            }
        }
        self.mean_copies = if all > 0.0 { 1.0 + extra / all } else { 1.0 };
    }

    /// How busy warm replicas are, and what they bear. Weighed by all other answers: a mean over replicas
    /// would sink with those of which nothing is asked.
    fn measure_warm_nodes(&mut self, now: Nanos, span: Nanos) {
        let warm =
            self.nodes.values().filter(|node| node.health == Health::Running && !self.is_cold(now, node));
        let (mut count, mut served, mut others, mut busy) = (0.0, 0.0, 0.0, 0.0);
        for node in warm {
            let own = node.served.within(now, span);
            count += 1.0;
            served += own;
            others += own * (own - 1.0).max(0.0);
            busy += own * self.busy(node).max(LEAST_BUSY);
        }
        if served > 0.0 {
            self.busy_all = busy / served;
            let usual = (others / served).max(served / count);
            self.bears.add(usual / self.busy_all / span.0 as f64, BEARS_GAIN);
        }
    }

    /// How busy a replica is: its own report or, failing that, what its latencies say.
    pub(super) fn busy(&self, node: &Node) -> f64 {
        let group = &self.groups.get(node.place).latencies;
        let read = |share| node.latencies.fastest(share).or(group.fastest(share));
        let usual = read(FASTEST).zip(read(1.0)).map(|((mean, _), (whole, _))| 1.0 - mean / whole);
        node.busy_share.or(usual).unwrap_or(1.0)
    }

    /// The estimate for one copy, and the least number whose estimate reaches the target.
    pub(super) fn least_copies(&self, shard: ShardId, use_case: UseCaseId) -> (f64, usize) {
        let case = &self.use_cases[use_case.0];
        let size = case.size.get().unwrap_or(1.0);
        let mut nodes: Vec<&Node> = self.holders(shard).iter().map(|id| &self.nodes[id]).collect();
        let goal = case.latency_target.0 as f64 / size;
        let kind = (use_case, false);
        nodes.sort_by(|one, other| self.phi(other, kind, goal).total_cmp(&self.phi(one, kind, goal)));
        let mut alone = 0.0;
        for copies in 1..=nodes.len() {
            let mut phis = Vec::new();
            let mut busiest = 0.0f64;
            for node in &nodes[..copies] {
                let group = &self.groups.get(node.place).latencies;
                let fastest = node.latencies.fastest(FASTEST).or(group.fastest(FASTEST));
                let all = node.latencies.fastest(1.0).or(group.fastest(1.0));
                let (Some((mean, cv2)), Some(_)) = (fastest, all) else { return (1.0, 1) };
                let busy = self.busy(node) * copies as f64 / self.mean_copies;
                busiest = busiest.max(busy);
                let network = self.tick.0 as f64 / size;
                phis.push(self.phi(node, kind, cut_target(goal, mean, cv2, busy, network)));
            }
            let level = service_level(&phis);
            if copies == 1 {
                alone = level;
            } else if busiest >= BUSIEST {
                return (alone, copies - 1);
            }
            if level >= TARGET || copies == nodes.len() {
                return (alone, copies);
            }
        }
        (alone, 1)
    }
}
