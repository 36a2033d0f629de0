//! Admission: which queries are accepted, and which are rejected before any of their parts is sent.

use super::*;

/// Shares of the target that the expected delay may reach: highest value per work, no value, over quota.
const MAX_DELAY_SHARE_HIGHEST_VALUE: f64 = 0.65;
const MAX_DELAY_SHARE_NO_VALUE: f64 = 0.5;
const MAX_DELAY_SHARE_OVER_QUOTA: f64 = 0.33;
/// Share of all nodes; a multiget that would send to more of them at once sends one part as a probe first.
const MAX_UNPROBED_NODE_SHARE: f64 = 0.5;
/// Limit of the expected delay with a probe, as a share of the target; above it, all parts are sent at once.
const MAX_PROBED_SHARE: f64 = 0.4;
/// Share of the target, and of a second phase's remaining time, that expected delays exceed under congestion.
const CONGESTED_SHARE: f64 = 0.2;
/// Probability of completion that a second phase needs without congestion; `MIN_SERVICE_LEVEL` with it.
const MIN_SECOND_PHASE_PROBABILITY: f64 = 0.5;

/// Expected delay of a part (`u64::MAX` without a node), the node that it would be sent to, and the part.
type Planned<'a> = (Nanos, Option<Candidate>, &'a Part);

impl Router {
    /// Sends a phase's first attempts and returns true, or ends the multiget as its delay would be too long.
    pub(super) fn admit(&mut self, now: Nanos, id: MultigetId) -> bool {
        let Some(open) = self.multigets.get_mut(&id) else { return false };
        open.awaits_admission = false;
        let (use_case, customer, is_second) = (open.use_case, open.customer, open.phase_from > 0);
        let left = open.target_end - now;
        let (estimate, start, rest) = (open.second_phase, open.second_start, open.value_end - now);
        let parts = open.phase_parts().to_vec();
        self.use_cases[use_case.0].total_size.add(parts.iter().map(|part| part.size).sum(), MEAN_GAIN);
        let planned = self.plan_parts(now, &parts, left);
        let case = &self.use_cases[use_case.0];
        // The expected delay of the multiget is that of the part with which the quorum is reached.
        let mut reached = start.map_or(0.0, |phase| phase.known_share) + WEIGHT_TOLERANCE;
        let quorum_index = planned.iter().position(|(_, _, part)| {
            reached += part.weight;
            reached >= case.quorum
        });
        let quorum = &planned[..quorum_index.map_or(planned.len(), |last| last + 1)];
        let delay = quorum.last().map_or(Nanos(0), |(delay, _, _)| *delay);
        if start.is_some_and(|phase| self.is_second_phase_late(phase, quorum, rest)) {
            self.rejected_at = Some(now);
            self.give_up(now, id);
            return false;
        }
        // Work reserved for second phases delays new multigets, or else too many first phases are admitted.
        let place = self.place_of(parts.first().map_or(ShardId(0), |part| part.shard));
        let second_phase_work = estimate.map_or(0.0, |estimate| {
            let log_effort = estimate.effort.map(|effort| (effort.0.max(1) as f64).ln());
            estimate.expected_parts * self.relative_size(case, place, log_effort)
        });
        let time_per_work = self.groups.get(place).time_per_work.get().unwrap_or_default();
        let reserved = Nanos((time_per_work * self.reserved_work / self.nodes.len().max(1) as f64) as u64);
        let delay = if is_second { delay } else { delay + reserved };
        let fixed_work = self.value_by_work.then_some(1.0);
        let value_per_work =
            |case: &UseCase| fixed_work.or(case.total_size.get()).map_or(0.0, |work| case.value / work);
        let highest = self.use_cases.iter().map(value_per_work).fold(f64::MIN_POSITIVE, f64::max);
        let shed_share = MAX_DELAY_SHARE_NO_VALUE
            + (MAX_DELAY_SHARE_HIGHEST_VALUE - MAX_DELAY_SHARE_NO_VALUE) * value_per_work(case) / highest;
        let max_share = if self.rejections_cost_value { 1.0 } else { shed_share };
        // Rejected multigets do not use up the quota: retries of theirs would otherwise count as excess load.
        let quota = self.customer_quotas.get_mut(customer.0).filter(|_| !is_second);
        // A multiget whose client leaves it little time is rejected only if it cannot be in time.
        let target = case.latency_target;
        let limit = |share: f64| target.times(share).min(left);
        if !is_second {
            self.delay_share.add(delay.min(target).0 as f64 / target.0.max(1) as f64, MEAN_GAIN);
        }
        let in_quota = quota.is_none_or(|quota| delay <= limit(max_share) && quota.try_draw(now));
        let limit = limit(if in_quota { max_share } else { max_share.min(MAX_DELAY_SHARE_OVER_QUOTA) });
        if !is_second && delay > limit {
            let wait = self.max_retry_after;
            self.decisions.push_back(Decision::Reject { multiget: id, retry_after: wait });
            self.rejected_at = Some(now);
            self.finish(id);
            return false;
        }
        self.reserve_work(id, second_phase_work);
        self.send_first_attempts(now, id, planned, delay);
        true
    }

    /// Returns each part with its node, sorted by delay; a planned part counts as load for the ones after it.
    fn plan_parts<'a>(&self, now: Nanos, parts: &'a [Part], time_left: Nanos) -> Vec<Planned<'a>> {
        let mut planned_load = Loads::new();
        let mut planned = Vec::new();
        for part in parts {
            let node = self.choose_node(now, part, time_left, &planned_load);
            if let Some(node) = node {
                *planned_load.entry(node.node).or_insert(0.0) += part.size;
            }
            planned.push((node.map_or(Nanos(u64::MAX), |node| node.delay), node, part));
        }
        planned.sort_by_key(|(delay, _, part)| (*delay, part.id));
        planned
    }

    /// Whether a second phase is too likely to be late for any of it to be sent; stricter under congestion.
    fn is_second_phase_late(&self, phase: SecondPhaseStart, quorum: &[Planned], rest: Nanos) -> bool {
        let delay = quorum.last().map_or(Nanos(0), |(delay, _, _)| *delay);
        let probability: f64 = quorum.iter().map(|(_, to, _)| to.map_or(0.0, |to| to.probability)).product();
        let congested = self.delay_share.get() > Some(CONGESTED_SHARE) && delay > rest.times(CONGESTED_SHARE);
        let required = if congested { MIN_SERVICE_LEVEL } else { MIN_SECOND_PHASE_PROBABILITY };
        phase.expected_duration.is_some_and(|time| delay.max(time) > rest || probability < required)
    }

    /// Sends first attempts as planned. If they would load most nodes and there is time, the fastest part is
    /// sent as a probe and the others after its answer, so that a multiget that fails loads few nodes.
    fn send_first_attempts(&mut self, now: Nanos, id: MultigetId, mut planned: Vec<Planned>, delay: Nanos) {
        let Some(open) = self.multigets.get(&id) else { return };
        let (target, is_second) = (self.use_cases[open.use_case.0].latency_target, open.phase_from > 0);
        planned.retain(|(_, node, _)| node.is_some());
        let first = planned.first().map_or(Nanos(0), |(delay, _, _)| *delay);
        let is_wide = planned.len() as f64 > MAX_UNPROBED_NODE_SHARE * self.nodes.len() as f64;
        let has_time = delay + first <= target.times(MAX_PROBED_SHARE);
        let is_probing = !is_second && planned.len() > 1 && is_wide && has_time;
        planned.truncate(if is_probing { 1 } else { planned.len() });
        self.multigets.get_mut(&id).into_iter().for_each(|multiget| multiget.is_probing = is_probing);
        let sent = planned.iter().filter_map(|(_, node, part)| node.as_ref().map(|node| (node, part)));
        sent.for_each(|(node, part)| self.send_attempt(now, part.id, node));
        planned.iter().for_each(|(_, _, part)| self.send_planned_copies(now, part.id));
    }
}
